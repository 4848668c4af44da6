"""How many attempts beyond the first an instance may make."""

import threading

RETRIES_PER_SUCCESS = 0.1
MAX_RETRIES = 100.0
INITIAL_RETRIES = 10.0


class RetryBudget:
    """A token bucket that successes fill.

    When every upstream fails nothing fills it, and the retries end: without it
    each failing upstream would meet a multiple of the load that made it fail.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._retries = INITIAL_RETRIES

    def note_success(self) -> None:
        """Count a whole answer."""
        with self._lock:
            self._retries = min(MAX_RETRIES, self._retries + RETRIES_PER_SUCCESS)

    def take(self) -> bool:
        """Return whether one more attempt may be made, and count it."""
        with self._lock:
            if self._retries < 1.0:
                return False
            self._retries -= 1.0
            return True
