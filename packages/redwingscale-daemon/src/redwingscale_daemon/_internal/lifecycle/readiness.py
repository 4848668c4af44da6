"""Readiness for the balancer, and the number of open requests."""

import threading

from redwingscale_daemon._internal.configuration.current import CurrentConfiguration


class Readiness:
    """Counts open requests, and gives the reason while the instance is not ready."""

    def __init__(self, current: CurrentConfiguration) -> None:
        self._condition = threading.Condition()
        self._current = current
        self._open = 0
        self._draining = False

    def reason(self) -> str:
        """Return why the instance is not ready, empty if it is ready."""
        if self._draining:
            return "draining"
        return "" if self._current.get() else self._current.not_ready_reason()

    @property
    def draining(self) -> bool:
        return self._draining

    @property
    def open_requests(self) -> int:
        return self._open

    def begin_request(self) -> None:
        """Count one more open request."""
        with self._condition:
            self._open += 1
            self._condition.notify_all()

    def end_request(self) -> None:
        """Count one open request less."""
        with self._condition:
            self._open -= 1
            self._condition.notify_all()

    def drain(self) -> None:
        """Become unready for good; requests that still come are answered."""
        self._draining = True

    def wait_until_idle(self, idle_seconds: float = 0.0) -> None:
        """Block until no request is open and none has arrived for ``idle_seconds``."""
        with self._condition:
            self._condition.wait_for(lambda: self._open == 0)
            while self._condition.wait_for(lambda: self._open > 0, idle_seconds):
                self._condition.wait_for(lambda: self._open == 0)
