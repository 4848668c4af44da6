"""The model workers that the leader sends orders to."""

from collections.abc import Callable, Iterable

from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.instance_totals import Totals
from redwingscale_daemon._internal.swaps.order_client import OrderClient
from redwingscale_daemon._internal.swaps.tasks import Task
from redwingscale_daemon._internal.swaps.unanswered import UnansweredLoad
from redwingscale_daemon._internal.swaps.worker_orders import OrderAuthority, WorkerOrders
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# Returns the rule of a service's engines, None for a service without model workers.
EngineOf = Callable[[str], EngineRule | None]


class WorkerPool:
    """Keeps the `WorkerOrders` of each listed worker while this instance is the leader."""

    def __init__(
        self,
        engine_of: EngineOf,
        client: OrderClient,
        authority: OrderAuthority,
        on_change: Callable[[], None],
    ) -> None:
        self._engine_of = engine_of
        self._client = client
        self._authority = authority
        self._on_change = on_change
        self._by_id: dict[str, WorkerOrders] = {}
        # Loads sent to workers that are no longer listed: a process may restart under the same
        # name.
        self._unanswered_by_name: dict[str, list[UnansweredLoad]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def follow(self, upstreams: Iterable[Upstream]) -> None:
        """Add workers that are new in the list and remove those that are no longer listed."""
        listed = {upstream.id: upstream for upstream in upstreams}
        for key in self._by_id.keys() - listed.keys():
            former = self._by_id.pop(key)
            self._unanswered_by_name[former.upstream.platform_name] = former.ledger.unanswered
        for key, upstream in listed.items():
            if key not in self._by_id:
                self._by_id[key] = self._new(upstream)
            self._by_id[key].upstream = upstream

    def stop(self) -> None:
        """Drop all workers, each after its running task; another instance may lead from now on."""
        self._by_id = {}

    def start_task(self, upstream_id: str, task: Task) -> None:
        """Start ``task`` at a worker that is free."""
        self._by_id[upstream_id].start(task)

    def resident_by_id(self) -> dict[str, AdaptersByModel | None]:
        """Return what is resident at each worker, None where it is unknown."""
        return {key: worker.resident() for key, worker in self._by_id.items()}

    def ready_in_by_model(self) -> dict[str, float]:
        """Return the expected seconds until each model that is being loaded is resident."""
        return {
            worker.loading: worker.ready_in for worker in self._by_id.values() if worker.loading
        }

    def views(self, usable: Iterable[Upstream], totals: Totals) -> list[WorkerView]:
        """Return the planner's views of those ``usable`` workers that serve most instances."""
        without = totals.cut_off | totals.rejecting
        reached = [one for one in usable if one.id not in without]
        return [self._view(one, totals) for one in reached if one.id in self._by_id]

    def _view(self, upstream: Upstream, totals: Totals) -> WorkerView:
        worker = self._by_id[upstream.id]
        resident = worker.resident()
        if resident is None:
            resident = {model.name: model.adapters for model in upstream.models_by_name.values()}
        load = totals.loads.get(upstream.id, Load(0, 0))
        return WorkerView(
            upstream,
            resident,
            worker.free,
            worker.loading,
            worker.settled_at,
            load.requests,
            load.prompt_tokens,
            totals.uses.get(upstream.id, {}),
            worker.ready_in,
            worker.confirmed,
        )

    def _new(self, upstream: Upstream) -> WorkerOrders:
        return WorkerOrders(
            upstream,
            lambda: self._engine_of(upstream.service),
            self._client,
            self._authority,
            self._on_change,
            self._unanswered_by_name.pop(upstream.platform_name, ()),
        )
