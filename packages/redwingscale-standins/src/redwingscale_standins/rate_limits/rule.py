"""Rule for the most calls that an upstream with a rate limit may receive."""

from bisect import bisect_right
from collections.abc import Iterable

WINDOW_SECONDS = 4.0
# Time after a rate is first announced until all instances must keep it.
NOTICE_SECONDS = 3.0
EXCESS_FACTOR = 1.5
EXCESS_CALLS = 5


def most_allowed(per_second: float) -> float:
    """Return how many calls are allowed in one window."""
    return per_second * WINDOW_SECONDS * EXCESS_FACTOR + EXCESS_CALLS


def most_in_window(called_at: Iterable[float], named_at: float) -> int:
    """Return the most calls in a window that ends at least the notice period after ``named_at``."""
    times = sorted(called_at)
    return max(
        (
            bisect_right(times, end) - bisect_right(times, end - WINDOW_SECONDS)
            for end in times
            if end >= named_at + NOTICE_SECONDS
        ),
        default=0,
    )
