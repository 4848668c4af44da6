"""Counters of the traffic on the links of this instance."""

import threading


class Traffic:
    """Counts frames and bytes since the start, for metrics and benchmarks."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.frames_sent = 0
        self.bytes_sent = 0
        self.frames_received = 0
        self.bytes_received = 0
        self.frames_rejected = 0
        self.redials = 0

    def count_sent(self, size: int) -> None:
        """Count a sent frame of ``size`` bytes."""
        with self._lock:
            self.frames_sent += 1
            self.bytes_sent += size

    def count_received(self, size: int) -> None:
        """Count a received frame of ``size`` bytes."""
        with self._lock:
            self.frames_received += 1
            self.bytes_received += size

    def count_rejected(self) -> None:
        """Count a received frame that was rejected."""
        with self._lock:
            self.frames_rejected += 1

    def count_redial(self) -> None:
        """Count a silent link that was given a new socket."""
        with self._lock:
            self.redials += 1
