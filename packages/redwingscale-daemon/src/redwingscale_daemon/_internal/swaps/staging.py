"""Decides which model gets a copy at which worker before anyone asks for it."""

from collections.abc import Collection, Iterable, Sequence

from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.copy_guard import CopyGuard
from redwingscale_daemon._internal.swaps.demand import (
    BUSY_PER_SECOND,
    OBSERVATION_SECONDS,
    Demand,
)
from redwingscale_daemon._internal.swaps.staging_options import (
    SPARE_COST,
    StagedLoad,
    StagingOption,
    StagingOptions,
    cheapest,
)
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# During traffic, staging occupies at most this fraction of the workers: each is blocked for the
# time of a cold load, and a copy on its disk may be asked for meanwhile.
MAX_WORKERS_IN_TRAFFIC = 0.1
# A worker with less than this fraction of the mean copies is filled up: it is new.
FEW_COPIES_FRACTION = 0.5


class Staging:
    """The staged loads that are useful at one point in time.

    Designed for two loads: the 16 s before traffic starts, in which some 25 of 104 models are at no
    worker and each of 30 workers carries out one cold load, and the idle workers during traffic.
    Only a load makes a copy, and it drives the least recently used copies out. A model whose last
    copy would be at risk is first loaded from that copy, which makes it the most recently used
    one.
    """

    def __init__(
        self,
        service: str,
        engine: EngineRule,
        demand: Demand,
        guard: CopyGuard,
        views: Sequence[WorkerView],
    ) -> None:
        self._service = service
        self._engine = engine
        self._demand = demand
        self._copies = guard.copies
        self._views = views
        self._traffic_seconds = demand.traffic_seconds()
        self._options = StagingOptions(service, engine, demand, guard, views)

    def next_load(self, *, cold_allowed: bool, awaited: Collection[str] = ()) -> StagedLoad | None:
        """Return the next load, None if none is useful now.

        While requests wait for ``awaited`` models, no other model is staged.
        """
        if not self._options.free or self._too_many():
            return None
        missing = [name for name in self._copies.missing() if not awaited or name in awaited]
        option = self._without_copy(missing) or self._protection(missing)
        if option is None and not awaited:
            option = self._restoration() or self._second_domain() or self._few_copies()
        return option.load if option and (cold_allowed or not option.load.cold) else None

    def _too_many(self) -> bool:
        if self._traffic_seconds is None:
            return False
        staged = sum(1 for view in self._views if self._is_staged(view.loading))
        return staged >= max(1, len(self._views) * MAX_WORKERS_IN_TRAFFIC)

    def _is_staged(self, loading: str) -> bool:
        """Return whether a load is, or may be, one that nobody waits for."""
        if not loading:
            return False
        return self._options.is_unrequested(loading) or self._copies.holders(loading) > 1

    def _without_copy(self, missing: Iterable[str]) -> StagingOption | None:
        """Return the load of a model that is at no worker, where no last copy is at risk."""
        options = (cheapest(self._options.everywhere(name, "no_copy")) for name in missing)
        return next((option for option in options if option is not None), None)

    def _protection(self, missing: Sequence[str]) -> StagingOption | None:
        """Return a load that prepares a worker for a model that is at no worker.

        Each prepared worker takes one such model, so that no more workers are prepared at a time
        than there are models left.
        """
        prepared = sum(
            1 for view in self._views if view.loading and view.loading in self._copies.local(view)
        )
        if len(missing) <= prepared:
            return None
        at_risk = self._options.everywhere(missing[0], "no_copy")
        for option in sorted(at_risk, key=lambda one: (len(one.lost), one.cost)):
            view = option.load.view
            for name in sorted(option.lost.keys() & self._copies.local(view)):
                found = cheapest(self._options.at(view, name, "protects"))
                if found is not None:
                    return found
        if any(view.loading for view in self._views):
            # A worker that is free later may take it without risk.
            return None
        gaining = [option for option in at_risk if sum(option.lost.values()) < 1]
        return min(gaining, key=lambda one: (sum(one.lost.values()), one.cost), default=None)

    def _restoration(self) -> StagingOption | None:
        """Return the load of a model that was resident at the start and is in too few places.

        It takes the place of a staged model, which stays at hand.
        """
        seconds = self._traffic_seconds
        if seconds is not None and seconds > OBSERVATION_SECONDS:
            return None
        least = 1 if seconds is None else 2
        present_fraction = {
            name: self._copies.holders(name) / initial
            for name in self._engine.models_by_name
            if (initial := self._demand.initial_copies(self._service, name)) >= least
            and self._copies.holders(name) < initial
        }
        for name in sorted(present_fraction, key=lambda one: (present_fraction[one], one)):
            options = self._options.everywhere(name, "restores")
            local = [one for one in options if not one.load.cold and one.cost < SPARE_COST]
            if (option := cheapest(local)) is not None:
                return option
        return None

    def _second_domain(self) -> StagingOption | None:
        """Return the load of a busy model all of whose copies are in one failure domain.

        During traffic it takes no room from a model that has no other holder: the demand for
        either may have moved on before the load ends.
        """
        domains = {view.upstream.id: view.upstream.failure_domain for view in self._views}
        if len(set(domains.values())) < 2:
            return None
        in_traffic = self._traffic_seconds is not None
        busy = [name for name in self._engine.models_by_name if self._is_busy(name)]
        for name in sorted(busy, key=self._rate, reverse=True):
            places = self._copies.places(name)
            present = {domains[key] for key in places}
            if len(present) != 1 or (in_traffic and len(places) > 1):
                continue
            options = [
                option
                for view in self._options.free
                if view.upstream.failure_domain not in present
                for option in self._options.at(view, name, "second_domain")
                if not in_traffic or self._takes_spare_room(option)
            ]
            if (option := cheapest(options)) is not None:
                return option
        return None

    def _takes_spare_room(self, option: StagingOption) -> bool:
        evicted = option.load.evicted
        return option.cost <= SPARE_COST and all(self._copies.holders(one) > 1 for one in evicted)

    def _few_copies(self) -> StagingOption | None:
        """Return a load at a worker with few copies, of the model with the fewest places."""
        stored = {view.upstream.id: self._copies.stored_mb(view) for view in self._views}
        few = sum(stored.values()) / len(stored) * FEW_COPIES_FRACTION
        options = (
            option
            for view in self._options.free
            if stored[view.upstream.id] < few
            for name in self._engine.models_by_name
            if self._copies.fits_on_disk(view, name)
            for option in self._options.at(view, name, "few_copies")
            if option.load.cold and not option.lost
        )
        return min(options, key=self._few_copies_order, default=None)

    def _few_copies_order(self, option: StagingOption) -> tuple[int, float, float, str]:
        name = option.load.model
        return len(self._copies.places(name)), -self._rate(name), option.cost, name

    def _is_busy(self, name: str) -> bool:
        if self._traffic_seconds is None:
            return self._demand.initial_copies(self._service, name) > 1
        return self._demand.model_rate(self._service, name) >= BUSY_PER_SECOND

    def _rate(self, name: str) -> float:
        return self._demand.recent_rate(self._service, name)
