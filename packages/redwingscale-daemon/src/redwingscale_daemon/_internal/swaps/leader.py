"""Turns the demand of all instances into orders to model workers."""

import math
import random
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.health import Health
from redwingscale_daemon._internal.fleet.outcomes import Outcomes
from redwingscale_daemon._internal.fleet.replaced_upstreams import ReplacedUpstreams
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_daemon._internal.swaps.adapter_orders import AdapterOrders
from redwingscale_daemon._internal.swaps.announced_returns import AnnouncedReturns
from redwingscale_daemon._internal.swaps.bound_waits import BoundWaits
from redwingscale_daemon._internal.swaps.copy_plans import CopyPlans, CopySettings
from redwingscale_daemon._internal.swaps.demand import Demand, WaitingUnit
from redwingscale_daemon._internal.swaps.failing_upstreams import FailingUpstreams
from redwingscale_daemon._internal.swaps.instance_totals import NO_TOTALS, InstanceTotals
from redwingscale_daemon._internal.swaps.leader_server import LeaderServer
from redwingscale_daemon._internal.swaps.list_changes import ListChanges
from redwingscale_daemon._internal.swaps.load_rate import LoadCeiling, LoadRate
from redwingscale_daemon._internal.swaps.messages import (
    BoundWait,
    InstanceUpdate,
    LeaderUpdate,
    LoadEntry,
    StoreUpdate,
)
from redwingscale_daemon._internal.swaps.order_client import OrderClient
from redwingscale_daemon._internal.swaps.permit_issuer import PermitIssuer
from redwingscale_daemon._internal.swaps.planner import Planner, Swap
from redwingscale_daemon._internal.swaps.repeat_history import RepeatHistory
from redwingscale_daemon._internal.swaps.service_views import ServiceViews
from redwingscale_daemon._internal.swaps.slowness import Slowness
from redwingscale_daemon._internal.swaps.tasks import ReportTask, SwapTask
from redwingscale_daemon._internal.swaps.unserved_units import UnservedUnits
from redwingscale_daemon._internal.swaps.update_schedule import UPDATE_SECONDS, UpdateSchedule
from redwingscale_daemon._internal.swaps.worker_orders import OrderAuthority
from redwingscale_daemon._internal.swaps.worker_pool import WorkerPool
from redwingscale_daemon._internal.swaps.worker_view import WorkerView
from redwingscale_daemon._internal.workspaces.place_shares import PlaceShares
from redwingscale_daemon._internal.workspaces.use_totals import UseTotals
from redwingscale_daemon._internal.workspaces.workspace import UseLimit

# Each plan is followed by a pause of four times its duration. Waiting requests trigger plans at
# any rate: on a machine with half a core, plans for 45 workers would take all CPU time from the
# requests that the machine forwards.
PLAN_PAUSE_FACTOR = 4.0
MIN_PLAN_PAUSE_SECONDS = 0.02
# Updates go to every instance, so plans are less frequent among many: a message each 20 ms to each
# of seventy instances exceeds a link of 10 Mbit/s.
PLAN_PAUSE_SECONDS_PER_INSTANCE = 0.0005
# Updates use at most this fraction of the machine's link. Lease renewals at the store and callers'
# requests need the rest: a leader that fills its link loses its lease.
UPDATE_LINK_FRACTION = 0.4
# Instances treat a leader that is silent for longer as lost.
MAX_PLAN_PAUSE_SECONDS = 0.7
BITS_PER_MEGABIT = 1e6
# Where lost swaps are given up: how long the first update of a new leader waits for the reports of
# the workers, which take some milliseconds each. Without them, instances would use the residency of
# the list, which may lag. Requests that wait for a load expect its announcement within 0.3 s.
FIRST_UPDATE_SECONDS = 0.1
# Each swap evaluates every model at every worker again; further swaps wait a quarter of a second.
MAX_SWAPS_PER_STEP = 4
# Other addresses follow in later updates; instances remember them.
MAX_PEERS_PER_UPDATE = 8


