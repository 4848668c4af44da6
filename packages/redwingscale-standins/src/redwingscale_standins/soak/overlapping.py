"""Runs faults of one kind one after another, which may overlap."""

import random
import threading
import time
from collections.abc import Callable

Seconds = tuple[float, float]


def run_overlapping(
    seconds: float,
    drawn: random.Random,
    make: Callable[[], Callable[[float], None]],
    lengths: Seconds,
    pauses: Seconds,
) -> None:
    """Begin what ``make`` returns, with a drawn length, and again after a drawn pause.

    That lasts ``seconds``; ``lengths`` and ``pauses`` are the shortest and the longest.
    """
    end = time.monotonic() + seconds
    threads: list[threading.Thread] = []
    while time.monotonic() < end:
        run, length = make(), drawn.uniform(*lengths)
        threads.append(threading.Thread(target=run, args=(length,), daemon=True))
        threads[-1].start()
        time.sleep(drawn.uniform(*pauses))
    for thread in threads:
        thread.join()
