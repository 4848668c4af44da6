"""Finds out when new connections to upstreams work again."""

import threading
import time
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.new_connections import NewConnections
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# How often an upstream is tried.
PROBE_SECONDS = 0.4


class NewConnectionWatch:
    """Runs a thread while new connections break.

    It opens connections, one at a time, so that no caller's request has to find out: one
    that is lost on a broken connection may have run.
    """

    def __init__(
        self,
        connections: NewConnections,
        directory: UpstreamDirectory,
        probe: Callable[[Upstream], bool],
    ) -> None:
        self._connections = connections
        self._directory = directory
        # Returns whether a new connection to an upstream works.
        self._probe = probe
        self._lock = threading.Lock()
        self._running = False
        self._turn = 0

    def begin(self) -> None:
        """Start the thread unless it runs."""
        with self._lock:
            if self._running:
                return
            self._running = True
        threading.Thread(target=self._run, name="new-connections", daemon=True).start()

    def _run(self) -> None:
        while self._is_needed():
            try:
                # Those not tried yet come at once: a few may have ended by themselves.
                pause = 0.0 if self.step() else PROBE_SECONDS
            except Exception as error:
                # Without this thread, requests would avoid new connections forever.
                log_event("step_failed", level="WARNING", task="new-connections", error=repr(error))
                pause = PROBE_SECONDS
            time.sleep(pause)

    def _is_needed(self) -> bool:
        with self._lock:
            self._running = bool(self._connections.broken())
            return self._running

    def step(self) -> bool:
        """Try one upstream; return whether another one was not tried yet."""
        broken = set(self._connections.broken())
        listed = self._directory.all()
        self._connections.forget(broken - {one.id for one in listed})
        # Those that run models answer a probe without running anything.
        known = [one for one in listed if one.models_by_name] or listed
        untried = [one for one in known if one.id not in broken]
        chosen = untried or known
        if not chosen:
            return False
        self._turn += 1
        upstream = chosen[self._turn % len(chosen)]
        began_at = time.monotonic()
        if self._probe(upstream):
            self._connections.note_opened(upstream.id, began_at)
        else:
            self._connections.note_broken(upstream.id)
        return len(untried) > 1
