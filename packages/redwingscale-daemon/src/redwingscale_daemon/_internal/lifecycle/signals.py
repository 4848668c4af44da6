"""Waits for the signals that the process receives."""

import os
import signal
from collections.abc import Iterable


class SignalQueue:
    """Returns signals in order; must be created and used in the main thread.

    The kernel may deliver a signal to any thread, but Python runs handlers only in the
    main thread, at its next bytecode. If the main thread sleeps on a lock that only the
    handler would release, a stop is never carried out, and open requests are cut when the
    process is killed at the end of its grace period. Therefore the interpreter writes
    each signal into a pipe, in whichever thread it arrives, and the main thread blocks
    in a read of that pipe.
    """

    def __init__(self, numbers: Iterable[signal.Signals]) -> None:
        self._read_end, write_end = os.pipe()
        os.set_blocking(write_end, False)
        signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, _do_nothing)

    def next(self) -> int:
        """Block until the next signal, and return its number."""
        return os.read(self._read_end, 1)[0]


def _do_nothing(*_: object) -> None:
    """Replace the default action, which would end the process."""
