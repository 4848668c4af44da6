"""The model workers that the leader sends orders to."""

from collections import Counter
from collections.abc import Callable, Collection, Iterable

from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.settings.scheduling import Mode, is_on
from redwingscale_daemon._internal.swaps.instance_totals import Totals
from redwingscale_daemon._internal.swaps.lost_swaps import LostSwapRule
from redwingscale_daemon._internal.swaps.order_client import OrderClient
from redwingscale_daemon._internal.swaps.tasks import ReportTask, Task
from redwingscale_daemon._internal.swaps.unanswered import UnansweredLoad
from redwingscale_daemon._internal.swaps.worker_orders import (
    ADAPTER_LOAD_SECONDS,
    OrderAuthority,
    WorkerOrders,
)
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# Returns the rule of a service's engines, None for a service without model workers.
EngineOf = Callable[[str], EngineRule | None]
# Reports that are read at the same time: those of a new leader's 45 workers take some rounds, and
# those of a failure domain that is cut off do not hold up the others.
MAX_REPORTS_READ_AT_ONCE = 16


class WorkerPool:
    """Keeps the `WorkerOrders` of each listed worker while this instance is the leader."""

    def __init__(
        self,
        engine_of: EngineOf,
        client: OrderClient,
        authority: OrderAuthority,
        on_change: Callable[[], None],
        lost_swaps: Mode = Mode.OFF,
        on_given_up: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._engine_of = engine_of
        self._client = client
        self._authority = authority
        self._on_change = on_change
        self._lost_swaps = lost_swaps
        # Called with the reason for each swap that is given up.
        self._on_given_up = on_given_up
        # Whether swaps are given up, and the rule that it was decided by.
        self._gives_up_by_service: dict[str, tuple[EngineRule | None, bool]] = {}
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

    def read_reports(self, unreachable: Collection[str]) -> None:
        """Read the reports of workers whose state is unknown or in doubt, without waiting.

        In doubt are those that some instance reports as ``unreachable``, and those in a failure
        domain where another worker has just stopped answering. No effect where swaps are not
        given up.
        """
        workers = list(self._by_id.items())
        doubtful = {key for key, one in workers if one.watch.reach.newly_doubtful}
        domains = Counter(self._by_id[key].upstream.failure_domain for key in doubtful)
        for key, worker in workers:
            if key in unreachable or domains[worker.upstream.failure_domain] > (key in doubtful):
                worker.watch.suspect()
        due = [worker for _, worker in workers if worker.may_read_report]
        due.sort(key=lambda worker: worker.watch.reach.lost)
        reading = sum(worker.reading for _, worker in workers)
        for worker in due[: max(0, MAX_REPORTS_READ_AT_ONCE - reading)]:
            worker.start(ReportTask())

    @property
    def unread(self) -> bool:
        """Whether the first attempt to read some worker's report has not ended yet."""
        workers = list(self._by_id.values())
        return any(one.watch.is_on and not one.watch.report_tried for one in workers)

    def request_report(self, upstream_id: str) -> None:
        """Read the report of a worker that has contradicted what is known of it."""
        worker = self._by_id.get(upstream_id)
        if worker is not None:
            worker.watch.request_report()

    def resident_by_id(self) -> dict[str, AdaptersByModel | None]:
        """Return what is resident at each worker, None where it is unknown."""
        return {key: worker.resident() for key, worker in self._by_id.items()}

    def ready_in_by_model(self, cut_off: Collection[str] = ()) -> dict[str, float]:
        """Return the expected seconds until each model that is being loaded is resident.

        Where swaps are given up, loads at ``cut_off`` workers do not count.
        """
        ready_in: dict[str, float] = {}
        for key, worker in self._by_id.items():
            # Read once: the task may end meanwhile.
            model, seconds = worker.loading, worker.ready_in
            if worker.watch.is_on:
                if key in cut_off:
                    continue
                seconds = min(seconds, ready_in.get(model, seconds))
            if model:
                ready_in[model] = seconds
        return ready_in

    def ready_in_by_unit(self, announced: Callable[[str], bool]) -> dict[str, float]:
        """Return the seconds until each unit of the ``announced`` services is resident.

        Adapters included, and the soonest of several loads of a model.
        """
        workers = [one for one in self._by_id.values() if announced(one.upstream.service)]
        adapters = {
            str(unit): ADAPTER_LOAD_SECONDS
            for worker in workers
            if (unit := worker.loading_adapter) is not None
        }
        loads = sorted((one.ready_in, one.loading) for one in workers if one.loading)
        return {model: ready_in for ready_in, model in reversed(loads)} | adapters

    def views(self, usable: Iterable[Upstream], totals: Totals) -> list[WorkerView]:
        """Return the planner's views of those ``usable`` workers that serve most instances."""
        without = totals.cut_off | totals.rejecting
        reached = [one for one in usable if one.id not in without]
        known = [one for one in reached if one.id in self._by_id]
        return [
            self._view(one, totals) for one in known if not self._by_id[one.id].watch.reach.lost
        ]

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
            worker.ledger.reserved_mb if worker.watch.is_on else 0.0,
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
            LostSwapRule(lambda: self._gives_up(upstream.service), self._on_given_up),
        )

    def _gives_up(self, service: str) -> bool:
        # Each plan asks several times for each worker, and the answer takes a look at all models.
        engine = self._engine_of(service)
        known = self._gives_up_by_service.get(service)
        if known is None or known[0] is not engine:
            known = (engine, is_on(self._lost_swaps, engine))
            self._gives_up_by_service[service] = known
        return known[1]
