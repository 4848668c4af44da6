"""One model worker as the planner sees it."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream


class WorkerView(NamedTuple):
    """A worker's state at one point in time.

    ``free`` workers have no order in flight and accept new work. ``loading`` is the model that is
    being loaded, empty for none; ``settled_at`` gives the monotonic time at which each model was
    loaded, by model. ``prompt_tokens`` are not read yet; ``open_by_unit`` counts the requests that
    run, by unit. ``reserved_mb`` are taken by loads that may still be carried out. The loading
    model is expected to be resident in ``ready_in`` seconds. The state of a worker is
    ``confirmed`` once its report has been read in this term of the leader.
    """

    upstream: Upstream
    resident: AdaptersByModel
    free: bool
    loading: str
    settled_at: dict[str, float]
    requests: int
    prompt_tokens: int
    open_by_unit: dict[Unit, int]
    reserved_mb: float = 0.0
    ready_in: float = 0.0
    confirmed: bool = True

    def open_for(self, model: str) -> int:
        """Return how many requests for ``model`` and its adapters run here."""
        return sum(count for unit, count in self.open_by_unit.items() if unit.model == model)

    def adapters(self) -> list[Unit]:
        """Return the resident adapters."""
        return [Unit(name, adapter) for name, names in self.resident.items() for adapter in names]

    def idle_adapters(self) -> list[Unit]:
        """Return the resident adapters that no request uses."""
        return [unit for unit in self.adapters() if not self.open_by_unit.get(unit)]
