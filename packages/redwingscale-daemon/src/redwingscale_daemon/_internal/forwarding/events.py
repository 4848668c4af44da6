"""Events of a stream, one by one and byte for byte."""

from collections.abc import Iterator
from http.client import HTTPException, HTTPResponse
from typing import NamedTuple

from redwingscale_daemon._internal.forwarding.response_body import finish_response

_READ_BYTES = 65536
_ID_FIELD = b"id:"
# An event has some hundred bytes; more without an end is no event.
MAX_EVENT_BYTES = 1 << 20


class Event(NamedTuple):
    """``number`` is the event's id, None where it has none; ``data`` is all of it."""

    number: int | None
    data: bytes


def read_events(response: HTTPResponse) -> Iterator[Event]:
    """Yield whole events as they come.

    What follows the last whole event is never passed on: an upstream may stop in
    the middle of one. Raises HTTPException or OSError where the answer breaks
    off, and ends normally only at its own end.
    """
    pending = bytearray()
    while data := response.read1(_READ_BYTES):
        pending += data
        yield from _whole_events(pending)
        if len(pending) > MAX_EVENT_BYTES:
            raise HTTPException("an event has no end")
    finish_response(response)
    if pending:
        raise HTTPException("the answer ended inside an event")


def _whole_events(pending: bytearray) -> Iterator[Event]:
    while (end := _end_of_event(pending)) is not None:
        data = bytes(pending[:end])
        del pending[:end]
        yield Event(_number(data), data)


def _end_of_event(pending: bytearray) -> int | None:
    ends = [
        found + len(mark) for mark in (b"\n\n", b"\r\n\r\n") if (found := pending.find(mark)) >= 0
    ]
    return min(ends, default=None)


def _number(data: bytes) -> int | None:
    for line in data.splitlines():
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
