"""Selects the vendor's module: one data class per vendor, one function per operation."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import assert_never

from redwingscale_daemon._internal.models.generation import Attempt, StreamEvent
from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.models.report import Report
from redwingscale_daemon._internal.upstreams import alder, birch
from redwingscale_daemon._internal.upstreams.call import Call


@dataclass(frozen=True, slots=True)
class Alder:
    """Dialect of vendor alder."""


@dataclass(frozen=True, slots=True)
class Birch:
    """Dialect of vendor birch."""


Dialect = Alder | Birch

# Decodes an event of the attempt with this id; None if it belongs to another attempt.
EventParser = Callable[[bytes, str], StreamEvent | None]

DIALECTS_BY_VENDOR: dict[str, Dialect] = {"alder": Alder(), "birch": Birch()}


def start_call(dialect: Dialect, attempt: Attempt) -> Call:
    """Return the call that starts ``attempt``."""
    match dialect:
        case Alder():
            return alder.start_call(attempt)
        case Birch():
            return birch.start_call(attempt)
        case _:
            assert_never(dialect)


def resume_call(dialect: Dialect, attempt_id: str, start: int) -> Call:
    """Return the call that resumes an attempt at token ``start``."""
    match dialect:
        case Alder():
            return alder.resume_call(attempt_id, start)
        case Birch():
            return birch.resume_call(attempt_id, start)
        case _:
            assert_never(dialect)


def cancel_call(dialect: Dialect, attempt_id: str) -> Call:
    """Return the call that cancels an attempt."""
    match dialect:
        case Alder():
            return alder.cancel_call(attempt_id)
        case Birch():
            return birch.cancel_call(attempt_id)
        case _:
            assert_never(dialect)


def event_parser(dialect: Dialect) -> EventParser:
    """Return the function that decodes an event.

    Look it up once per stream: the function runs for each token.
    """
    match dialect:
        case Alder():
            return alder.parse_event
        case Birch():
            return birch.parse_event
        case _:
            assert_never(dialect)


def state_call(dialect: Dialect) -> Call:
    """Return the call that polls an engine's state."""
    match dialect:
        case Alder():
            return alder.STATE_CALL
        case Birch():
            return birch.STATE_CALL
        case _:
            assert_never(dialect)


def parse_report(dialect: Dialect, body: bytes) -> Report:
    """Return the report in a state response; raise `ReportInvalid`."""
    match dialect:
        case Alder():
            return alder.parse_report(body)
        case Birch():
            return birch.parse_report(body)
        case _:
            assert_never(dialect)


def order_call(dialect: Dialect, order: Order) -> Call:
    """Return the call that sends ``order``."""
    match dialect:
        case Alder():
            return alder.order_call(order)
        case Birch():
            return birch.order_call(order)
        case _:
            assert_never(dialect)


def fence_call(dialect: Dialect, fence: int) -> Call | None:
    """Return the call that raises the fence; None if the vendor has no fencing."""
    match dialect:
        case Alder():
            return alder.fence_call(fence)
        case Birch():
            return None
        case _:
            assert_never(dialect)
