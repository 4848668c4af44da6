"""Streams of one engine in its vendor's dialect."""

from collections.abc import Iterator

import msgspec
import urllib3
from redwingscale_common.network.client import new_pool, timeout

from redwingscale_daemon._internal.exceptions import StreamBroken, UpstreamError
from redwingscale_daemon._internal.models.generation import Attempt, EndEvent, StreamEvent
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.upstreams import dialect as dialects
from redwingscale_daemon._internal.upstreams.call import Call
from redwingscale_daemon._internal.upstreams.dialect import DIALECTS_BY_VENDOR
from redwingscale_daemon._internal.upstreams.sse import read_events

OK = 200
CONTROL_TIMEOUT_SECONDS = 2.0
REFUSED_STATUSES = frozenset({404, 409, 410, 429, 503})


class EngineClient:
    """Starts, resumes and ends streams; each call is sent exactly once."""

    def __init__(self, connect_seconds: float, silence_seconds: float) -> None:
        self._pool = new_pool()
        self._stream_timeout = timeout(connect_seconds, silence_seconds)
        self._control_timeout = timeout(connect_seconds, CONTROL_TIMEOUT_SECONDS)

    def stream(
        self, engine: EngineMember, attempt: Attempt, headers: dict[str, str]
    ) -> Iterator[StreamEvent]:
        """Start ``attempt`` and yield its events up to and with its terminator.

        Raises `UpstreamError` when it did not start, `StreamBroken` later.
        """
        call = dialects.start_call(DIALECTS_BY_VENDOR[engine.vendor], attempt)
        return self._events(engine, attempt.attempt_id, call, headers)

    def resume(
        self, engine: EngineMember, attempt_id: str, start: int, headers: dict[str, str]
    ) -> Iterator[StreamEvent]:
        """Yield the rest of an attempt from token ``start``; see `stream`."""
        call = dialects.resume_call(DIALECTS_BY_VENDOR[engine.vendor], attempt_id, start)
        return self._events(engine, attempt_id, call, headers)

    def cancel(self, engine: EngineMember, attempt_id: str) -> None:
        """End the work of an attempt; raise `UpstreamError`."""
        self._control(engine, dialects.cancel_call(DIALECTS_BY_VENDOR[engine.vendor], attempt_id))

    def _control(self, engine: EngineMember, call: Call) -> bytes:
        response = self._send(engine, call, self._control_timeout, {}, preload=True)
        if response.status >= 300:
            raise UpstreamError(engine.id, f"status {response.status}", run=RunState.NOT_RUN)
        return response.data

    def _events(
        self, engine: EngineMember, attempt_id: str, call: Call, headers: dict[str, str]
    ) -> Iterator[StreamEvent]:
        response = self._send(engine, call, self._stream_timeout, headers, preload=False)
        try:
            if response.status != OK:
                refused = response.status in REFUSED_STATUSES
                run = RunState.NOT_RUN if refused else RunState.UNKNOWN
                raise UpstreamError(engine.id, f"status {response.status}", run=run)
            yield from self._parsed(engine, attempt_id, response)
        finally:
            # Never back to the pool with unread bytes: the next request on this
            # connection would read the rest of this answer as its own.
            response.close()

    def _parsed(
        self, engine: EngineMember, attempt_id: str, response: urllib3.BaseHTTPResponse
    ) -> Iterator[StreamEvent]:
        dialect = DIALECTS_BY_VENDOR[engine.vendor]
        try:
            for raw in read_events(response):
                event = dialects.parse_event(dialect, raw, attempt_id)
                if event is None:
                    raise StreamBroken(
                        engine.id, "an event of another attempt", run=RunState.UNKNOWN
                    )
                yield event
                if isinstance(event, EndEvent):
                    return
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise StreamBroken(engine.id, repr(error), run=RunState.UNKNOWN) from error
        raise StreamBroken(engine.id, "ended without terminator", run=RunState.UNKNOWN)

    def _send(
        self,
        engine: EngineMember,
        call: Call,
        bounds: urllib3.Timeout,
        headers: dict[str, str],
        *,
        preload: bool,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.request(
                call.method,
                engine.url + call.path,
                body=call.body or None,
                headers=headers,
                timeout=bounds,
                preload_content=preload,
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            raise UpstreamError(engine.id, repr(e), run=RunState.NOT_RUN) from e
        except urllib3.exceptions.HTTPError as error:
            raise UpstreamError(engine.id, repr(error), run=RunState.UNKNOWN) from error
