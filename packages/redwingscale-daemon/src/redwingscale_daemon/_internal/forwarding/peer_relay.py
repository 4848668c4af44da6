"""Passes requests on to another instance and returns its answers."""

import time
import uuid
from collections.abc import Callable
from functools import partial
from http.client import HTTPException, HTTPResponse
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event
from urllib3.exceptions import HTTPError

from redwingscale_daemon._internal.exceptions import (
    CallerLeft,
    Refusal,
    TimeLimitReached,
    UpstreamSilent,
)
from redwingscale_daemon._internal.forwarding import envelope
from redwingscale_daemon._internal.forwarding.attempts import NOT_RUN_STATUSES
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.connection_pool import ConnectionPool
from redwingscale_daemon._internal.forwarding.dialect import Dialect
from redwingscale_daemon._internal.forwarding.envelope import Envelope
from redwingscale_daemon._internal.forwarding.final_refusal import time_limit_refusal
from redwingscale_daemon._internal.forwarding.peer_offers import Peer, PeerOffers
from redwingscale_daemon._internal.forwarding.peer_stream import PeerStream
from redwingscale_daemon._internal.forwarding.response_body import (
    pass_on_pieces,
    read_body_start,
)
from redwingscale_daemon._internal.forwarding.stream_progress import Progress
from redwingscale_daemon._internal.forwarding.upstream_connection import UpstreamConnection
from redwingscale_daemon._internal.models.run_state import RunState

FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
_MAX_DISCARDED_BYTES = 65536

_LOST = (HTTPException, HTTPError, OSError, UpstreamSilent, ValueError)


class Exchange(NamedTuple):
    """The head of a peer's answer has arrived; its body is unread."""

    peer: Peer
    connection: UpstreamConnection
    response: HTTPResponse


