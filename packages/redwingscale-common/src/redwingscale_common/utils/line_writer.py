"""Writes log lines to a stream without blocking the threads that log them."""

import queue
import sys
import threading
from collections.abc import Callable
from typing import TextIO

# About one second of lines at ten times the usual load, some 3 MB.
MAX_LINES = 10_000
# Routine lines are dropped above this length, which leaves room for warnings and errors.
MAX_ROUTINE_LINES = MAX_LINES // 2
_MAX_BATCH_LINES = 200


class LineWriter:
    """A bounded queue of lines and one thread that writes them to ``stream``.

    If the process that reads standard output stalls, every thread that logs would block at
    its next line. With the queue, lines are dropped instead, routine lines first; a later
    line reports how many were dropped.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._all_written = threading.Event()
        self.dropped = 0
        threading.Thread(target=self._run, name="logs", daemon=True).start()

    def put(self, line: str, *, routine: bool) -> None:
        """Queue ``line``, or drop and count it if the queue is full."""
        if self._lines.qsize() >= (MAX_ROUTINE_LINES if routine else MAX_LINES):
            self.dropped += 1
            return
        self._all_written.clear()
        self._lines.put(line)

    def flush(self, seconds: float) -> None:
        """Wait until all queued lines are written, at most ``seconds``."""
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
                # The stream is closed at the other end, and the failure cannot be logged elsewhere.
                return
            if self._lines.empty():
                self._all_written.set()


_WRITERS: list[LineWriter] = []


def stdout_writer() -> LineWriter:
    """Return the process's only writer to standard output; create it at the first call."""
    if not _WRITERS:
        _WRITERS.append(LineWriter(sys.stdout))
    return _WRITERS[0]


def stdout_flush() -> Callable[[float], None]:
    """Return the `flush` method of the writer to standard output; without one it does nothing."""
    return _WRITERS[0].flush if _WRITERS else lambda _: None
