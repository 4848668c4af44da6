"""One model worker as the planner sees it."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream


class WorkerView(NamedTuple):
    """``free`` workers have no order under way and take new work.

    ``loading`` is the model that it loads now, empty for none; ``settled_at``
    is the monotonic time at which each model came, by model. ``prompt_tokens``
    wait there to be read; ``open_by_unit`` are the requests that it runs.
    """

    upstream: Upstream
    resident: AdaptersByModel
    free: bool
    loading: str
    settled_at: dict[str, float]
    requests: int
    prompt_tokens: int
    open_by_unit: dict[Unit, int]

    def open_for(self, model: str) -> int:
        """Return how many requests for ``model`` and its adapters it runs."""
        return sum(count for unit, count in self.open_by_unit.items() if unit.model == model)

    def adapters(self) -> list[Unit]:
        """Return the adapters that it holds."""
        return [Unit(name, adapter) for name, names in self.resident.items() for adapter in names]

    def idle_adapters(self) -> list[Unit]:
        """Return the adapters that it holds and no request uses."""
        return [unit for unit in self.adapters() if not self.open_by_unit.get(unit)]
