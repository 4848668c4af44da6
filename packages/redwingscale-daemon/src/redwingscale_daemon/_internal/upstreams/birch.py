"""Dialect of vendor birch: sizes in megabytes, orders without fencing numbers."""

from typing import Literal

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

MEGABYTE = 1_000_000
STATE_CALL = Call("GET", "/info")
_TOKEN_PREFIX = b"event: token\ndata: "
_END_PREFIX = b"event: end\ndata: "


class _Token(msgspec.Struct):
    id: str
    seq: int
    piece: str


class _End(msgspec.Struct):
    id: str
    total: int


class _Slot(msgspec.Struct):
    slot: str
    mb: float
    phase: Literal["loading", "ready", "unloading"]


class _Info(msgspec.Struct):
    state: Literal["up", "draining"]
    gpu_mb: float
    slots: list[_Slot]
    active: int
    queued: int
    batch: int
    tickets: dict[str, Literal["running", "done", "failed"]]


_TOKEN_DECODER = msgspec.json.Decoder(_Token)
_END_DECODER = msgspec.json.Decoder(_End)
_INFO_DECODER = msgspec.json.Decoder(_Info)


def start_call(attempt: Attempt) -> Call:
    """Return the call that starts ``attempt``."""
    body = {
        "id": attempt.attempt_id,
        "slot": attempt.unit,
        "input": attempt.prompt,
        "limit": attempt.max_tokens,
        "urgency": attempt.priority,
        "skip": attempt.skip,
        "given": attempt.delivered,
    }
    return Call("POST", "/generate", msgspec.json.encode(body))


def resume_call(attempt_id: str, start: int) -> Call:
    """Return the call that resumes an attempt at token ``start``."""
    return Call("GET", f"/generate/resume?id={attempt_id}&after={start}")


def cancel_call(attempt_id: str) -> Call:
    """Return the call that cancels an attempt."""
    return Call("POST", "/generate/cancel", msgspec.json.encode({"id": attempt_id}))


def parse_event(event: bytes, attempt_id: str) -> StreamEvent | None:
    """Return the event; None if it belongs to another attempt than ``attempt_id``."""
    if event.startswith(_TOKEN_PREFIX):
        token = _TOKEN_DECODER.decode(event[len(_TOKEN_PREFIX) :])
        return TokenEvent(token.seq, token.piece) if token.id == attempt_id else None
    end = _END_DECODER.decode(event.removeprefix(_END_PREFIX))
    return EndEvent(end.total) if end.id == attempt_id else None


def parse_report(body: bytes) -> Report:
    """Return the report in a state response; raise `ReportInvalid`."""
    try:
        info = _INFO_DECODER.decode(body)
    except msgspec.MsgspecError as error:
        raise ReportInvalid(str(error)) from None
    return Report(
        leaving=info.state != "up",
        capacity_bytes=_bytes(info.gpu_mb),
        residents=tuple(ResidentUnit(s.slot, _bytes(s.mb), s.phase == "ready") for s in info.slots),
        running=info.active,
        waiting=info.queued,
        slots=info.batch,
        orders=dict(info.tickets),
    )


def order_call(order: Order) -> Call:
    """Return the call that sends ``order``; the vendor has no fencing."""
    body = {
        "ticket": order.order_id,
        "op": "add" if order.load else "drop",
        "slot": order.unit,
        "mb": order.size_bytes / MEGABYTE,
    }
    return Call("POST", "/slots", msgspec.json.encode(body))


def _bytes(megabytes: float) -> int:
    try:
        # Rounded: truncation would make 0.57 MB one byte less than the ordered size.
        return round(megabytes * MEGABYTE)
    except (ValueError, OverflowError):
        raise ReportInvalid(f"size of {megabytes} megabytes") from None
