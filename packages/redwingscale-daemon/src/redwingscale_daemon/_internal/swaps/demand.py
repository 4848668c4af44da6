"""Tracks how much each model is requested, over all instances."""

import math
import threading
import time
from collections.abc import Collection
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.messages import (
    DemandEntry,
    DemandSnapshot,
    InstanceUpdate,
    ModelRates,
    UnitRate,
)
from redwingscale_daemon._internal.swaps.refused_demand import RefusedDemand
from redwingscale_daemon._internal.utils.decaying_rate import DecayingRate

# Demand moves from one model to another within five seconds: a steady rate fades to half in this
# time.
STEADY_HALF_LIFE_SECONDS = 4.0
# If the rate with this shorter half-life is lower, demand is moving away: a load that starts now
# would complete for requests that are no longer sent.
RECENT_HALF_LIFE_SECONDS = 2.0
# Requests to expect for a model without current demand, comparable to a rate times some seconds.
NEW_MODEL_REQUESTS = 3.0
NEW_MODEL_HALF_LIFE_SECONDS = 40.0
FORMERLY_BUSY_REQUESTS = 0.6
RARE_MODEL_REQUESTS = 0.2
BUSY_PER_SECOND = 1.0
# Until requests have been observed for this long, the number of copies that the workers start with
# indicates how much a model is requested.
OBSERVATION_SECONDS = 6.0
KEPT_INITIAL_COPIES_FRACTION = 0.6
# Slower rates do not predict future requests and are left out of a snapshot.
MIN_SENT_PER_SECOND = 0.02
# One late request in some seconds does not justify an extra copy of its adapter.
MIN_OVERLOADS_PER_SECOND = 0.5
# A model with this many requests per second is missing if it has no holder, although each of its
# requests is refused at once and none waits: more than two requests in the time of a cold load.
MISSING_PER_SECOND = 0.3
# Each update of an instance replaces its previous one; the waiting requests of an instance that is
# silent for longer are ignored.
UPDATE_FRESH_SECONDS = 1.5


class WaitingUnit(NamedTuple):
    """Requests that wait for a unit, each weighted by its urgency.

    ``max_wait_seconds`` is the longest time that any of them can still wait.
    """

    service: str
    unit: Unit
    requests: float
    max_wait_seconds: float


_ZERO_STEADY = DecayingRate(STEADY_HALF_LIFE_SECONDS)
_ZERO_RECENT = DecayingRate(RECENT_HALF_LIFE_SECONDS)


