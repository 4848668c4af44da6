"""Whether new connections to upstreams break, while open ones may live on."""

import threading
import time
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

# Connections that break at fewer upstreams may tell that these upstreams have ended.
DECIDING_UPSTREAMS = 2
# Older connections that broke are no evidence.
EVIDENCE_SECONDS = 3.0


class NewConnections:
    """Keeps apart what answers on open connections do not show.

    A network may let open connections live on and break new ones. A byte on an open one
    shows that its upstream is alive, not that a request on a new connection gets there.
    Only a new connection that works shows that, to any upstream.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # When a new connection to each of them broke for the first time.
        self._broken_since: dict[str, float] = {}
        self._broken_at = float("-inf")
        self._break = False
        # Whether an open connection is idle, so that no new one is needed.
        self.has_idle: Callable[[str], bool] = lambda upstream_id: False
        # Called when new connections begin to break.
        self.on_broken: Callable[[], None] = lambda: None

    def note_broken(self, upstream_id: str) -> None:
        """Note a new connection that was refused, or closed before its first byte."""
        now = self._clock()
        with self._lock:
            if not self._break:
                self._broken_since = {
                    key: since
                    for key, since in self._broken_since.items()
                    if now - since < EVIDENCE_SECONDS
                }
            self._broken_since.setdefault(upstream_id, now)
            self._broken_at = now
            begins = not self._break and len(self._broken_since) >= DECIDING_UPSTREAMS
            self._break = self._break or begins
        if begins:
            log_event("new_connections_break", level="WARNING", upstreams=",".join(self.broken()))
            self.on_broken()

    def note_opened(self, upstream_id: str, began_at: float) -> None:
        """Note a connection that works, opened at the monotonic time ``began_at``."""
        if not self._broken_since:
            return
        with self._lock:
            if began_at <= self._broken_at:
                return
            ended, self._break = self._break, False
            self._broken_since = {}
        if ended:
            log_event("new_connections_work", upstream=upstream_id)

    def note_restored(self) -> None:
        """Note that the path works again after it was lost, as a probe has shown."""
        with self._lock:
            ended, self._break = self._break, False
            self._broken_since = {}
        if ended:
            log_event("new_connections_work", upstream="-")

    def may_open(self, upstream_id: str) -> bool:
        """Return whether a request may be sent on a new connection."""
        return not (self._break and upstream_id in self._broken_since)

    def is_closed(self, upstream_id: str) -> bool:
        """Return whether new connections break and no open one is idle."""
        return not self.may_open(upstream_id) and not self.has_idle(upstream_id)

    def broken_since(self, upstream_id: str) -> float | None:
        """Return the monotonic time from which new connections break, None if they do not."""
        return self._broken_since.get(upstream_id) if self._break else None

    def broken(self) -> list[str]:
        """Return the upstreams to which new connections break."""
        with self._lock:
            return sorted(self._broken_since) if self._break else []

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._broken_since.pop(key, None)
            self._break = self._break and bool(self._broken_since)
