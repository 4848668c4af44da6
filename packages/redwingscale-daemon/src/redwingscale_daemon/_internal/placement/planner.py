"""The planner: one instance among all makes the plan."""

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.leases.ownership import Ownership
from redwingscale_daemon._internal.placement.assign import Bin, assign
from redwingscale_daemon._internal.placement.plan_store import PlanStore
from redwingscale_daemon._internal.upstreams.directory import Directory

LEASE_NAME = "planner"


class Planner:
    """Makes a new plan when configuration or engines have changed."""

    def __init__(
        self,
        ownership: Ownership,
        store: PlanStore,
        current: CurrentConfiguration,
        directory: Directory,
    ) -> None:
        self._ownership = ownership
        self._store = store
        self._current = current
        self._directory = directory

    def step(self) -> None:
        """Plan once, if this instance holds the planner's lease."""
        if self._ownership.try_acquire(LEASE_NAME) is None:
            return
        try:
            self._plan()
        except PlatformError as error:
            log_event("plan_not_written", level="WARNING", error=error)

    def _plan(self) -> None:
        accepted = self._current.get()
        bins = self._bins(accepted.configuration.policy.cache_share) if accepted else []
        if accepted is None or not bins:
            return
        old = self._store.read()
        sequence = old.sequence + 1 if old else 1
        plan = assign(accepted.configuration, bins, sequence, accepted.pointer.version)
        if old is not None and old._replace(sequence=sequence) == plan:
            return
        if self._store.write(plan):
            log_event("plan_written", sequence=sequence, engines=len(plan.units_by_engine))

    def _bins(self, cache_share: float) -> list[Bin]:
        return [
            Bin(
                view.member.id,
                view.member.failure_domain,
                int(view.digest.capacity_bytes * (1 - cache_share)),
                (),
            )
            for view in self._directory.engines().values()
            if view.digest is not None and not view.leaving
        ]
