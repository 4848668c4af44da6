"""The owner of an engine: polls it, publishes its digest and sends orders to it."""

import threading
import uuid

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import (
    PlatformError,
    ReportInvalid,
    UpstreamError,
)
from redwingscale_daemon._internal.leases.grant import Grant
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.models.report import Digest, Report
from redwingscale_daemon._internal.placement import choice
from redwingscale_daemon._internal.placement.backoff import Backoff
from redwingscale_daemon._internal.placement.choice import Situation
from redwingscale_daemon._internal.placement.digest_filter import DigestFilter
from redwingscale_daemon._internal.placement.open_order import Outcome
from redwingscale_daemon._internal.placement.order_sender import OrderSender
from redwingscale_daemon._internal.placement.owner_parts import OwnerParts
from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.placement.replacements import Replacements
from redwingscale_daemon._internal.placement.retirements import Retirements
from redwingscale_daemon._internal.upstreams.directory import TOPIC

MAX_FAILED_POLLS = 3
# An order that is missing in the engine's reports for this long is lost or late; the
# fence is raised so that it can no longer take effect.
UNREPORTED_ORDER_SECONDS = 2.0
# Once memory for planned units has been short for this long, a unit may be unloaded
# without a ready replacement, see `Replacements.may_unload_without_replacement`.
REPLACEMENT_TIMEOUT_SECONDS = 30.0


