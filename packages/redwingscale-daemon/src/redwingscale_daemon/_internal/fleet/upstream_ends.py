"""Finds out whether the process of an upstream has ended."""

import socket
import threading
import time
from collections import defaultdict

from redwingscale_daemon._internal.fleet.health import Health
from redwingscale_daemon._internal.fleet.own_path import OwnPath
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# The connections of a process that ends are closed some milliseconds before its port.
PROBE_PAUSES_SECONDS = (0.0, 0.03, 0.1)
PROBE_TIMEOUT_SECONDS = 0.3
# An upstream that accepted a connection is not probed again within this time.
ALIVE_SECONDS = 0.5
# A cut that refuses connections shows at several upstreams within this time.
CUT_SECONDS = 0.03
# How long the verdict on a refused connection waits while the own path is in doubt.
DOUBT_SECONDS = 0.3
_DOUBT_POLL_SECONDS = 0.02


class UpstreamEnds:
    """Tells the end of a process from a connection that was reset, a cut and a planned stop.

    A refused connection, another process at the address and an entry that has left the list
    are evidence. A connection that times out or is accepted is not, nor is a refused one
    while the own path is in doubt: a network that is cut may refuse as well.
    """

    def __init__(self, directory: UpstreamDirectory, health: Health, path: OwnPath) -> None:
        self._directory = directory
        self._health = health
        self._path = path
        self._lock = threading.Lock()
        self._probe_locks: dict[str, threading.Lock] = defaultdict(threading.Lock)
        self._ended: dict[str, str] = {}
        self._alive_until: dict[str, float] = {}

    def evidence(self, upstream: Upstream) -> str | None:
        """Return how it is known that ``upstream`` has crashed, None if it is not known.

        Called after its end has closed a connection; takes up to a second.
        """
        if self._directory.leaving_seconds(upstream.id) is not None:
            return None
        if self._health.is_replaced(upstream.id):
            return "replaced"
        if not self._directory.lists(upstream.id):
            return "unlisted"
        with self._lock:
            probe_lock = self._probe_locks[upstream.id]
        with probe_lock:
            return self._probe(upstream)

    def is_replaced(self, upstream_id: str) -> bool:
        """Return whether another process is known to listen at the upstream's address."""
        return self._health.is_replaced(upstream_id)

    def path_works_since(self, at: float) -> bool:
        """Return whether the own path is sound, or was so after the monotonic time ``at``."""
        return not self._path.lost and (self._path.heard_at > at or not self._path.doubtful)

    def _proves_end(self, upstream: Upstream) -> bool:
        self._path.note_failed(upstream.id, "connection refused", refused=True)
        time.sleep(CUT_SECONDS)
        doubted_since = time.monotonic()
        while self._path.doubtful:
            if self._path.lost or time.monotonic() - doubted_since > DOUBT_SECONDS:
                return False
            time.sleep(_DOUBT_POLL_SECONDS)
        return True

    def _probe(self, upstream: Upstream) -> str | None:
        if upstream.id in self._ended:
            return self._ended[upstream.id]
        if time.monotonic() < self._alive_until.get(upstream.id, 0.0):
            return None
        for pause in PROBE_PAUSES_SECONDS:
            time.sleep(pause)
            try:
                socket.create_connection(upstream.address, PROBE_TIMEOUT_SECONDS).close()
            except ConnectionRefusedError:
                if not self._proves_end(upstream):
                    return None
                self._ended[upstream.id] = "refused"
                return "refused"
            except ConnectionError:
                # The port is being closed.
                continue
            except OSError:
                # Unreachable, which says nothing about the process.
                break
        self._alive_until[upstream.id] = time.monotonic() + ALIVE_SECONDS
        return None

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._probe_locks.pop(key, None)
                self._ended.pop(key, None)
                self._alive_until.pop(key, None)
