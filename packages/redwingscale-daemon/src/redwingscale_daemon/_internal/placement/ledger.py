"""The memory ledger of one engine: all units that may be resident."""

from collections.abc import Iterable

from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.report import Report
from redwingscale_daemon._internal.placement.open_order import ClosedOrder, OpenOrder, Outcome

LATENESS_MARGIN_SECONDS = 0.5


class Ledger:
    """Open orders by id; each reserves memory for its unit until its outcome is certain.

    A unit has at most one open order. So the memory for a late load is never taken by
    another unit, and a late unload never removes a unit that was loaded again.
    """

    def __init__(self) -> None:
        self._open_by_id: dict[str, OpenOrder] = {}
        self._done_but_absent: set[str] = set()

    def open_orders(self) -> list[OpenOrder]:
        """Return the orders that may still take effect."""
        return list(self._open_by_id.values())

    def add(self, orders: Iterable[OpenOrder]) -> None:
        """Reserve memory for ``orders``; those already open stay unchanged."""
        for opened in orders:
            self._open_by_id.setdefault(opened.order.order_id, opened)

    def set_sent(self, order_id: str, at: float) -> None:
        """Set the time from which the lateness of an order is counted."""
        self._open_by_id[order_id] = self._open_by_id[order_id]._replace(sent_by=at)

    def drop(self, order_id: str) -> None:
        """Remove an order that is closed or was certainly not sent."""
        self._open_by_id.pop(order_id, None)

    def is_open(self, unit: str) -> bool:
        """Return whether an order on ``unit`` may still take effect."""
        return any(o.order.unit == unit for o in self._open_by_id.values())

    def unloading(self) -> set[str]:
        """Return the units with an open unload order."""
        return {o.order.unit for o in self._open_by_id.values() if not o.order.load}

    def reserved_by_unit(self, report: Report) -> dict[str, int]:
        """Return the size of every unit that is or may be in memory."""
        reserved = {r.unit: r.size_bytes for r in report.residents}
        for order, _, _ in self._open_by_id.values():
            reserved[order.unit] = max(order.size_bytes, reserved.get(order.unit, 0))
        return reserved

    def settle(self, engine: EngineMember, report: Report, polled_at: float) -> list[ClosedOrder]:
        """Close and return the orders whose outcome is certain from ``report``.

        ``polled_at`` is when the poll was sent, on the clock of ``sent_by``.
        """
        outcomes = [(o.order, _outcome(engine, report, polled_at, o)) for o in self.open_orders()]
        ended = [ClosedOrder(order, outcome) for order, outcome in outcomes if outcome]
        done_but_absent = {e.order.order_id for e in ended if _is_done_but_absent(e, report)}
        # The load is done, but its unit is not resident: it was unloaded since, or the engine
        # read its residents before its orders. The second report in a row decides, as it
        # cannot be inconsistent in the same place.
        closed = [
            e for e in ended if e.order.order_id not in done_but_absent - self._done_but_absent
        ]
        self._done_but_absent = done_but_absent
        for order, _ in closed:
            self.drop(order.order_id)
        return closed


def _outcome(
    engine: EngineMember, report: Report, polled_at: float, opened: OpenOrder
) -> Outcome | None:
    order = opened.order
    resident = any(r.unit == order.unit for r in report.residents)
    if opened.url != engine.url:
        # The process that received the order is gone, and its orders with it.
        return Outcome.VOID
    match report.orders.get(order.order_id):
        case "running":
            return None
        case "failed":
            return Outcome.FAILED
        case "done":
            return Outcome.DONE
    if engine.checks_fencing:
        return Outcome.VOID if report.fence > order.fence else None
    if polled_at <= opened.sent_by + engine.late_order_seconds + LATENESS_MARGIN_SECONDS:
        return None
    return Outcome.DONE if resident == order.load else Outcome.VOID


def _is_done_but_absent(ended: ClosedOrder, report: Report) -> bool:
    order, outcome = ended
    resident = any(r.unit == order.unit for r in report.residents)
    return order.load and outcome is Outcome.DONE and not resident
