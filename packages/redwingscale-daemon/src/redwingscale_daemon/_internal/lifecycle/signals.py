"""Signals to the process, one after the other."""

import os
import signal
from collections.abc import Iterable


class SignalQueue:
    """Waits for signals in the main thread, where it is made.

    The kernel may hand a signal to any thread. Python's handlers run in the main one, at
    its next step: if that sleeps on a lock which only the handler would release, a stop
    is never carried out, and callers are cut when the process is killed at the end of
    its grace period. The interpreter writes each signal into a pipe in whichever thread
    it comes, and a read of the pipe wakes the main one.
    """

    def __init__(self, numbers: Iterable[signal.Signals]) -> None:
        self._read_end, write_end = os.pipe()
        os.set_blocking(write_end, False)
        signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, _do_nothing)

    def next(self) -> int:
        """Return the number of the next signal; blocks."""
        return os.read(self._read_end, 1)[0]


def _do_nothing(*_: object) -> None:
    """Keep the signal from ending the process."""
