"""Bounded waits for conditions that other processes bring about."""

import time
from collections.abc import Callable

WAIT_SECONDS = 30.0


def until(condition: Callable[[], bool], what: str, seconds: float = WAIT_SECONDS) -> None:
    """Return once ``condition`` is true; raise AssertionError after ``seconds``."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for {what}"
        time.sleep(0.05)
