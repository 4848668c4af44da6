"""The bandwidth of a machine's link."""

import threading
import time

BITS_PER_MEGABIT = 1e6


class LinkRate:
    """Lets bytes pass in the order of their arrival, shared by all links that have it."""

    def __init__(self, mbps: float) -> None:
        self._seconds_per_byte = 8 / (mbps * BITS_PER_MEGABIT)
        self._lock = threading.Lock()
        self._free_at = 0.0

    def wait(self, size: int) -> None:
        """Return once ``size`` bytes have passed after those that came before."""
        with self._lock:
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + size * self._seconds_per_byte
            seconds = self._free_at - now
        time.sleep(seconds)
