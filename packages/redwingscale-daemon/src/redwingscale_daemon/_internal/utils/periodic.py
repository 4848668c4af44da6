"""A thread that repeats a step until it is stopped."""

import threading
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event


class Periodic:
    """Runs ``step`` every ``interval_seconds``; a step that fails is logged and repeated."""

    def __init__(self, name: str, interval_seconds: float, step: Callable[[], None]) -> None:
        self._name = name
        self._interval_seconds = interval_seconds
        self._step = step
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread, which runs the first step immediately."""
        self._thread.start()

    def wake(self) -> None:
        """Run the next step now instead of after the interval."""
        self._wake.set()

    def stop(self, timeout_seconds: float = 5.0) -> None:
        """Stop after the current step, and wait for it at most ``timeout_seconds``."""
        self._stopped = True
        self._wake.set()
        if self._thread.is_alive() and self._thread is not threading.current_thread():
            self._thread.join(timeout_seconds)

    def _run(self) -> None:
        while not self._stopped:
            try:
                self._step()
            except Exception as error:
                # A step must not end its thread: without its report poller, an upstream
                # would have no owner until the process is restarted.
                log_event("step_failed", level="WARNING", task=self._name, error=repr(error))
            self._wake.wait(self._interval_seconds)
            self._wake.clear()