class EngineOwner:
    """Controls one engine; all calls to it run on the thread that calls `step`."""

    def __init__(self, engine: str, parts: OwnerParts) -> None:
        self._lock = threading.Lock()
        self._engine = engine
        self._parts = parts
        self._sender = OrderSender(parts)
        self._retirements = Retirements(engine, parts.acks, parts.clock)
        self._replacements = Replacements(parts.directory)
        self._backoff = Backoff(parts.clock)
        self._digest_filter = DigestFilter(parts.clock)
        self._failed_polls = 0
        self._blocked_since: float | None = None

    def step(self, engine: EngineMember, grant: Grant) -> None:
        """Poll ``engine``, publish its digest, and send the orders that are due.

        With a ``grant`` whose lease has lapsed, it still polls and publishes.
        """
        with self._lock:
            if self._is_superseded(grant):
                return
            # Repeated at once if the fence was raised: the report from before may lack an
            # order that an earlier owner sent meanwhile.
            if not self._poll_and_order(engine, grant):
                self._poll_and_order(engine, grant)

    @property
    def is_busy(self) -> bool:
        """Whether an order or a drain is in progress, so that the engine is polled more often."""
        return bool(self._sender.ledger.open_orders() or self._retirements.units)

    def close(self) -> None:
        """Wait until a running step has ended."""
        with self._lock:
            return

    def _poll_and_order(self, engine: EngineMember, grant: Grant) -> bool:
        """Poll, publish and send orders; return False if a new report is needed at once."""
        polled_at = self._parts.clock()
        report = self._poll(engine, grant)
        if report is None:
            return True
        self._publish(grant, report)
        if not self._may_order(engine, grant, report):
            return True
        return self._order(engine, grant, report, polled_at)

    def _is_superseded(self, grant: Grant) -> bool:
        view = self._parts.directory.engines().get(self._engine)
        return view is not None and view.digest is not None and view.digest.fence > grant.fence

    def _may_order(self, engine: EngineMember, grant: Grant, report: Report) -> bool:
        if report.leaving or engine.leaving:
            return False
        # An engine with fencing rejects stale orders itself, also while the table is down.
        return engine.checks_fencing or self._parts.ownership.grant_of(self._engine) == grant

    def _poll(self, engine: EngineMember, grant: Grant) -> Report | None:
        try:
            report = self._parts.control.report(engine)
        except ReportInvalid as error:
            log_event("report_invalid", level="WARNING", upstream=engine.id, error=error)
            self._parts.metrics.invalid_reports.add(1, {"upstream": engine.id})
            self._set_aside(grant)
            return None
        except UpstreamError as error:
            log_event("report_failed", level="WARNING", upstream=engine.id, error=error)
            self._failed_polls += 1
            if self._failed_polls >= MAX_FAILED_POLLS:
                self._set_aside(grant)
            return None
        self._failed_polls = 0
        return report

    def _set_aside(self, grant: Grant) -> None:
        """Stop routing new requests to the engine until its next valid report."""
        view = self._parts.directory.engines().get(self._engine)
        digest = view.digest if view else None
        if digest is None or (digest.set_aside and digest.fence == grant.fence):
            return
        log_event("upstream_set_aside", level="WARNING", upstream=self._engine)
        set_aside_digest = digest._replace(fence=grant.fence, set_aside=True)
        # Recorded in the filter as well: the next valid report differs from it, so it is
        # published at once and not only with the next refresh.
        self._digest_filter.admit(set_aside_digest)
        self._parts.gossip.publish(TOPIC, self._engine, set_aside_digest)

    def _publish(self, grant: Grant, report: Report) -> None:
        digest = Digest(
            upstream=self._engine,
            fence=grant.fence,
            leaving=report.leaving,
            capacity_bytes=report.capacity_bytes,
            residents=report.residents,
            running=report.running,
            waiting=report.waiting,
            slots=report.slots,
            retiring=self._retirements.units,
            retirement=self._retirements.number,
        )
        if self._digest_filter.admit(digest):
            self._parts.gossip.publish(TOPIC, self._engine, digest)

    def _order(self, engine: EngineMember, grant: Grant, report: Report, polled_at: float) -> bool:
        try:
            self._sender.take_over(engine, grant)
        except PlatformError as error:
            log_event("intents_unread", level="WARNING", upstream=engine.id, error=error)
            return True
        self._settle(engine, report, polled_at)
        if engine.checks_fencing and report.fence < grant.fence:
            return not self._raise_fence(engine, grant)
        if self._is_unsafe(engine, grant, report):
            return True
        plan = self._parts.plans.latest()
        situation = self._situation(plan, report)
        if plan is None or situation is None:
            return True
        if self._retirements.update(self._to_retire(situation, plan), grant.fence):
            self._publish(grant, report)
        self._sender.send(engine, grant, self._orders(situation, grant))
        return True

    def _settle(self, engine: EngineMember, report: Report, polled_at: float) -> None:
        for order, outcome in self._sender.ledger.settle(engine, report, polled_at):
            level = "INFO" if outcome is Outcome.DONE else "WARNING"
            log_event(
                "order_ended",
                level=level,
                upstream=engine.id,
                order=order.order_id,
                unit=order.unit,
                outcome=outcome,
            )
            self._parts.moves.note(engine.id, order, outcome)
            self._backoff.note(order.unit, failed=outcome is Outcome.FAILED)

    def _is_unsafe(self, engine: EngineMember, grant: Grant, report: Report) -> bool:
        """Return whether no order may be sent on the basis of ``report``."""
        if engine.checks_fencing and self._has_unreported_order(report):
            # Possible only within the lease; after it, the orders stay in the ledger.
            self._parts.ownership.raise_fence(self._engine)
            return True
        return engine.checks_fencing and report.fence > grant.fence

    def _raise_fence(self, engine: EngineMember, grant: Grant) -> bool:
        try:
            self._parts.control.raise_fence(engine, grant.fence)
        except UpstreamError as error:
            log_event("fence_not_raised", level="WARNING", upstream=engine.id, error=error)
            return False
        return True

    def _has_unreported_order(self, report: Report) -> bool:
        now = self._parts.clock()
        return any(
            o.order.order_id not in report.orders and now - o.sent_by > UNREPORTED_ORDER_SECONDS
            for o in self._sender.ledger.open_orders()
        )

    def _situation(self, plan: Plan | None, report: Report) -> Situation | None:
        accepted = self._parts.current.get()
        planned = plan.units_by_engine.get(self._engine) if plan else None
        if accepted is None or planned is None:
            return None
        share = accepted.configuration.policy.cache_share
        limit = int(report.capacity_bytes * (1 - share))
        return Situation(report, self._sender.ledger, planned, limit)

    def _to_retire(self, situation: Situation, plan: Plan) -> set[str]:
        unplanned = [r.unit for r in choice.unplanned_units(situation)]
        replaced = {u for u in unplanned if self._replacements.are_ready(u, plan)}
        waiting = set(unplanned) - replaced
        engine = self._engine
        if not waiting or not choice.is_short_of_memory(situation):
            self._blocked_since = None
            return replaced | situation.ledger.unloading()
        now = self._parts.clock()
        self._blocked_since = now if self._blocked_since is None else self._blocked_since
        if now - self._blocked_since > REPLACEMENT_TIMEOUT_SECONDS:
            # The planned units cannot be loaded before another unit is unloaded. The last
            # copy of a model that moves to another engine stays: a blocked plan only costs
            # attainment, but a listed model must always be ready somewhere.
            spare = {
                u
                for u in waiting
                if self._replacements.may_unload_without_replacement(u, engine, plan)
            }
            log_event(
                "retiring_blocked",
                level="WARNING",
                upstream=engine,
                going=sorted(spare),
                staying=sorted(waiting - spare),
            )
            replaced |= spare
        return replaced | situation.ledger.unloading()

    def _orders(self, situation: Situation, grant: Grant) -> list[Order]:
        to_unload = choice.units_to_unload(situation, self._retirements.drained())
        to_load = choice.units_to_load(situation, self._retirements.units)
        unloads = [_new_order(False, r.unit, r.size_bytes, grant) for r in to_unload]
        loads = [
            _new_order(True, p.unit, p.size_bytes, grant)
            for p in to_load
            if self._backoff.is_over(p.unit)
        ]
        return unloads + loads


def _new_order(load: bool, unit: str, size_bytes: int, grant: Grant) -> Order:
    return Order(uuid.uuid4().hex, load, unit, size_bytes, grant.fence)
