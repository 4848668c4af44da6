"""Splits a response stream into server-sent events, byte for byte."""

from collections.abc import Callable, Iterator
from http.client import HTTPException, HTTPResponse
from typing import NamedTuple

from redwingscale_daemon._internal.forwarding.response_body import finish_response

# What a stream holds at most while its caller does not read, beside an incomplete event.
_READ_BYTES = 16 << 10
_ID_FIELD = b"id:"
# Events have some hundred bytes; a longer run of bytes without an end is malformed.
MAX_EVENT_BYTES = 1 << 20


class Event(NamedTuple):
    """``number`` is the event's id, None without one; ``data`` is the whole event."""

    number: int | None
    data: bytes


def read_events(
    response: HTTPResponse, on_read: Callable[[int], None] = lambda pending: None
) -> Iterator[Event]:
    """Yield complete events as they arrive.

    ``on_read`` is called after the events of each read were yielded, with the number of
    bytes that are left.
    Bytes after the last complete event are dropped, since an upstream may stop in
    the middle of an event. Raises `HTTPException` or `OSError` if the response breaks
    off; the iterator ends normally only at the end of the response.
    """
    pending = bytearray()
    while data := response.read1(_READ_BYTES):
        pending += data
        # The next read may wait for the caller: only one copy is held.
        del data
        yield from _whole_events(pending)
        on_read(len(pending))
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
