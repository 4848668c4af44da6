"""The planner: the instance that holds its lease makes the plan."""

import time
from collections.abc import Iterable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.leases.ownership import Ownership
from redwingscale_daemon._internal.placement.demand import DemandTotals
from redwingscale_daemon._internal.placement.engine_watch import EngineWatch
from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.placement.plan_maker import PlanMaker
from redwingscale_daemon._internal.placement.plan_store import PlanStore
from redwingscale_daemon._internal.upstreams.directory import Directory, EngineView

LEASE_NAME = "planner"
EMPTY_PLAN = Plan(0, 0, {}, {})


class Planner:
    """Makes and stores the next plan while this instance holds the planner's lease."""

    def __init__(
        self,
        ownership: Ownership,
        store: PlanStore,
        current: CurrentConfiguration,
        directory: Directory,
        demand: DemandTotals,
    ) -> None:
        self._ownership = ownership
        self._store = store
        self._current = current
        self._directory = directory
        self._demand = demand
        self._watch = EngineWatch()
        self._maker = PlanMaker()

    def step(self) -> None:
        """Make a plan if this instance holds or can take the planner's lease."""
        if self._ownership.try_acquire(LEASE_NAME) is None:
            return
        try:
            self._plan(time.monotonic())
        except PlatformError as error:
            log_event("plan_not_written", level="WARNING", error=error)

    def _plan(self, now: float) -> None:
        accepted = self._current.get()
        if accepted is None:
            return
        old = self._store.read() or EMPTY_PLAN
        views = self._directory.engines()
        rooms = self._watch.rooms(views, accepted.configuration.policy.cache_share, now)
        if not rooms or (old is EMPTY_PLAN and self._watch.is_settling(views, now)):
            return
        rates = self._demand.rates_by_number()
        self._update_service_time(views.values(), sum(rates.values()))
        plan = self._maker.next_plan(old, accepted, rooms, rates, now)
        # An engine that is leaving or lost keeps its planned units until it is no longer
        # listed: its requests can finish, and it need not reload if it returns.
        absent = old.units_by_engine.keys() & (views.keys() - rooms.keys())
        plan.units_by_engine.update({e: old.units_by_engine[e] for e in absent})
        if old._replace(sequence=plan.sequence) == plan:
            return
        if self._store.write(plan):
            log_event("plan_written", sequence=plan.sequence, engines=len(plan.units_by_engine))

    def _update_service_time(self, views: Iterable[EngineView], rate: float) -> None:
        digests = [view.digest for view in views if view.digest is not None]
        running = sum(digest.running for digest in digests)
        self._maker.service_time.update(running, sum(d.slots for d in digests), rate)
