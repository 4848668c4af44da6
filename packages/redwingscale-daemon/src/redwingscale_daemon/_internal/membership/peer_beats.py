"""When each peer was last heard, on this instance's own clock."""

import threading
import time


class PeerBeats:
    """Last heartbeat of each peer, directly or as origin of an entry."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heard_at: dict[str, float] = {}

    def heard(self, peer: str) -> None:
        """Record a heartbeat of ``peer`` now."""
        with self._lock:
            self._heard_at[peer] = time.monotonic()

    def silent_seconds(self, peer: str) -> float:
        """Return how long ``peer`` has been silent; infinite when never heard."""
        with self._lock:
            heard_at = self._heard_at.get(peer)
        return float("inf") if heard_at is None else time.monotonic() - heard_at
