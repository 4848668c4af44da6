"""The clock that leases are measured with."""

import time
from collections.abc import Callable

Clock = Callable[[], float]


def lease_clock() -> float:
    """Return seconds that also count while the machine is suspended.

    The usual monotonic clock stops during a suspend: after it, a lease holder would
    take its lease for valid though another instance took it over long ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