class PeerRelay:
    """Sends a request to a peer at most once at a time; what the peer answers is final.

    The peer chooses the upstream and repeats the request if it may. A peer that is lost
    with the request is an unknown outcome: only requests that may be repeated, and streams
    that may be resumed, then go on through another one.
    """

    def __init__(
        self,
        instance: str,
        dialect: Dialect,
        pool: ConnectionPool,
        offers: PeerOffers,
        path_lost: Callable[[], bool],
        on_result: Callable[[str], None] = lambda result: None,
    ) -> None:
        self._instance = instance
        self._dialect = dialect
        self._pool = pool
        self._offers = offers
        self._path_lost = path_lost
        # Counts a request that was passed on, by its result.
        self._on_result = on_result

    def relay(self, call: Call, peer: Peer) -> bool:
        """Return whether the reply is complete, False to choose again; raises `Refusal`.

        The request is not a stream.
        """
        exchange = self._begin_or_retry(call, peer, None)
        return exchange is not None and self.deliver_whole(call, exchange)

    def deliver_whole(self, call: Call, exchange: Exchange) -> bool:
        """Pass on an answer that is no stream; return and raise as `relay` does."""
        if call.reply.started:
            return self._refuse_failure(call, exchange)
        # No stream can go on with an answer that is no stream.
        call.watch.expect(call.watch.silence_seconds)
        try:
            self._deliver(call, exchange)
        except _LOST as error:
            exchange.connection.discard()
            may_go_on = not call.reply.started
            return self._retry_after_loss(call, exchange.peer, error, may_go_on=may_go_on)
        except TimeLimitReached as error:
            exchange.connection.discard()
            raise time_limit_refusal(call, error) from None
        except (CallerLeft, Refusal):
            # The peer notices the reset, and aborts what it runs for the request.
            exchange.connection.discard()
            raise
        self._finish(exchange)
        return True

    def _refuse_failure(self, call: Call, exchange: Exchange) -> bool:
        """Return False to go on with a begun stream elsewhere; raises `Refusal` otherwise."""
        exchange.connection.discard()
        status = exchange.response.status
        reason = f"status {status} for a stream that has begun"
        if status in NOT_RUN_STATUSES:
            self._note(call, exchange.peer, "refused", reason)
            return False
        return self._retry_after_loss(call, exchange.peer, HTTPException(reason))

    def open_stream(self, call: Call, peer: Peer, progress: Progress) -> PeerStream | bool:
        """Return the peer's stream, True if the reply is complete, False to choose again.

        Raises `Refusal`.
        """
        exchange = self._begin_or_retry(call, peer, progress)
        if exchange is None:
            return False
        if exchange.response.status < FIRST_ERROR_STATUS:
            return self._stream(call, exchange)
        return self.deliver_whole(call, exchange)

    def open_second(self, call: Call, peer: Peer, progress: Progress) -> PeerStream | None:
        """Return the stream of a peer that goes on while another connection is kept open.

        Returns None if the peer does not go on; raises `Refusal`, `FirstUpstreamResumed`.
        """
        exchange = self._begin_second(call, peer, progress, FIRST_ERROR_STATUS)
        return exchange and self._stream(call, exchange)

    def begin_second(self, call: Call, peer: Peer) -> Exchange | None:
        """Return the answer of a peer to a request that is no stream; otherwise as `open_second`."""
        return self._begin_second(call, peer, None, FIRST_SERVER_ERROR_STATUS)

    def _begin_second(
        self, call: Call, peer: Peer, progress: Progress | None, first_failure_status: int
    ) -> Exchange | None:
        try:
            exchange = self._begin(call, peer, progress, call.attempts.running)
        except _LOST as error:
            self._note(call, peer, "lost", repr(error))
            call.attempts.note_superseded(peer.id, repr(error))
            return None
        if exchange is None:
            return None
        status = exchange.response.status
        if status < first_failure_status and status not in NOT_RUN_STATUSES:
            return exchange
        exchange.connection.discard()
        reason = f"status {status}"
        self._note(call, peer, "failed", reason)
        if status not in NOT_RUN_STATUSES:
            call.attempts.note_superseded(peer.id, reason)
        return None

    def _stream(self, call: Call, exchange: Exchange) -> PeerStream:
        return PeerStream(
            call,
            exchange.peer.id,
            exchange.connection,
            exchange.response,
            envelope.without(self._dialect.response_headers(exchange.response)),
            partial(self._finish, exchange),
            partial(self._retry_after_loss, call, exchange.peer),
        )

    def _begin_or_retry(self, call: Call, peer: Peer, progress: Progress | None) -> Exchange | None:
        try:
            return self._begin(call, peer, progress)
        except _LOST as error:
            self._retry_after_loss(call, peer, error)
            return None
        except TimeLimitReached as error:
            raise time_limit_refusal(call, error) from None

    def _begin(
        self, call: Call, peer: Peer, progress: Progress | None, running: int = 0
    ) -> Exchange | None:
        """Send the request; return None if the peer did not take it, raises one of `_LOST`.

        ``running`` attempts at upstreams are still open.
        """
        call.permit.check()
        call.attempts.note_passed_on(peer.id)
        log_event(
            "passed_on",
            request=call.terms.request_id,
            peer=peer.id,
            failure_domain=peer.failure_domain,
            busy=round(peer.busy, 2),
            path_lost=self._path_lost(),
            after_event=progress.last_event if progress else None,
        )
        if progress is None:
            call.watch.expect(None)
        try:
            if running:
                connection = self._pool.open_second(peer, call.watch)
            else:
                connection = self._pool.take_idle(peer) or self._pool.open(peer, call.watch)
        except (HTTPError, OSError) as error:
            self._note(call, peer, "unreachable", repr(error))
            return None
        try:
            exchange = self._send(call, peer, connection, progress, running)
            if envelope.DECLINED_HEADER not in exchange.response.headers:
                return exchange
            exchange.response.read(_MAX_DISCARDED_BYTES)
        except BaseException:
            # The peer notices the reset, and aborts what it runs for the request.
            connection.discard()
            raise
        self._release(exchange)
        self._note(call, peer, "declined", f"status {exchange.response.status}")
        return None

    def _send(
        self,
        call: Call,
        peer: Peer,
        connection: UpstreamConnection,
        progress: Progress | None,
        running: int,
    ) -> Exchange:
        call.watch.check_before_sending()
        attempts = call.attempts
        passing = uuid.uuid4().hex
        attempts.shared.note_passed_on(peer.id, partial(self._offers.claim, peer, passing))
        # Upstreams that were lost with the path of this instance are sound.
        tried = set() if self._path_lost() else attempts.tried - attempts.unreached
        carried = envelope.encode(
            Envelope(
                peer.token,
                self._instance,
                call.service,
                time.monotonic() - call.request.arrived_at,
                attempts.count_of_reached,
                attempts.possible_runs + running,
                sorted(tried),
                passing,
                attempts.seconds_since_event,
            )
        )
        headers = self._dialect.peer_headers(
            call.request, call.watch.remaining(), progress.last_event if progress else None
        )
        connection.send_request(
            call.request.method,
            call.request.target,
            (*envelope.without(headers), carried),
            call.request.body,
        )
        return Exchange(peer, connection, connection.receive_response(call.watch))

    def _deliver(self, call: Call, exchange: Exchange) -> None:
        response = exchange.response
        headers = envelope.without(self._dialect.response_headers(response))
        length = response.length
        start = read_body_start(response, call.request.held)
        if not call.attempts.may_pass_on(response.status, counted=False):
            raise Refusal(
                502, "upstream_failed", f"peer: status {response.status}", run=RunState.UNKNOWN
            )
        if response.status in NOT_RUN_STATUSES:
            call.permit.refund()
        if start.whole:
            call.reply.send(response.status, headers, start.data)
            return
        call.reply.begin(response.status, headers, length)
        pass_on_pieces(response, call.reply, call.request.held, start.data)

    def _finish(self, exchange: Exchange) -> None:
        """Keep the connection of an answer that was read to its end."""
        self._release(exchange)
        self._on_result("answered")

    def _retry_after_loss(
        self, call: Call, peer: Peer, error: Exception, *, may_go_on: bool = True
    ) -> bool:
        """Note a peer that was lost; return False to retry, raises `Refusal` otherwise."""
        self._note(call, peer, "lost", repr(error))
        reason = f"peer {peer.id} lost: {error!r}"
        may_go_on = may_go_on and (not call.reply.started or call.route.resumable)
        if may_go_on and call.attempts.take_retry_after_lost_peer(peer.id, reason):
            call.watch.check_caller()
            return False
        raise Refusal(502, "upstream_failed", reason, run=RunState.UNKNOWN) from error

    def _release(self, exchange: Exchange) -> None:
        connection = exchange.connection
        idle = self._dialect.idle_seconds(exchange.response)
        if idle == 0.0 or not connection.is_reusable():
            connection.discard()
            return
        self._pool.put_back(exchange.peer, connection, idle)

    def _note(self, call: Call, peer: Peer, result: str, reason: str) -> None:
        """Log and count a request that the peer did not answer."""
        self._offers.avoid(peer, reason)
        self._on_result(result)
        call.attempts.history.append(f"{peer.id}:{result}")
        log_event(
            "passing_on_failed",
            request=call.terms.request_id,
            peer=peer.id,
            result=result,
            reason=reason,
        )
