"""What the links of this instance carried."""

import threading


class Traffic:
    """Counts of frames and bytes since the start, for metrics and benchmarks."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.frames_sent = 0
        self.bytes_sent = 0
        self.frames_received = 0
        self.bytes_received = 0
        self.frames_rejected = 0
        self.redials = 0

    def count_sent(self, size: int) -> None:
        """Count a frame of ``size`` bytes out."""
        with self._lock:
            self.frames_sent += 1
            self.bytes_sent += size

    def count_received(self, size: int) -> None:
        """Count a frame of ``size`` bytes in."""
        with self._lock:
            self.frames_received += 1
            self.bytes_received += size

    def count_rejected(self) -> None:
        """Count a frame that was dropped."""
        with self._lock:
            self.frames_rejected += 1

    def count_redial(self) -> None:
        """Count a link that was silent and got a fresh socket."""
        with self._lock:
            self.redials += 1
