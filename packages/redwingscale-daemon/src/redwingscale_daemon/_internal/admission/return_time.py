"""When a refused caller should return."""

from collections.abc import Iterable

# Callers wait at most this fraction of the time that they have left.
WAITED_FRACTION = 1 / 3
# An earlier return finds the same queue.
MIN_RETURN_SECONDS = 0.3
# Instances learn of each other's bookings up to half a second late: the returns that they
# book meanwhile are spread over this time.
SPREAD_SECONDS = 0.3


def longest_return_seconds(remaining_seconds: float) -> float:
    """Return how long a caller with ``remaining_seconds`` until its deadline waits."""
    return remaining_seconds * WAITED_FRACTION


def place_seconds(work_seconds: Iterable[float], booked_seconds: float) -> float:
    """Return when a place is free behind the holders' work and the booked returns.

    ``work_seconds`` has the time that each holder needs for what it has, and
    ``booked_seconds`` is the time that one holder would need for all booked returns. They
    fill up the holders from the least busy one, as the choice of a holder does.
    """
    level, left = 0.0, booked_seconds
    ordered = sorted(work_seconds)
    for count, level in enumerate(ordered, start=1):
        above = ordered[count] - level if count < len(ordered) else float("inf")
        if left <= above * count:
            return level + left / count
        left -= above * count
    return level + left


def return_seconds(place_in: float, remaining_seconds: float, spread: float) -> float:
    """Return the time to announce to a refused caller whose place is free in ``place_in``.

    ``spread`` is from 0 to 1 and differs between callers. Within the time that the caller
    waits, the announced time is no later than that. A place that is free only afterwards
    is announced as it is, so that the caller can tell that waiting is of no use.
    """
    longest = longest_return_seconds(remaining_seconds)
    spread_in = max(MIN_RETURN_SECONDS, place_in) + spread * SPREAD_SECONDS
    return min(spread_in, max(longest, MIN_RETURN_SECONDS)) if place_in <= longest else spread_in
