"""Polls engines and sends them orders in their vendors' dialects."""

import time
from collections.abc import Callable, Iterator

import urllib3
from redwingscale_common.network.client import new_pool

from redwingscale_daemon._internal.exceptions import ReportInvalid, UpstreamError
from redwingscale_daemon._internal.models.cache_event import CacheEvent
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.models.report import Report
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.upstreams import dialect as dialects
from redwingscale_daemon._internal.upstreams.cache_events import (
    cache_events_call,
    parse_cache_events,
)
from redwingscale_daemon._internal.upstreams.call import Call
from redwingscale_daemon._internal.upstreams.dialect import DIALECTS_BY_VENDOR
from redwingscale_daemon._internal.upstreams.report_check import check_report

CONTROL_TIMEOUT_SECONDS = 2.0
MAX_BODY_BYTES = 4 << 20
READ_CHUNK_BYTES = 64 << 10
REFUSED_STATUSES = range(300, 500)
UNAVAILABLE_STATUS = 503

# Returns how many seconds the order may still take; raises `LeaseLost` if it must not be sent.
Guard = Callable[[], float]


class EngineControl:
    """Sends each call exactly once; responses are limited in time and size."""

    def __init__(self, connect_seconds: float) -> None:
        self._pool = new_pool()
        self._connect_seconds = connect_seconds

    def report(self, engine: EngineMember) -> Report:
        """Return the state of ``engine``; raise `UpstreamError` or `ReportInvalid`."""
        dialect = DIALECTS_BY_VENDOR[engine.vendor]
        body = self._control(engine, dialects.state_call(dialect))
        try:
            report = dialects.parse_report(dialect, body)
        except RecursionError:
            raise ReportInvalid("body nested too deeply") from None
        check_report(report)
        return report

    def cache_events(self, engine: EngineMember, since: int) -> list[CacheEvent]:
        """Return the cache events after ``since``; raise `UpstreamError` or `ReportInvalid`."""
        dialect = DIALECTS_BY_VENDOR[engine.vendor]
        return parse_cache_events(dialect, self._control(engine, cache_events_call(dialect, since)))

    def order(self, engine: EngineMember, order: Order, guard: Guard) -> None:
        """Send ``order`` once, if ``guard`` permits it.

        Raises `LeaseLost` if it was not sent, and `UpstreamError`, whose ``run`` says
        whether it may have arrived.
        """
        call = dialects.order_call(DIALECTS_BY_VENDOR[engine.vendor], order)
        self._control(engine, call, guard)

    def raise_fence(self, engine: EngineMember, fence: int) -> None:
        """Make the engine refuse orders below ``fence``, if its vendor has fencing."""
        call = dialects.fence_call(DIALECTS_BY_VENDOR[engine.vendor], fence)
        if call is not None:
            self._control(engine, call)

    def _control(self, engine: EngineMember, call: Call, guard: Guard | None = None) -> bytes:
        seconds = min(CONTROL_TIMEOUT_SECONDS, guard()) if guard else CONTROL_TIMEOUT_SECONDS
        deadline = time.monotonic() + seconds
        try:
            response = self._send(engine, call, seconds, guard)
            try:
                body = _read_bounded(response, deadline)
            finally:
                response.close()
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            raise UpstreamError(engine.id, repr(e), run=RunState.NOT_RUN) from e
        except urllib3.exceptions.HTTPError as error:
            raise UpstreamError(engine.id, repr(error), run=RunState.UNKNOWN) from error
        if response.status >= REFUSED_STATUSES.start:
            raise UpstreamError(engine.id, f"status {response.status}", run=_run(response.status))
        return body

    def _send(
        self, engine: EngineMember, call: Call, seconds: float, guard: Guard | None
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            call.method,
            engine.url + call.path,
            body=_guarded(call.body, guard) if call.body else None,
            headers={"Content-Length": str(len(call.body))} if call.body else {},
            timeout=urllib3.Timeout(connect=min(self._connect_seconds, seconds), total=seconds),
            preload_content=False,
        )


def _guarded(body: bytes, guard: Guard | None) -> Iterator[bytes]:
    """Yield ``body`` after ``guard`` permits it again.

    The generator runs once the headers are sent. This process may be paused while it
    connects, for longer than its lease, so the guard is called again before the first
    byte of the order's body.
    """
    if guard is not None:
        guard()
    yield body


def _read_bounded(response: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
    """Return the body; raise `ReportInvalid` if it is too large or too slow.

    The read timeout bounds only the gap between bytes: without the deadline, an engine
    that trickles its body would block the thread forever.
    """
    body = bytearray()
    while chunk := response.read1(READ_CHUNK_BYTES, decode_content=False):
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise ReportInvalid(f"body of more than {MAX_BODY_BYTES} bytes")
        if time.monotonic() > deadline:
            raise ReportInvalid(f"body incomplete after {CONTROL_TIMEOUT_SECONDS} s")
    return bytes(body)


def _run(status: int) -> RunState:
    refused = status in REFUSED_STATUSES or status == UNAVAILABLE_STATUS
    return RunState.NOT_RUN if refused else RunState.UNKNOWN
