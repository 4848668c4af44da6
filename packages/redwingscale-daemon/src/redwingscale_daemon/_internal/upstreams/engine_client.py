"""Starts, resumes and cancels streams of engines in their vendors' dialects."""

import urllib3
from redwingscale_common.network.client import new_pool, timeout

from redwingscale_daemon._internal.exceptions import (
    AttemptUnknown,
    StreamBroken,
    StreamSilent,
    UpstreamCrashed,
    UpstreamError,
    UpstreamUnreachable,
)
from redwingscale_daemon._internal.models.generation import Attempt
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.upstreams import dialect as dialects
from redwingscale_daemon._internal.upstreams.call import Call
from redwingscale_daemon._internal.upstreams.dialect import DIALECTS_BY_VENDOR
from redwingscale_daemon._internal.upstreams.engine_stream import EngineStream
from redwingscale_daemon._internal.upstreams.probe import Probe

OK = 200
CONTROL_TIMEOUT_SECONDS = 2.0
REFUSED_STATUSES = frozenset({404, 409, 410, 429, 503})
UNKNOWN_ATTEMPT_STATUSES = frozenset({404, 410})


class EngineClient:
    """Sends each call exactly once, without retries."""

    def __init__(self, connect_seconds: float) -> None:
        self._pool = new_pool()
        self._connect_seconds = connect_seconds
        self._control_timeout = timeout(connect_seconds, CONTROL_TIMEOUT_SECONDS)

    def start(
        self, engine: EngineMember, attempt: Attempt, headers: dict[str, str], wait_seconds: float
    ) -> EngineStream:
        """Start ``attempt``; its first event may take ``wait_seconds``.

        Raises `UpstreamError`, with ``not_run`` only if the attempt certainly did not
        start, `StreamSilent` on a read timeout, and `StreamBroken` if the connection
        ended before the response.
        """
        call = dialects.start_call(DIALECTS_BY_VENDOR[engine.vendor], attempt)
        response = self._open(engine, call, headers, wait_seconds)
        if response.status == OK:
            return EngineStream(engine, attempt.attempt_id, response)
        response.close()
        detail = f"start answered with status {response.status}"
        if response.status in REFUSED_STATUSES:
            raise UpstreamError(engine.id, detail, run=RunState.NOT_RUN)
        raise UpstreamError(engine.id, detail, run=RunState.UNKNOWN)

    def resume(
        self,
        engine: EngineMember,
        attempt_id: str,
        position: int,
        headers: dict[str, str],
        wait_seconds: float,
    ) -> EngineStream:
        """Stream an attempt again from token ``position``, on a new connection.

        Raises `UpstreamCrashed` if the host refuses the connection,
        `UpstreamUnreachable` if none can be made, `AttemptUnknown` if the engine does
        not know the attempt, and `StreamBroken` for any other failure.
        """
        call = dialects.resume_call(DIALECTS_BY_VENDOR[engine.vendor], attempt_id, position)
        try:
            response = self._open(engine, call, headers, wait_seconds)
        except StreamBroken:
            raise
        except UpstreamError as error:
            kind = UpstreamCrashed if is_connection_refused(error) else UpstreamUnreachable
            raise kind(engine.id, error.detail, run=RunState.UNKNOWN) from error
        if response.status == OK:
            return EngineStream(engine, attempt_id, response)
        response.close()
        detail = f"resume answered with status {response.status}"
        if response.status in UNKNOWN_ATTEMPT_STATUSES:
            raise AttemptUnknown(engine.id, detail, run=RunState.UNKNOWN)
        raise StreamBroken(engine.id, detail, run=RunState.UNKNOWN)

    def probe(self, engine: EngineMember) -> Probe:
        """Request the state of ``engine`` over a new connection."""
        call = dialects.state_call(DIALECTS_BY_VENDOR[engine.vendor])
        try:
            self._open(engine, call, {}, CONTROL_TIMEOUT_SECONDS).close()
        except StreamSilent:
            return Probe.NO_ANSWER
        except StreamBroken:
            return Probe.ANSWERED
        except UpstreamError as error:
            return Probe.REFUSED if is_connection_refused(error) else Probe.NO_ANSWER
        return Probe.ANSWERED

    def cancel(self, engine: EngineMember, attempt_id: str) -> None:
        """Cancel an attempt; raise `UpstreamError`."""
        self._control(engine, dialects.cancel_call(DIALECTS_BY_VENDOR[engine.vendor], attempt_id))

    def _control(self, engine: EngineMember, call: Call) -> bytes:
        response = self._send(self._pool, engine, call, self._control_timeout, {}, preload=True)
        if response.status >= 300:
            raise UpstreamError(engine.id, f"status {response.status}", run=RunState.NOT_RUN)
        return response.data

    def _open(
        self, engine: EngineMember, call: Call, headers: dict[str, str], wait_seconds: float
    ) -> urllib3.BaseHTTPResponse:
        bounds = timeout(self._connect_seconds, wait_seconds)
        # A separate pool, so that no connection is reused: an idle one may be dead, and
        # its failure would not show whether the attempt had started.
        with new_pool(connections=1) as pool:
            return self._send(pool, engine, call, bounds, headers, preload=False)

    def _send(
        self,
        pool: urllib3.PoolManager,
        engine: EngineMember,
        call: Call,
        bounds: urllib3.Timeout,
        headers: dict[str, str],
        *,
        preload: bool,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return pool.request(
                call.method,
                engine.url + call.path,
                body=call.body or None,
                headers=headers,
                timeout=bounds,
                preload_content=preload,
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            raise UpstreamError(engine.id, repr(e), run=RunState.NOT_RUN) from e
        except urllib3.exceptions.ReadTimeoutError as error:
            raise StreamSilent(engine.id, repr(error), run=RunState.UNKNOWN) from error
        except urllib3.exceptions.HTTPError as error:
            raise StreamBroken(engine.id, repr(error), run=RunState.UNKNOWN) from error


def is_connection_refused(error: UpstreamError) -> bool:
    """Return whether the host refused the connection, so the engine's process has ended.

    After any other failure to connect, the engine may be running but unreachable.
    """
    cause = error.__cause__
    return cause is not None and isinstance(cause.__cause__, ConnectionRefusedError)
