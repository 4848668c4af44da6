"""Writes lines to a stream without ever blocking who logs them."""

import queue
import sys
import threading
from collections.abc import Callable
from typing import TextIO

# About a second of lines at ten times the usual load, some 3 MB.
MAX_LINES = 10_000
# From here on routine lines are left out, so that there is room for failures.
MAX_ROUTINE_LINES = MAX_LINES // 2
_MAX_BATCH_LINES = 200


class LineWriter:
    """A bounded queue and one thread that empties it.

    A reader of standard output that stops reading would block every thread at
    its next line. Here the queue fills instead: routine lines are dropped first,
    and a line that comes through later tells how many.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._all_written = threading.Event()
        self.dropped = 0
        threading.Thread(target=self._run, name="logs", daemon=True).start()

    def put(self, line: str, *, routine: bool) -> None:
        """Take a line, or count it as dropped."""
        if self._lines.qsize() >= (MAX_ROUTINE_LINES if routine else MAX_LINES):
            self.dropped += 1
            return
        self._all_written.clear()
        self._lines.put(line)

    def flush(self, seconds: float) -> None:
        """Wait until everything is written, at most ``seconds``."""
        self._all_written.wait(seconds)

    def _run(self) -> None:
        while True:
            batch = [self._lines.get()]
            while len(batch) < _MAX_BATCH_LINES and not self._lines.empty():
                batch.append(self._lines.get())
            if self.dropped:
                batch.append(f"level=WARNING event=log_lines_dropped count={self.dropped}\n")
                self.dropped = 0
            try:
                self._stream.write("".join(batch))
                self._stream.flush()
            except OSError:
                # Nobody reads the logs any more, and there is no other place to say so.
                return
            if self._lines.empty():
                self._all_written.set()


_WRITERS: list[LineWriter] = []


def stdout_writer() -> LineWriter:
    """Return the one writer of standard output."""
    if not _WRITERS:
        _WRITERS.append(LineWriter(sys.stdout))
    return _WRITERS[0]


def stdout_flush() -> Callable[[float], None]:
    """Return what waits for the lines written so far."""
    return _WRITERS[0].flush if _WRITERS else lambda _: None
