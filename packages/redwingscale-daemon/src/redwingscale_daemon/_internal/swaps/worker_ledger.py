"""Tracks what is resident at one worker, by its reports and its answers to orders."""

import time
from collections.abc import Callable, Collection, Iterable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.engine_report import EngineReport
from redwingscale_daemon._internal.swaps.order import Load, OrderResult, Unload
from redwingscale_daemon._internal.swaps.room import used_mb
from redwingscale_daemon._internal.swaps.unanswered import (
    MAX_DELIVERY_SECONDS,
    UnansweredLoad,
    pending_adapters,
    pending_mb,
)


class WorkerLedger:
    """A worker's state: taken from a report, then updated by the answers to orders.

    After an ambiguous answer the state is unknown until the next report.

    A report of another start of the process supersedes the ledger: nothing is resident at the
    worker any more, and it gets no order until the upstream list has the new start, which gets its
    own ledger.

    An unload of an adapter that is not resident gets the same answer as one that is carried out,
    but the worker counts only the latter. After an order without an answer, which may have
    unloaded the adapter, the number must be read from a report: an order with too high a number
    may be carried out seconds later, in addition to what was loaded in its place.
    """

    def __init__(
        self,
        upstream: Upstream,
        engine: Callable[[], EngineRule | None],
        unanswered: Iterable[UnansweredLoad] = (),
    ) -> None:
        self._upstream = upstream
        self._engine = engine
        self.report: EngineReport | None = None
        # Loads sent to this start of the process and to former ones with its name.
        self.unanswered = list(unanswered)
        self.superseded = False
        self._unanswered_until = float("-inf")
        # The number of orders that the worker has certainly accepted.
        self._least_accepted = 0

    @property
    def orders_accepted(self) -> int:
        """The number that the next order must carry; 0 while it is unknown."""
        return self.report.orders_accepted if self.report else 0

    def invalidate(self) -> None:
        """Treat the worker's state as unknown until the next report."""
        self.report = None

    def is_outdated(self, report: EngineReport) -> bool:
        """Return whether ``report`` is from before an order that the worker has accepted.

        Without a start time the number may have begun again at 0, and tells nothing.
        """
        return report.started_at_ms is not None and report.orders_accepted < self._least_accepted

    def check_start(self, report: EngineReport) -> bool:
        """Return whether ``report`` is of this start of the process; else supersede the ledger."""
        if report.started_at_ms == self._upstream.started_at_ms:
            return True
        self.superseded = True
        log_event(
            "upstream_reborn",
            level="WARNING",
            upstream=self._upstream.id,
            known_start=self._upstream.started_at_ms,
            reported_start=report.started_at_ms,
        )
        return False

    def resident(
        self, evicting: frozenset[str], evicting_adapters: frozenset[Unit]
    ) -> AdaptersByModel | None:
        """Return the models and adapters that requests may be sent for, None while unknown."""
        if self.superseded:
            return {}
        if self.report is None:
            return None
        return {
            name: frozenset(one for one in adapters if Unit(name, one) not in evicting_adapters)
            for name, adapters in self.report.resident.items()
            if name not in evicting
        }

    def note_order(self, action: Load | Unload, result: OrderResult) -> None:
        """Count an order that the worker has accepted, or may accept later."""
        report = self.report
        assert report is not None
        if result is OrderResult.UNKNOWN:
            self._unanswered_until = time.monotonic() + MAX_DELIVERY_SECONDS
        unloads_adapter = bool(action.unit.adapter) and isinstance(action, Unload)
        if unloads_adapter and result is OrderResult.IN_EFFECT and self._may_be_unloaded():
            self.invalidate()
            return
        if result is OrderResult.UNKNOWN and isinstance(action, Load):
            pending = UnansweredLoad(
                report.orders_accepted,
                self._needed_mb(action.unit),
                time.monotonic(),
                bool(action.unit.adapter),
            )
            self.unanswered.append(pending)
        if result is OrderResult.ACCEPTED:
            self._least_accepted = report.orders_accepted + 1
        if result is OrderResult.ACCEPTED or (result is OrderResult.IN_EFFECT and unloads_adapter):
            self.report = report._replace(orders_accepted=report.orders_accepted + 1)

    def _may_be_unloaded(self) -> bool:
        return time.monotonic() < self._unanswered_until

    def models_among(self, names: Iterable[str]) -> tuple[str, ...]:
        """Return those of ``names`` that are known to be resident models."""
        report = self.report
        return tuple(name for name in names if report is not None and name in report.resident)

    def has_adapter(self, unit: Unit) -> bool:
        """Return whether the adapter of ``unit`` is known to be resident."""
        return self.report is not None and unit.adapter in self.report.resident.get(unit.model, ())

    def note_adapter(self, unit: Unit, *, resident: bool) -> None:
        """Note that an adapter has been loaded or unloaded."""
        report = self.report
        assert report is not None
        adapters = report.resident.get(unit.model, frozenset())
        changed = adapters | {unit.adapter} if resident else adapters - {unit.adapter}
        arriving = frozenset(one for one in report.arriving if one != unit)
        self.report = report._replace(
            resident={**report.resident, unit.model: changed}, arriving=arriving
        )

    @property
    def reserved_mb(self) -> float:
        """The memory that loads take which are not resident yet, 0 while it is unknown."""
        if self.report is None:
            return 0.0
        arriving = sum(map(self._needed_mb, self.report.arriving))
        return arriving + pending_mb(self.unanswered, self.report.orders_accepted)

    def has_room(self, unit: Unit, without: Collection[str] = ()) -> bool:
        """Return whether ``unit`` fits beside all that is resident or may still be loaded.

        The models ``without`` do not count as resident.
        """
        engine, report = self._engine(), self.report
        if engine is None or report is None or unit.model not in engine.models_by_name:
            return False
        if unit.adapter and self._adapters(report) >= engine.adapter_slots:
            return False
        kept = {name: one for name, one in report.resident.items() if name not in without}
        taken = used_mb(engine, kept) + self.reserved_mb
        return taken + self._needed_mb(unit) <= engine.weights_mb

    def _adapters(self, report: EngineReport) -> int:
        pending = pending_adapters(self.unanswered, report.orders_accepted)
        return sum(map(len, report.resident.values())) + len(report.arriving) + pending

    def _needed_mb(self, unit: Unit) -> float:
        engine = self._engine()
        rule = engine.models_by_name.get(unit.model) if engine else None
        if rule is None:
            return 0.0
        return rule.adapter_mb if unit.adapter else rule.weights_mb
