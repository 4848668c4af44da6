"""The clock of leases."""

import time
from collections.abc import Callable

Clock = Callable[[], float]


def lease_clock() -> float:
    """Return seconds that also count while the machine is suspended.

    The usual monotonic clock stands still during a suspend: a holder would
    wake with a lease that looks fresh and was taken over long ago.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
