"""Bounded waits for what other processes do."""

import time
from collections.abc import Callable

WAIT_SECONDS = 30.0


def until(condition: Callable[[], bool], what: str, seconds: float = WAIT_SECONDS) -> None:
    """Return once ``condition`` holds; raise AssertionError after ``seconds``."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, f"{what} did not come"
        time.sleep(0.05)
