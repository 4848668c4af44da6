"""The owner of an engine: polls it, publishes its digest, sends it orders."""

import uuid

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import ReportInvalid, UpstreamError
from redwingscale_daemon._internal.leases.grant import Grant
from redwingscale_daemon._internal.membership.board import Board
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.models.report import Digest, Report
from redwingscale_daemon._internal.placement.plan_store import PlanStore
from redwingscale_daemon._internal.upstreams.directory import TOPIC
from redwingscale_daemon._internal.upstreams.engine_client import EngineClient


class EngineOwner:
    """Work on one engine while the grant holds."""

    def __init__(self, client: EngineClient, board: Board, plans: PlanStore) -> None:
        self._client = client
        self._board = board
        self._plans = plans

    def step(self, engine: EngineMember, grant: Grant) -> None:
        """Poll ``engine`` once, tell everyone, and order the next missing load."""
        try:
            report = self._client.report(engine)
        except (UpstreamError, ReportInvalid) as error:
            log_event("report_failed", level="WARNING", upstream=engine.id, error=error)
            return
        self._board.publish(TOPIC, engine.id, _digest(engine, grant, report))
        self._order_next(engine, grant, report)

    def _order_next(self, engine: EngineMember, grant: Grant, report: Report) -> None:
        plan = self._plans.read_or_last()
        if plan is None:
            return
        held = {r.unit for r in report.residents}
        used = sum(r.size_bytes for r in report.residents)
        missing = [u for u in plan.units_by_engine.get(engine.id, []) if u.unit not in held]
        for planned in missing:
            used += planned.size_bytes
            if used > report.capacity_bytes:
                return
            order = Order(uuid.uuid4().hex, True, planned.unit, planned.size_bytes, grant.fence)
            self._client.order(engine, order)
            log_event("order_sent", upstream=engine.id, order=order.order_id, unit=order.unit)


def _digest(engine: EngineMember, grant: Grant, report: Report) -> Digest:
    return Digest(
        upstream=engine.id,
        fence=grant.fence,
        leaving=report.leaving,
        capacity_bytes=report.capacity_bytes,
        residents=report.residents,
        running=report.running,
        waiting=report.waiting,
        slots=report.slots,
    )
