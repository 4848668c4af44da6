"""Bounds the head of an upstream's answer, and the lines between its chunks."""

import time
from http.client import HTTPException

# The head of an answer with the interim answers before it, the line before a chunk, or a trailer
# comes within this time of its first byte, and has no more bytes. A pause as long may follow an
# interim answer.
LINES_SECONDS = 1.0
MAX_LINES_BYTES = 64 << 10


class LineBound:
    """Bounds the time and the bytes in which the lines of a head, chunk or trailer arrive."""

    def __init__(self) -> None:
        self._bytes = 0
        self._began_at = self._last_at = float("-inf")

    def note(self, count: int) -> None:
        """Note bytes of the lines; raises `HTTPException` beyond the bounds."""
        now = time.monotonic()
        if now - self._last_at > LINES_SECONDS:
            self._began_at = now
        self._last_at = now
        self._bytes += count
        if self._bytes > MAX_LINES_BYTES or now - self._began_at > LINES_SECONDS:
            raise HTTPException(f"lines of the answer have no end: {self._bytes} bytes")