class Leader:
    """Plans and sends orders while this instance holds the leader lease, else does nothing."""

    def __init__(
        self,
        authority: OrderAuthority,
        routes: CurrentRoutes,
        directory: UpstreamDirectory,
        client: OrderClient,
        server: LeaderServer,
        load_window: LoadCeiling,
        read: Callable[[ListChanges], StoreUpdate],
        link_mbps: float = math.inf,
        use_slack: float = 0.0,
        issuer: PermitIssuer | None = None,
        known_instances: Callable[[], int] = lambda: 0,
        limits_by_id: Callable[[], Mapping[str, float]] = dict,
        ordered_return: Callable[[EngineRule], bool] = lambda _: False,
        lost_swaps: Mode = Mode.OFF,
        on_given_up: Callable[[str], None] = lambda _: None,
        copies: CopySettings | None = None,
        former_slowness: Callable[[], Mapping[str, float]] = dict,
        next_difference: Callable[[], bytes] = bytes,
        repeats: RepeatHistory | None = None,
        replaced: ReplacedUpstreams | None = None,
    ) -> None:
        self._authority = authority
        self._routes = routes
        self._directory = directory
        self._server = server
        self._load_window = load_window
        self._link_mbps = link_mbps
        # Returns the number of instances according to the updates received here.
        self._known_instances = known_instances
        # Returns what this instance has read from the store, with the changes of the upstream
        # list.
        self._read = read
        self._changes = ListChanges()
        # Returns what a new configuration changes, for the update that is sent next.
        self._next_difference = next_difference
        self._demand = Demand()
        self._bound_waits = BoundWaits()
        self._copies = CopyPlans(copies or CopySettings(), self._demand)
        # Services with staged copies whose initial copies are noted; later ones may be staged.
        self._noted: set[str] = set()
        self._rate = LoadRate()
        self._wake = threading.Event()
        self._workers = WorkerPool(
            self._engine, client, authority, self._wake.set, lost_swaps, on_given_up
        )
        self._service_views = ServiceViews(directory, self._workers, self._demand, limits_by_id)
        self._adapters = AdapterOrders(self._demand, self._workers)
        # Whether requests for a service's models are refused at once if no load is planned.
        self._ordered_return = ordered_return
        self._unserved = UnservedUnits()
        self._returns = AnnouncedReturns()
        self._instances = InstanceTotals()
        self._failing = FailingUpstreams()
        self._slowness = Slowness()
        # Returns the slowness that the former leader has sent.
        self._former_slowness = former_slowness
        self._use = UseTotals(use_slack)
        self._shares = PlaceShares()
        self._repeats = repeats or RepeatHistory(0.0)
        self._replaced = replaced or ReplacedUpstreams(directory, Health(Outcomes()))
        # Issues permits for upstreams with a rate limit.
        self._issuer = issuer or PermitIssuer()
        self._totals = NO_TOTALS
        self._schedule = UpdateSchedule()
        self._leading = False
        self._term_began_at = 0.0
        # Not for secrets: it only spreads peer requests over the instances.
        self._random = random.Random()

    def receive(self, update: InstanceUpdate) -> None:
        """Process an instance's update; called by the threads that receive updates."""
        self._demand.receive(update)
        self._failing.receive(update.outcomes)
        self._slowness.receive(update.first_events)
        self._use.receive(update.instance, update.drawn)
        self._shares.receive(update.places)
        self._replaced.receive(update.replaced, "instance")
        self._repeats.receive(update.instance, update.start, update.repeats)
        self._directory.note_leaving(update.leaving, "instance")
        for key in update.misdirected:
            self._workers.request_report(key)
        if self._issuer.receive(update.instance, update.rate_limits):
            self._wake.set()
        if self._instances.receive(update):
            # A new instance has no residency yet.
            self._schedule.request_full()
            self._wake.set()
        self._returns.receive(update.returns)
        bound = self._bound_waits.receive(update)
        if bound or any(entry.waiting or entry.refused for entry in update.demand):
            self._wake.set()

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are no longer listed."""
        self._instances.forget(upstream_ids)
        self._slowness.forget(upstream_ids)

    def step(self) -> LeaderUpdate | None:
        """Plan once and return the update sent, None without changes or the leader lease."""
        self._wake.wait(UPDATE_SECONDS)
        self._wake.clear()
        fence = self._authority.fence()
        if fence is None:
            self._end_term()
            self._note_copies_before_term()
            return None
        if not self._leading:
            self._leading = True
            self._begin_term(fence)
        started = time.monotonic()
        self._totals = self._instances.sum()
        self._follow_upstreams()
        self._plan()
        reading = self._workers.unread and started - self._term_began_at < FIRST_UPDATE_SECONDS
        update = None if reading else self._make_update(fence)
        message_bytes = 0 if update is None else self._server.publish(update)
        elapsed = time.monotonic() - started
        min_pause = MIN_PLAN_PAUSE_SECONDS + len(self._instances) * PLAN_PAUSE_SECONDS_PER_INSTANCE
        pause = min(UPDATE_SECONDS, max(min_pause, elapsed * PLAN_PAUSE_FACTOR))
        time.sleep(max(pause, self._sending_seconds(message_bytes)))
        return update

    def _sending_seconds(self, message_bytes: int) -> float:
        """Return how long a message to all instances takes within `UPDATE_LINK_FRACTION`."""
        bits = message_bytes * 8 * len(self._instances)
        return min(
            MAX_PLAN_PAUSE_SECONDS,
            bits / (self._link_mbps * BITS_PER_MEGABIT * UPDATE_LINK_FRACTION),
        )

    def _begin_term(self, fence: int) -> None:
        log_event("giver_begins", fence=fence)
        self._term_began_at = time.monotonic()
        self._copies.begin_term(succeeds_another=self._authority.succeeds_another())
        self._slowness.begin(self._former_slowness(), [one.id for one in self._directory.all()])
        self._use.begin(self._known_instances())
        self._shares.begin()
        self._repeats.begin(succeeds_another=self._authority.succeeds_another())
        self._issuer.begin()
        self._changes.begin_with(self._directory.all())
        table = self._routes.get()
        if not self._authority.succeeds_another() or table is None:
            return
        for service in table.services_by_name.values():
            if service.engine is not None:
                self._rate.assume_full_window(
                    self._ceiling(service.engine), self._authority.handover_pause_seconds
                )

    def _ceiling(self, engine: EngineRule) -> LoadCeiling:
        return self._load_window._replace(per_second=engine.cold_loads_per_second)

    def _end_term(self) -> None:
        """Discard state that only the leader has; another leader may change it."""
        if self._leading:
            self._leading = False
            self._schedule = UpdateSchedule()
            self._changes = ListChanges()
            self._demand.forget_snapshot_senders()
            self._unserved.clear()
            self._returns.clear()
            log_event("giver_ends")
        self._workers.stop()

    def _follow_upstreams(self) -> None:
        listed = [one for one in self._directory.all() if self._engine(one.service)]
        if not self._workers:
            self._note_initial_copies(listed)
        self._workers.follow(listed)
        self._workers.read_reports(self._totals.unreachable)

    def _note_initial_copies(self, upstreams: Iterable[Upstream]) -> None:
        copies: dict[str, Counter[str]] = defaultdict(Counter)
        for upstream in upstreams:
            copies[upstream.service].update(upstream.models_by_name.keys())
        for service, copies_by_model in copies.items():
            if service in self._noted:
                continue
            if self._copies.is_on(self._engine(service)):
                self._noted.add(service)
            self._demand.note_initial_copies(service, copies_by_model)

    def _note_copies_before_term(self) -> None:
        """Note the initial copies that staging restores, in case this instance leads later."""
        self._note_initial_copies(
            one
            for one in self._directory.all()
            if one.service not in self._noted and self._copies.is_on(self._engine(one.service))
        )

    def _engine(self, service: str) -> EngineRule | None:
        table = self._routes.get()
        rule = table.services_by_name.get(service) if table else None
        return rule.engine if rule else None

    def _plan(self) -> None:
        for bound in self._bound_waits.all():
            self._load_at_version(bound)
        wanted = self._demand.wanted()
        for waiting in wanted:
            engine = self._engine(waiting.service)
            if engine is None:
                continue
            views = self._views(waiting.service)
            model = waiting.unit.model
            if any(model in view.resident for view in views):
                self._demand.missing_seconds(waiting.service, model, resident=True)
            if any(_has_resident(view, waiting.unit) for view in views):
                continue
            if any(model in view.resident for view in views):
                self._adapters.load_waiting(waiting, engine, views)
        table = self._routes.get()
        for name, service in table.services_by_name.items() if table else ():
            if service.engine is not None:
                self._adapters.load_extra_copies(name, service.engine, self._views)
                complete = self._swap_models(name, service.engine)
                if self._ordered_return(service.engine):
                    self._note_plan(name, [one for one in wanted if one.service == name], complete)

    def _load_at_version(self, bound: BoundWait) -> None:
        """Load what begun streams wait for at an upstream of the version that began them."""
        engine = self._engine(bound.service)
        if engine is None:
            return
        unit = Unit(bound.model, bound.adapter)
        waiting = WaitingUnit(bound.service, unit, bound.requests, bound.max_wait_seconds)
        views = [
            view for view in self._views(bound.service) if view.upstream.software == bound.software
        ]
        if any(_has_resident(view, unit) or view.loading == unit.model for view in views):
            return
        if any(unit.model in view.resident for view in views):
            self._adapters.load_waiting(waiting, engine, views)
            return
        planner = Planner(bound.service, engine, self._demand)
        cold_allowed = self._rate.allows_load(self._ceiling(engine))
        swap = planner.swap_for(waiting, views, cold_allowed=cold_allowed)
        if swap is not None:
            self._start_swap(swap, [waiting])

    def _note_plan(self, service: str, wanted: list[WaitingUnit], complete: bool) -> None:
        views = self._views(service)
        self._demand.note_resident(service, {name for view in views for name in view.resident})
        self._unserved.note_plan(wanted, views, complete=complete)

    def _swap_models(self, service: str, engine: EngineRule) -> bool:
        """Start the swaps that pay off, the best one first; each affects the next choice.

        Returns whether no further one pays off now.
        """
        staged = self._copies.is_on(engine)
        planner = Planner(
            service,
            engine,
            self._demand,
            lambda views: self._copies.guard(service, engine, views) if staged else None,
        )
        if staged:
            resident = frozenset().union(*(view.resident for view in self._views(service)))
            self._demand.note_resident(service, resident)
        for _ in range(MAX_SWAPS_PER_STEP):
            views = self._views(service)
            waiting = self._service_views.missing_models(
                service, engine, views, self._totals, by_arrivals=staged
            )
            cold_allowed = self._rate.allows_load(self._ceiling(engine))
            swap = planner.best_swap(waiting, views, cold_allowed=cold_allowed)
            if swap is not None:
                self._start_swap(swap, waiting)
            elif not self._copies.stages(engine) or not self._stage(
                service, engine, waiting, cold_allowed
            ):
                return True
        return False

    def _stage(
        self, service: str, engine: EngineRule, waiting: Iterable[WaitingUnit], cold_allowed: bool
    ) -> bool:
        """Start the next staged load, if any; return whether there was one."""
        awaited = {one.unit.model for one in waiting}
        views = self._views(service)
        for key in self._copies.reports_to_read(engine, views):
            self._workers.start_task(key, ReportTask())
        load = self._copies.next_load(
            service, engine, views, cold_allowed=cold_allowed, awaited=awaited
        )
        if load is None:
            return False
        if load.cold:
            self._rate.count_load()
        self._copies.note_evictions(service, load.evicted)
        task = SwapTask(load.evicted, load.model, load.load_seconds)
        self._workers.start_task(load.view.upstream.id, task)
        return True

    def _start_swap(self, swap: Swap, waiting: Iterable[WaitingUnit]) -> None:
        served = [one for one in waiting if one.unit.model == swap.model.name]
        log_event(
            "swap_planned",
            upstream=swap.view.upstream.id,
            model=swap.model.name,
            evicted=",".join(swap.evicted) or "-",
            cold=swap.cold,
            seconds=swap.load_seconds,
            gain=round(swap.net_gain, 1),
            waiting=sum(one.requests for one in served),
            patience=round(max((one.max_wait_seconds for one in served), default=0.0), 2),
        )
        if swap.cold:
            self._rate.count_load()
        self._copies.note_evictions(swap.view.upstream.service, swap.evicted)
        task = SwapTask(swap.evicted, swap.model.name, swap.load_seconds)
        self._workers.start_task(swap.view.upstream.id, task)

    def _views(self, service: str) -> list[WorkerView]:
        return self._service_views.views(service, self._totals)

    def _make_update(self, fence: int) -> LeaderUpdate | None:
        """Return the next update, None if nothing has changed and no periodic one is due."""
        periodic = self._schedule.periodic_due()
        residency, residency_complete = self._schedule.residency(
            self._workers.resident_by_id(), periodic=periodic, instances=len(self._instances)
        )
        ready_in = self._workers.ready_in_by_model(
            self._totals.cut_off
        ) | self._workers.ready_in_by_unit(self._announces_units)
        unplanned = self._unserved.listed(periodic=periodic)
        store = self._read(self._changes)
        limits = self._issuer.issue(all_limits=periodic)
        changed = self._schedule.has_changes(ready_in.keys(), store)
        if not changed and not periodic and not limits and not unplanned:
            return None
        loads = [LoadEntry(key, *load) for key, load in self._totals.loads.items()]
        return LeaderUpdate(
            self._authority.instance,
            fence,
            residency,
            residency_complete,
            ready_in,
            loads if periodic else None,
            len(self._instances),
            store,
            self._failing.ratios() if periodic else {},
            self._use.grants(self._limits_by_name()) if periodic else None,
            self._sample_peers() if residency_complete else [],
            limits,
            self._directory.leaving_unlisted(),
            unplanned=unplanned,
            returns=self._returns.next_entries() if periodic else [],
            slowness=self._slowness.changes() if periodic else {},
            shares=self._shares.shares() if periodic else None,
            configuration_difference=self._next_difference(),
            starts=self._repeats.next_starts(),
            replaced=self._replaced.addresses(),
        )

    def _announces_units(self, service: str) -> bool:
        """Return whether requests are refused if no load of their unit is announced."""
        engine = self._engine(service)
        return engine is not None and self._ordered_return(engine)

    def _sample_peers(self) -> list[str]:
        addresses = self._instances.addresses()
        return self._random.sample(addresses, min(MAX_PEERS_PER_UPDATE, len(addresses)))

    def _limits_by_name(self) -> dict[str, UseLimit]:
        table = self._routes.get()
        return table.keys.limits_by_name if table and table.keys else {}


def _has_resident(view: WorkerView, unit: Unit) -> bool:
    adapters = view.resident.get(unit.model)
    return adapters is not None and (not unit.adapter or unit.adapter in adapters)
