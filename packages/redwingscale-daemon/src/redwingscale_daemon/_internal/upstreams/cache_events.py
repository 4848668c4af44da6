"""Encodes polls for cache events and decodes them, for each vendor."""

from typing import assert_never

import msgspec

from redwingscale_daemon._internal.exceptions import ReportInvalid
from redwingscale_daemon._internal.models.cache_event import CacheEvent
from redwingscale_daemon._internal.upstreams.call import Call
from redwingscale_daemon._internal.upstreams.dialect import Alder, Birch, Dialect


class _AlderEvent(msgspec.Struct):
    sequence: int
    stored: bool
    prefix: str


_BirchRow = tuple[int, str, str, str]
_ALDER_DECODER = msgspec.json.Decoder(list[_AlderEvent])
_BIRCH_DECODER = msgspec.json.Decoder(list[_BirchRow])


def cache_events_call(dialect: Dialect, since: int) -> Call:
    """Return the call that polls the events after sequence number ``since``."""
    match dialect:
        case Alder():
            return Call("GET", f"/v1/cache-events?since={since}")
        case Birch():
            return Call("GET", f"/cache?after={since}")
        case _:
            assert_never(dialect)


def parse_cache_events(dialect: Dialect, body: bytes) -> list[CacheEvent]:
    """Return the events in a response; raise `ReportInvalid`."""
    try:
        match dialect:
            case Alder():
                return [
                    CacheEvent(e.sequence, e.stored, e.prefix) for e in _ALDER_DECODER.decode(body)
                ]
            case Birch():
                rows = _BIRCH_DECODER.decode(body)
                return [CacheEvent(number, sign == "+", d) for number, sign, _, d in rows]
            case _:
                assert_never(dialect)
    except msgspec.MsgspecError as error:
        raise ReportInvalid(str(error)) from None
