"""The models that were evicted lately."""

import math
import time
from collections.abc import Callable, Iterable

from redwingscale_daemon._internal.routes.service_rule import DEMAND_SHIFT_SECONDS

# A model that is asked for again so soon after its eviction was still in demand.
RETURN_SECONDS = DEMAND_SHIFT_SECONDS


class RecentEvictions:
    """Remembers when each model was last evicted; for some hundred swaps of one leader."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._evicted_at: dict[tuple[str, str], float] = {}

    def note(self, service: str, models: Iterable[str]) -> None:
        """Note that ``models`` are evicted now."""
        now = self._clock()
        self._evicted_at |= {(service, name): now for name in models}

    def returned(
        self, service: str, model: str, settled_at: float, max_load_seconds: float
    ) -> bool:
        """Return whether ``model`` was evicted shortly before a load that ended at ``settled_at``.

        How long the load took is not known, at most ``max_load_seconds``.
        """
        evicted_at = self._evicted_at.get((service, model), -math.inf)
        return 0 <= settled_at - evicted_at < RETURN_SECONDS + max_load_seconds
