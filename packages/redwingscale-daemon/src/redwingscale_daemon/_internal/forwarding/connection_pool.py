"""Idle connections to upstreams, kept for the next request."""

import threading
import time
from collections import defaultdict

from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.upstream_connection import UpstreamConnection

# Upstreams that name no time close idle connections after some seconds; a request
# that meets the close is lost without a word whether it has run.
DEFAULT_IDLE_SECONDS = 2.0
# The upstream counts from its last byte, this side from its arrival.
IDLE_MARGIN_SECONDS = 0.7
MAX_IDLE_PER_UPSTREAM = 32


class ConnectionPool:
    """Connections by upstream id; a restarted upstream has a new id and new ones."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle_by_upstream: dict[str, list[UpstreamConnection]] = defaultdict(list)
        self.opened = 0

    def take_idle(self, upstream: Upstream) -> UpstreamConnection | None:
        """Return a kept connection that is open and silent, None without one."""
        while (connection := self._pop(upstream.id)) is not None:
            fresh = time.monotonic() < connection.expires_at
            if fresh and connection.is_reusable():
                return connection
            connection.discard()
        return None

    def open(self, upstream: Upstream) -> UpstreamConnection:
        """Return a new connection; raise the library's errors."""
        connection = UpstreamConnection(upstream.host, upstream.port)
        connection.connect()
        with self._lock:
            self.opened += 1
        return connection

    def put_back(
        self, upstream: Upstream, connection: UpstreamConnection, idle_seconds: float | None
    ) -> None:
        """Keep ``connection`` after a whole answer, if it can serve another request."""
        allowed = DEFAULT_IDLE_SECONDS if idle_seconds is None else idle_seconds
        connection.expires_at = time.monotonic() + allowed - IDLE_MARGIN_SECONDS
        with self._lock:
            idle = self._idle_by_upstream[upstream.id]
            keep = len(idle) < MAX_IDLE_PER_UPSTREAM and allowed > IDLE_MARGIN_SECONDS
            if keep:
                idle.append(connection)
        if not keep:
            connection.discard()

    def forget(self, upstream_ids: set[str]) -> None:
        """Close what is kept for upstreams that are gone."""
        with self._lock:
            gone = [self._idle_by_upstream.pop(key, []) for key in upstream_ids]
        for connections in gone:
            for connection in connections:
                connection.discard()

    def _pop(self, upstream_id: str) -> UpstreamConnection | None:
        with self._lock:
            idle = self._idle_by_upstream.get(upstream_id)
            return idle.pop() if idle else None
