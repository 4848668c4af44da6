"""Weight store whose reads slow down when too many run concurrently."""

import threading
import time


class WeightStore:
    """Sleeps for the duration of each read and records the peak number of concurrent reads."""

    def __init__(self, bytes_per_second: float, full_speed_loads: int) -> None:
        self._lock = threading.Lock()
        self._bytes_per_second = bytes_per_second
        self._full_speed_loads = full_speed_loads
        self._active = 0
        self.loads = 0
        self.most_active = 0

    def read(self, size_bytes: int) -> None:
        """Block for the time that reading ``size_bytes`` takes."""
        with self._lock:
            self._active += 1
            self.loads += 1
            self.most_active = max(self.most_active, self._active)
            slowdown = max(1.0, self._active / self._full_speed_loads)
        time.sleep(size_bytes / self._bytes_per_second * slowdown)
        with self._lock:
            self._active -= 1
