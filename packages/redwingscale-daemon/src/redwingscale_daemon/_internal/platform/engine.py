"""Decodes reports of model workers and encodes orders to them."""

from typing import Any

import msgspec

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.platform import names
from redwingscale_daemon._internal.swaps.engine_report import EngineReport
from redwingscale_daemon._internal.swaps.order import Load, Order, OrderResult
from redwingscale_daemon._internal.utils.documents import Integer, decode_json

_RESULTS_BY_STATUS = {
    200: OrderResult.IN_EFFECT,
    202: OrderResult.ACCEPTED,
    409: OrderResult.BUSY,
    412: OrderResult.FENCED,
    421: OrderResult.OTHER_UPSTREAM,
}
ORDER_TARGET = names.ORDER_PATH
REPORT_TARGET = names.REPORT_PATH


class _Model(msgspec.Struct, rename="pascal"):
    name: str
    version: Integer = 0
    adapters: list[str] = []


class _Report(msgspec.Struct, rename="pascal"):
    models: list[_Model] = []
    busy: bool = False
    # Number of orders accepted since the start of the process.
    seq: Integer = 0
    # Start of the process in Unix milliseconds; the only lower-case field.
    born: Integer | None = msgspec.field(default=None, name="born")
    # Adapters that are loading, written MODEL/NAME@VERSION.
    loading: list[str] = []


def decode_report(document: bytes) -> EngineReport:
    """Return the report in ``document``; raise `msgspec.DecodeError`."""
    report = decode_json(document, _Report)
    return EngineReport(
        resident={model.name: frozenset(model.adapters) for model in report.models},
        arriving=frozenset(map(_unit, report.loading)),
        busy=report.busy,
        orders_accepted=report.seq,
        started_at_ms=report.born,
    )


def encode_order(order: Order) -> bytes:
    """Return ``order`` as a JSON request body."""
    body: dict[str, Any] = {
        "Op": "load" if isinstance(order.action, Load) else "unload",
        "Model": order.action.unit.model,
        "Expect": order.orders_accepted,
        "Holder": order.leader,
        "Fence": order.fence,
    }
    if order.action.unit.adapter:
        body["Adapter"] = order.action.unit.adapter
    return msgspec.json.encode(body)


def order_headers(upstream_name: str) -> dict[str, str]:
    """Return the headers of an order, by which other processes refuse it."""
    return {"Content-Type": "application/json", names.EXPECTED_UPSTREAM: upstream_name}


def order_result(status: int) -> OrderResult:
    """Return the result of an order by the status of its answer."""
    return _RESULTS_BY_STATUS.get(status, OrderResult.REFUSED)


def _unit(text: str) -> Unit:
    model, _, adapter = text.partition("@")[0].partition("/")
    return Unit(model, adapter)
