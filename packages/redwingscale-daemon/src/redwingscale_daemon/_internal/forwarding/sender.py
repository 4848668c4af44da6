"""Sends a request once to one upstream."""

import contextlib
import time
from collections.abc import Callable
from functools import partial
from http.client import HTTPException, HTTPResponse

from urllib3.exceptions import HTTPError

from redwingscale_daemon._internal.exceptions import (
    CallerLeft,
    FirstUpstreamResumed,
    TimeLimitReached,
    UpstreamSilent,
)
from redwingscale_daemon._internal.fleet.backpressure import Backpressure
from redwingscale_daemon._internal.fleet.backpressure_tracker import BackpressureTracker
from redwingscale_daemon._internal.fleet.list_check import ListCheck
from redwingscale_daemon._internal.fleet.new_connections import NewConnections
from redwingscale_daemon._internal.fleet.own_path import OwnPath
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.connection_pool import ConnectionPool
from redwingscale_daemon._internal.forwarding.dialect import Dialect
from redwingscale_daemon._internal.forwarding.outcome import Answering, Lost, NotRun, lost_by
from redwingscale_daemon._internal.forwarding.process_check import ProcessCheck
from redwingscale_daemon._internal.forwarding.upstream_bytes import UpstreamBytes
from redwingscale_daemon._internal.forwarding.upstream_connection import UpstreamConnection
from redwingscale_daemon._internal.forwarding.watch import Watch
from redwingscale_daemon._internal.ingress.ingress_request import Headers, IngressRequest

# Refusals and responses to other requests are small. For a larger one, closing the
# connection costs less than reading it.
_MAX_DISCARDED_BYTES = 65536

Outcome = Answering | NotRun | Lost


