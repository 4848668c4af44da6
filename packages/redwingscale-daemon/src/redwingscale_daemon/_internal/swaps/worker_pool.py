"""The model workers that the order giver gives orders to."""

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

# By the name of a service, None for one without model workers.
EngineOf = Callable[[str], EngineRule | None]


class WorkerPool:
    """Keeps the orders of each listed worker, while this instance is the order giver."""

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
        # Of workers that have gone: the same process may start again under its name.
        self._unanswered_by_name: dict[str, list[UnansweredLoad]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def follow(self, upstreams: Iterable[Upstream]) -> None:
        """Begin with workers that have come, end those that are gone."""
        listed = {upstream.id: upstream for upstream in upstreams}
        for key in self._by_id.keys() - listed.keys():
            former = self._by_id.pop(key)
            self._unanswered_by_name[former.upstream.platform_name] = former.ledger.unanswered
        for key, upstream in listed.items():
            if key not in self._by_id:
                self._by_id[key] = self._new(upstream)
            self._by_id[key].upstream = upstream

    def stop(self) -> None:
        """Leave all, each after its task; another instance may give orders to them."""
        self._by_id = {}

    def start_task(self, upstream_id: str, task: Task) -> None:
        """Let a worker that is free carry out ``task``."""
        self._by_id[upstream_id].start(task)

    def resident_by_id(self) -> dict[str, AdaptersByModel | None]:
        """Return what each worker holds, None where it isn't known."""
        return {key: worker.resident() for key, worker in self._by_id.items()}

    def ready_in_by_model(self) -> dict[str, float]:
        """Return the seconds until each model that is being loaded should be there."""
        return {
            worker.loading: worker.ready_in for worker in self._by_id.values() if worker.loading
        }

    def views(self, usable: Iterable[Upstream], totals: Totals) -> list[WorkerView]:
        """Return those of ``usable`` that take most instances' requests, as the planner sees them."""
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
