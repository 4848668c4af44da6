"""When a refused caller should return."""

from collections.abc import Iterable
from typing import NamedTuple

# Callers wait at most this fraction of the time that they have left.
WAITED_FRACTION = 1 / 3
# An earlier return finds the same queue.
MIN_RETURN_SECONDS = 0.3
# Instances learn of each other's bookings up to half a second late: the returns that they
# book meanwhile are spread over this time.
SPREAD_SECONDS = 0.3


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


class ReturnTime(NamedTuple):
    """Seconds until a refused caller should return, and whether it waits so long."""

    seconds: float
    in_reach: bool


def return_time(
    place_in: float, remaining_seconds: float, queue_seconds: float, spread: float
) -> ReturnTime:
    """Return the time to announce to a refused caller whose place is free in ``place_in``.

    Made for callers that compete for too few holders and wait at most a third of the
    ``remaining_seconds`` until their deadline. A caller may return before its place is free
    and spend up to ``queue_seconds`` in the queue of a holder. If it would have to wait for
    longer, the true time is announced: the caller can tell that waiting is of no use.
    ``spread`` is from 0 to 1 and differs between callers.
    """
    longest = remaining_seconds * WAITED_FRACTION
    spread_in = max(MIN_RETURN_SECONDS, place_in) + spread * SPREAD_SECONDS
    if longest >= MIN_RETURN_SECONDS and place_in <= longest + queue_seconds:
        return ReturnTime(min(spread_in, longest), in_reach=True)
    return ReturnTime(spread_in, in_reach=False)
