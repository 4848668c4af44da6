"""Bounds the retries of an instance."""

import threading

RETRIES_PER_SUCCESS = 0.1
MAX_RETRIES = 100.0
INITIAL_RETRIES = 10.0


class RetryBudget:
    """A token bucket that is refilled by successful requests.

    Guards against retry storms: when every upstream fails, the bucket runs empty and
    retries stop. Otherwise the upstreams would receive a multiple of the load under
    which they fail.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._retries = INITIAL_RETRIES

    def note_success(self) -> None:
        """Count a complete answer."""
        with self._lock:
            self._retries = min(MAX_RETRIES, self._retries + RETRIES_PER_SUCCESS)

    def take(self) -> bool:
        """Count one more retry if it is allowed; return whether it is."""
        with self._lock:
            if self._retries < 1.0:
                return False
            self._retries -= 1.0
            return True