class Demand:
    """Keeps fading request rates by unit, and the requests that wait now."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rates: dict[tuple[str, Unit], DecayingRate] = {}
        self._model_rates: dict[tuple[str, str], DecayingRate] = {}
        self._recent_rates: dict[tuple[str, str], DecayingRate] = {}
        self._overload_rates: dict[tuple[str, str], DecayingRate] = {}
        self._adapter_overload_rates: dict[tuple[str, Unit], DecayingRate] = {}
        self._peaks: dict[tuple[str, str], float] = {}
        self._missing_since: dict[tuple[str, str], float] = {}
        self._waiting: dict[str, tuple[float, list[DemandEntry]]] = {}
        self._refused = RefusedDemand()
        self._initial_copies: dict[tuple[str, str], int] = {}
        self._first_arrival_at: float | None = None
        # When the first update with a request was received.
        self._traffic_began_at: float | None = None
        self._snapshot_senders: set[str] = set()

    def note_initial_copies(self, service: str, copies_by_model: dict[str, int]) -> None:
        """Note how many copies of each model the workers of a service have at the start.

        Numbers that were noted earlier are kept.
        """
        with self._lock:
            for model, copies in copies_by_model.items():
                self._initial_copies.setdefault((service, model), copies)

    def receive(self, update: InstanceUpdate) -> None:
        """Count the demand in an instance's update."""
        now = time.monotonic()
        with self._lock:
            if update.demand_snapshot is not None and update.instance not in self._snapshot_senders:
                self._snapshot_senders.add(update.instance)
                self._add_snapshot(update.demand_snapshot, now)
            self._waiting[update.instance] = (
                now,
                [entry for entry in update.demand if entry.waiting],
            )
            if update.demand and self._first_arrival_at is None:
                self._first_arrival_at = now
            if any(entry.arrivals or entry.waiting for entry in update.demand):
                self._note_request(now)
            for entry in update.demand:
                self._count(entry, now)
                self._refused.note(entry)

    def _note_request(self, now: float) -> None:
        if self._traffic_began_at is None:
            self._traffic_began_at = now

    def traffic_seconds(self) -> float | None:
        """Return how long ago the first request arrived, None before it."""
        began_at = self._traffic_began_at
        return None if began_at is None else time.monotonic() - began_at

    def forget_snapshot_senders(self) -> None:
        """Accept one more snapshot from each instance, for a new term as leader."""
        with self._lock:
            self._snapshot_senders.clear()

    def snapshot(self) -> DemandSnapshot:
        """Return the demand counted here, for a leader that has not received it."""
        now = time.monotonic()
        with self._lock:
            first = now if self._first_arrival_at is None else self._first_arrival_at
            models = [
                ModelRates(
                    *key,
                    rate.now(now),
                    self._recent_rates[key].now(now),
                    self._overload_rates[key].now(now),
                    self._peaks.get(key, 0.0),
                )
                for key, rate in self._model_rates.items()
            ]
            units = [
                UnitRate(service, unit.model, unit.adapter, rate.now(now))
                for (service, unit), rate in self._rates.items()
                if rate.now(now) > MIN_SENT_PER_SECOND
            ]
        return DemandSnapshot(now - first, models, units)

    def waiting(self) -> list[WaitingUnit]:
        """Return the units that requests wait for, the shortest max wait first."""
        now = time.monotonic()
        with self._lock:
            waiting = [
                (entry, received_at)
                for received_at, entries in self._waiting.values()
                if now - received_at < UPDATE_FRESH_SECONDS
                for entry in entries
            ]
        by_unit: dict[tuple[str, Unit], WaitingUnit] = {}
        for entry, received_at in waiting:
            key = (entry.service, Unit(entry.model, entry.adapter))
            max_wait = entry.max_wait_seconds - (now - received_at)
            current = by_unit.get(key, WaitingUnit(*key, 0, 0.0))
            by_unit[key] = current._replace(
                requests=current.requests + entry.waiting * entry.weight,
                max_wait_seconds=max(current.max_wait_seconds, max_wait),
            )
        return sorted(by_unit.values(), key=lambda waiting: waiting.max_wait_seconds)

    def wanted(self) -> list[WaitingUnit]:
        """Return the units that requests wait for, or were refused for lately.

        Refused requests count as if they still waited: they return, and can wait then.
        """
        waiting = {(one.service, one.unit): one for one in self.waiting()}
        with self._lock:
            refused = self._refused.units()
        for one in refused:
            key = (one.service, one.unit)
            current = waiting.get(key, WaitingUnit(*key, 0, 0.0))
            waiting[key] = current._replace(
                requests=current.requests + one.requests,
                max_wait_seconds=max(current.max_wait_seconds, one.max_wait_seconds),
            )
        return sorted(waiting.values(), key=lambda one: one.max_wait_seconds)

    def note_resident(self, service: str, models: Collection[str]) -> None:
        """Note which models are resident: requests do not wait for them in vain any more."""
        with self._lock:
            for model in models:
                self._missing_since.pop((service, model), None)

    def rate(self, service: str, unit: Unit) -> float:
        """Return the arrivals per second for ``unit`` alone, faded."""
        rate = self._rates.get((service, unit))
        return rate.now(time.monotonic()) if rate else 0.0

    def model_rate(self, service: str, model: str) -> float:
        """Return the arrivals per second for ``model`` with all its adapters.

        The lower of the steady and the recent rate: it rises only while arrivals last, and falls
        as soon as they end.
        """
        key, now = (service, model), time.monotonic()
        steady = self._model_rates.get(key, _ZERO_STEADY).now(now)
        return min(steady, self._recent_rates.get(key, _ZERO_RECENT).now(now))

    def recent_rate(self, service: str, model: str) -> float:
        """Return the arrivals per second for ``model``, with the half-life of `overload_rate`."""
        return self._recent_rates.get((service, model), _ZERO_RECENT).now(time.monotonic())

    def overload_rate(self, service: str, model: str) -> float:
        """Return the requests per second for ``model`` whose holders were too busy."""
        return self._overload_rates.get((service, model), _ZERO_RECENT).now(time.monotonic())

    def overloaded_adapters(self, service: str) -> list[Unit]:
        """Return the adapters whose holders were too busy lately, the most overloaded first."""
        now = time.monotonic()
        with self._lock:
            self._adapter_overload_rates = {
                key: rate
                for key, rate in self._adapter_overload_rates.items()
                if rate.now(now) >= MIN_OVERLOADS_PER_SECOND
            }
            rates = {
                unit: rate.now(now)
                for (name, unit), rate in self._adapter_overload_rates.items()
                if name == service
            }
        return sorted(rates, key=lambda unit: rates[unit], reverse=True)

    def clear_overload(self, service: str, unit: Unit) -> None:
        """Reset the overload of an adapter that gets an extra holder.

        Requests that were late before the copy was loaded would otherwise cause the adapter to be
        loaded at every copy of its model, until their rate has faded.
        """
        with self._lock:
            self._adapter_overload_rates.pop((service, unit), None)

    def baseline_requests(self, service: str, model: str) -> float:
        """Return how many requests to expect beyond the current rate, for an idle model.

        Demand moves on to models that have not been requested yet. Models that were busy before
        and models that are requested now and then are less likely to be next.
        """
        peak = self._peaks.get((service, model))
        if peak is None:
            return max(RARE_MODEL_REQUESTS, NEW_MODEL_REQUESTS * self._new_model_fraction())
        return FORMERLY_BUSY_REQUESTS if peak >= BUSY_PER_SECOND else RARE_MODEL_REQUESTS

    def _new_model_fraction(self) -> float:
        # A model without requests for a while is unlikely to be the next one. Without this decay
        # it would stay resident for ever in place of models that are requested.
        first = self._first_arrival_at
        since = 0.0 if first is None else time.monotonic() - first
        return 0.5 ** (since / NEW_MODEL_HALF_LIFE_SECONDS)

    def missing_seconds(self, service: str, model: str, *, resident: bool) -> float:
        """Return how long requests have waited for ``model`` in vain, 0 once it is ``resident``.

        The time starts with the first call while the model is not resident.
        """
        key = (service, model)
        now = time.monotonic()
        with self._lock:
            if resident:
                self._missing_since.pop(key, None)
                return 0.0
            return now - self._missing_since.setdefault(key, now)

    def initial_copies(self, service: str, model: str) -> int:
        """Return how many copies of ``model`` the workers had resident at the start."""
        return self._initial_copies.get((service, model), 0)

    def requested_models(self, service: str) -> dict[str, float]:
        """Return the arrivals per second of the models that count as missing without a holder."""
        with self._lock:
            names = [model for name, model in self._recent_rates if name == service]
        rates = {model: self.model_rate(service, model) for model in names}
        return {model: rate for model, rate in rates.items() if rate >= MISSING_PER_SECOND}

    def copies_to_keep(self, service: str, model: str) -> int:
        """Return how many copies of ``model`` to keep.

        A fraction of the initial copies until demand has been observed, one copy afterwards.
        """
        copies = self._initial_copies.get((service, model), 0)
        return (
            1 if self._observation_complete() else math.ceil(copies * KEPT_INITIAL_COPIES_FRACTION)
        )

    def _observation_complete(self) -> bool:
        first = self._first_arrival_at
        return first is not None and time.monotonic() - first > OBSERVATION_SECONDS

    def _add_snapshot(self, snapshot: DemandSnapshot, now: float) -> None:
        """Add the demand that an instance counted before this process became leader.

        A leader that starts while demand moves would otherwise see each model's demand start at
        zero, and load rare models that requests wait for in place of extra copies of the busy one.
        """
        first = now - snapshot.seconds
        if snapshot.models:
            self._note_request(now)
        current = self._first_arrival_at
        self._first_arrival_at = first if current is None else min(current, first)
        for received in snapshot.models:
            key = (received.service, received.model)
            self._model_rates[key] = self._model_rates.get(key, _ZERO_STEADY).increased_by(
                received.steady, now
            )
            self._recent_rates[key] = self._recent_rates.get(key, _ZERO_RECENT).increased_by(
                received.recent, now
            )
            self._overload_rates[key] = self._overload_rates.get(key, _ZERO_RECENT).increased_by(
                received.overloads, now
            )
            if received.peak:
                self._peaks[key] = self._peaks.get(key, 0.0) + received.peak
        for entry in snapshot.units:
            unit = (entry.service, Unit(entry.model, entry.adapter))
            self._rates[unit] = self._rates.get(unit, _ZERO_STEADY).increased_by(entry.steady, now)

    def _count(self, entry: DemandEntry, now: float) -> None:
        key = (entry.service, Unit(entry.model, entry.adapter))
        self._rates[key] = self._rates.get(key, _ZERO_STEADY).with_events(entry.arrivals, now)
        model = (entry.service, entry.model)
        steady = self._model_rates.get(model, _ZERO_STEADY).with_events(entry.arrivals, now)
        recent = self._recent_rates.get(model, _ZERO_RECENT).with_events(entry.arrivals, now)
        overloads = self._overload_rates.get(model, _ZERO_RECENT).with_events(entry.overloads, now)
        self._model_rates[model] = steady
        self._recent_rates[model] = recent
        self._overload_rates[model] = overloads
        if entry.overloads and entry.adapter:
            unit = (entry.service, Unit(entry.model, entry.adapter))
            before = self._adapter_overload_rates.get(unit, _ZERO_RECENT)
            self._adapter_overload_rates[unit] = before.with_events(entry.overloads, now)
        if entry.arrivals:
            self._peaks[model] = max(self._peaks.get(model, 0.0), steady.per_second)
