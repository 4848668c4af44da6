"""Dialect of vendor alder: sizes in bytes, orders with fencing numbers."""

from typing import Any, Literal

import msgspec

from redwingscale_daemon._internal.exceptions import ReportInvalid
from redwingscale_daemon._internal.models.generation import (
    Attempt,
    EndEvent,
    StreamEvent,
    TokenEvent,
)
from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.models.report import Report, ResidentUnit
from redwingscale_daemon._internal.upstreams.call import Call

STATE_CALL = Call("GET", "/v1/state")


class _Event(msgspec.Struct):
    request: str
    index: int = -1
    text: str = ""
    count: int = -1


class _Resident(msgspec.Struct):
    unit: str
    size_bytes: int
    phase: Literal["loading", "ready", "unloading"]


class _Memory(msgspec.Struct):
    capacity_bytes: int
    resident: list[_Resident]


class _Load(msgspec.Struct):
    running: int
    waiting: int
    slots: int


class _State(msgspec.Struct):
    phase: Literal["serving", "leaving"]
    memory: _Memory
    load: _Load
    fence: int
    orders: dict[str, Literal["running", "done", "failed"]]


_EVENT_DECODER = msgspec.json.Decoder(_Event)
_STATE_DECODER = msgspec.json.Decoder(_State)


def start_call(attempt: Attempt) -> Call:
    """Return the call that starts ``attempt``."""
    body = {
        "request": attempt.attempt_id,
        "model": attempt.unit,
        "prompt": attempt.prompt,
        "max_tokens": attempt.max_tokens,
        "priority": attempt.priority,
        "offset": attempt.skip,
        "delivered": attempt.delivered,
    }
    return Call("POST", "/v1/generate", msgspec.json.encode(body))


def resume_call(attempt_id: str, start: int) -> Call:
    """Return the call that resumes an attempt at token ``start``."""
    return Call("GET", f"/v1/generate/{attempt_id}?from={start}")


def cancel_call(attempt_id: str) -> Call:
    """Return the call that cancels an attempt."""
    return Call("DELETE", f"/v1/generate/{attempt_id}")


def parse_event(event: bytes, attempt_id: str) -> StreamEvent | None:
    """Return the event; None if it belongs to another attempt than ``attempt_id``."""
    item = _EVENT_DECODER.decode(event.removeprefix(b"data: "))
    if item.request != attempt_id:
        return None
    return EndEvent(item.count) if item.count >= 0 else TokenEvent(item.index, item.text)


def parse_report(body: bytes) -> Report:
    """Return the report in a state response; raise `ReportInvalid`."""
    try:
        state = _STATE_DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise ReportInvalid(str(error)) from None
    residents = state.memory.resident
    return Report(
        leaving=state.phase != "serving",
        capacity_bytes=state.memory.capacity_bytes,
        residents=tuple(ResidentUnit(r.unit, r.size_bytes, r.phase == "ready") for r in residents),
        running=state.load.running,
        waiting=state.load.waiting,
        slots=state.load.slots,
        orders=dict(state.orders),
        fence=state.fence,
    )


def order_call(order: Order) -> Call:
    """Return the call that sends ``order``."""
    body: dict[str, Any] = {
        "order": order.order_id,
        "action": "load" if order.load else "unload",
        "unit": order.unit,
        "size_bytes": order.size_bytes,
        "fence": order.fence,
    }
    return Call("POST", "/v1/orders", msgspec.json.encode(body))


def fence_call(fence: int) -> Call:
    """Return the call after which the engine refuses orders below ``fence``."""
    return Call("POST", "/v1/fence", msgspec.json.encode({"fence": fence}))