class Sender:
    """Sends on an idle connection or a new one, and never sends a request twice."""

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        backpressure: BackpressureTracker,
        open_bytes: UpstreamBytes | None = None,
        path: OwnPath | None = None,
        connections: NewConnections | None = None,
        check: ProcessCheck | None = None,
        list_check: ListCheck | None = None,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._backpressure = backpressure
        self._open_bytes = open_bytes or UpstreamBytes()
        self._path = path or OwnPath()
        self._connections = connections or NewConnections()
        self._check = check or ProcessCheck()
        self._list_check = list_check
        pool.on_broken = self._check.note_broken

    def send(
        self,
        upstream: Upstream,
        request: IngressRequest,
        request_id: str,
        headers: Headers,
        watch: Watch,
        take_sending: Callable[[], bool],
        *,
        is_second: bool = False,
    ) -> Outcome:
        """Send and wait for the head of the response.

        ``take_sending`` is called right before the first byte is sent, and counts the sending;
        nothing is sent if it returns False. ``is_second``: another upstream with the same
        stream stays connected.

        Raises `CallerLeft` or `TimeLimitReached`, which is a `NotSentInTime` if nothing
        was sent. The connection is closed unless it is returned in an `Answering` or can
        be reused after a refusal: an upstream aborts what it runs for a closed connection.
        """
        if self._list_check is not None:
            # Not while a connection is held, which others could use.
            self._list_check.wait_until_current(request_id, watch.check_before_sending)
        size = len(request.body)
        if not self._open_bytes.take(upstream.id, size):
            return NotRun(upstream, "too many bytes open", misdirected=False, reached=True)
        began_at = time.monotonic()
        is_new = is_second and self._connections.may_open(upstream.id)
        connection = None if is_new else self._pool.take_idle(upstream, request_id)
        if connection is None:
            if self._check.finds_another(upstream):
                self._open_bytes.give(upstream.id, size)
                reason = "another process has the address"
                return NotRun(upstream, reason, misdirected=True, reached=True, gone=True)
            try:
                opened = self._open(upstream, began_at, watch, is_second=is_second)
            except BaseException:
                self._open_bytes.give(upstream.id, size)
                raise
            if isinstance(opened, NotRun):
                self._open_bytes.give(upstream.id, size)
                return opened
            connection = opened
        connection.on_request_end = partial(self._open_bytes.give, upstream.id, size)
        sent_at = time.monotonic()
        try:
            watch.check_before_sending()
            if (left := self._left(upstream, request_id, watch)) is not None:
                connection.discard()
                return left
            if not take_sending():
                connection.discard()
                return _no_repeat(upstream)
            connection.note_request(request_id)
            connection.send_request(request.method, request.target, headers, request.body)
            response = self._matching_response(connection, request, request_id, watch)
        except (CallerLeft, TimeLimitReached):
            connection.discard()
            raise
        except (HTTPException, HTTPError, OSError, UpstreamSilent) as error:
            # An upstream may close a connection that was idle.
            if isinstance(error, OSError | UpstreamSilent) and not connection.response_count:
                is_closed = isinstance(error, ConnectionError)
                reason = "no byte on a new connection"
                self._path.note_failed(upstream.id, reason, began_at, refused=is_closed)
                if is_closed:
                    self._connections.note_broken(upstream.id)
            connection.discard()
            if isinstance(error, ConnectionError):
                self._check.note_broken(upstream.id)
            return lost_by(upstream, error)
        except Exception:
            # The bytes of the request would count forever.
            connection.discard()
            raise
        self._path.note_heard(upstream.id)
        if connection.response_count == 1:
            self._connections.note_opened(upstream.id, began_at)
        self._check.note_heard(upstream.id, connection.opened_at)
        if response is None:
            connection.discard()
            return Lost(upstream, "answers of other requests")
        backpressure = self._note_backpressure(upstream, response, sent_at)
        if self._dialect.was_not_run(response):
            refused = self._not_run(upstream, connection, response)
            return refused._replace(retry_later=bool(backpressure.retry_after_seconds))
        return Answering(upstream, connection, response)

    def _left(self, upstream: Upstream, request_id: str, watch: Watch) -> NotRun | None:
        """Return the outcome if ``upstream`` has begun to leave since it was chosen."""
        if self._list_check is None:
            return None
        self._list_check.wait_until_current(request_id, watch.check_before_sending)
        reason = self._list_check.reason_not_to_send(upstream.id)
        if reason is None:
            return None
        return NotRun(upstream, reason, misdirected=False, reached=False, left=True)

    def _open(
        self, upstream: Upstream, began_at: float, watch: Watch, *, is_second: bool
    ) -> UpstreamConnection | NotRun:
        if not self._connections.may_open(upstream.id):
            reason = "no connection: new ones break"
            return NotRun(upstream, reason, misdirected=False, reached=False)
        try:
            open_connection = self._pool.open_second if is_second else self._pool.open
            return open_connection(upstream, watch)
        except (HTTPError, OSError) as error:
            # urllib3 chains the error of the socket.
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            self._path.note_failed(upstream.id, "no connection", began_at, refused=is_refused)
            if is_refused:
                self._connections.note_broken(upstream.id)
                self._check.note_broken(upstream.id)
            reason = f"no connection: {error!r}"
            return NotRun(
                upstream,
                reason,
                misdirected=False,
                reached=False,
                refused=is_refused,
                slow=is_second and isinstance(error.__cause__, TimeoutError),
            )

    def note_broken(self, upstream_id: str) -> None:
        """Note an answer that the upstream's end has broken off."""
        self._check.note_broken(upstream_id)

    def release(self, answering: Answering) -> None:
        """Return the connection of a fully read response to the pool, or close it."""
        idle = self._dialect.idle_seconds(answering.response)
        if idle == 0.0 or not answering.connection.is_reusable():
            answering.connection.discard()
            return
        self._pool.put_back(answering.upstream, answering.connection, idle)

    def _matching_response(
        self,
        connection: UpstreamConnection,
        request: IngressRequest,
        request_id: str,
        watch: Watch,
    ) -> HTTPResponse | None:
        """Return the response with ``request_id``, None without one.

        On a reused connection, an upstream may send a second response to an earlier
        request first. It carries that request's id, and the response to this request
        follows it.
        """
        response = connection.receive_response(watch)
        if self._dialect.matches_request(response, request_id):
            return response
        if response.will_close or connection.response_count < 2:
            return None
        if len(response.read(_MAX_DISCARDED_BYTES)) == _MAX_DISCARDED_BYTES:
            return None
        response = connection.receive_extra_response(request.method)
        return response if self._dialect.matches_request(response, request_id) else None

    def _note_backpressure(
        self, upstream: Upstream, response: HTTPResponse, sent_at: float
    ) -> Backpressure:
        if self._dialect.is_from_another(response, upstream.platform_name):
            return Backpressure()
        backpressure = self._dialect.read_backpressure(response.status, response.headers)
        # An unsigned response may be corrupt: that it names no rate limit does not end one.
        signed_sent_at = sent_at if self._dialect.is_signed(response) else None
        self._backpressure.take(upstream.id, backpressure, "answer", signed_sent_at)
        return backpressure

    def _not_run(
        self, upstream: Upstream, connection: UpstreamConnection, response: HTTPResponse
    ) -> NotRun:
        reason = f"status {response.status}"
        answering = Answering(upstream, connection, response)
        # A caller that disconnects during this read is noticed at the next wait, and so is a
        # first upstream that goes on.
        with contextlib.suppress(
            HTTPException,
            OSError,
            UpstreamSilent,
            TimeLimitReached,
            CallerLeft,
            FirstUpstreamResumed,
        ):
            response.read(_MAX_DISCARDED_BYTES)
        if response.isclosed():
            self.release(answering)
        else:
            connection.discard()
        misdirected = self._dialect.is_misdirected(response)
        gone = self._dialect.is_from_another(response, upstream.platform_name)
        return NotRun(upstream, reason, misdirected=misdirected, reached=True, gone=gone)


def _no_repeat(upstream: Upstream) -> NotRun:
    reason = "no repeat is left"
    return NotRun(upstream, reason, misdirected=False, reached=False, no_repeat=True)
