"""Requests that reach a worker later than allowed after it began to leave or was gone."""

from collections.abc import Iterable
from typing import NamedTuple

# The promise: no request reaches an upstream later than this after the store knew of it.
LEAVE_SECONDS = 2.0
# Added to the promise where all processes share a busy machine.
BUSY_MACHINE_SECONDS = 1.0


class LateArrival(NamedTuple):
    """A request that came ``late_seconds`` after its worker began to leave."""

    request: str
    late_seconds: float


def late_arrivals(
    arrivals: Iterable[tuple[str, float]],
    left_at: float,
    allowed_seconds: float = LEAVE_SECONDS + BUSY_MACHINE_SECONDS,
) -> list[LateArrival]:
    """Return the late ones of ``arrivals``, pairs of a request and a monotonic time.

    The store has confirmed at ``left_at`` that their worker leaves or is gone.
    """
    return [
        LateArrival(request, at - left_at)
        for request, at in arrivals
        if at > left_at + allowed_seconds
    ]
