"""A thread that repeats one step until it is stopped."""

import threading
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event


class Periodic:
    """Runs ``step`` every ``interval_seconds``; a failing step is logged and repeated."""

    def __init__(self, name: str, interval_seconds: float, step: Callable[[], None]) -> None:
        self._name = name
        self._interval_seconds = interval_seconds
        self._step = step
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Begin with the first step at once."""
        self._thread.start()

    def wake(self) -> None:
        """Run the next step now instead of at the end of the interval."""
        self._wake.set()

    def stop(self, timeout_seconds: float = 5.0) -> None:
        """End after the current step, waiting for it at most ``timeout_seconds``."""
        self._stopped = True
        self._wake.set()
        if self._thread.is_alive() and self._thread is not threading.current_thread():
            self._thread.join(timeout_seconds)

    def _run(self) -> None:
        while not self._stopped:
            try:
                self._step()
            except Exception as error:
                # A step must not end its thread: a report poller that died silently
                # would leave its upstream without an owner for the process's life.
                log_event("step_failed", level="WARNING", task=self._name, error=repr(error))
            self._wake.wait(self._interval_seconds)
            self._wake.clear()
