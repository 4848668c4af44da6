"""Passes requests on to another instance and returns its answers."""

from collections.abc import Callable
from functools import partial
from http.client import HTTPException

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
from redwingscale_daemon._internal.forwarding.final_refusal import time_limit_refusal
from redwingscale_daemon._internal.forwarding.peer_offers import Peer, PeerOffers
from redwingscale_daemon._internal.forwarding.peer_sender import Exchange, PeerSender
from redwingscale_daemon._internal.forwarding.peer_stream import PeerStream
from redwingscale_daemon._internal.forwarding.response_body import (
    pass_on_pieces,
    read_body_start,
)
from redwingscale_daemon._internal.forwarding.stream_progress import Progress
from redwingscale_daemon._internal.models.run_state import RunState

FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500

_LOST = (HTTPException, HTTPError, OSError, UpstreamSilent, ValueError)


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
        self._dialect = dialect
        # Counts a request that was passed on, by its result.
        self._on_result = on_result
        self._sender = PeerSender(instance, dialect, pool, offers, path_lost, on_result)

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
            self._sender.note(call, exchange.peer, "refused", reason)
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
            exchange = self._sender.begin(call, peer, progress, call.attempts.running)
        except _LOST as error:
            self._sender.note(call, peer, "lost", repr(error))
            call.attempts.note_superseded(peer.id, repr(error))
            return None
        if exchange is None:
            return None
        status = exchange.response.status
        if status < first_failure_status and status not in NOT_RUN_STATUSES:
            return exchange
        exchange.connection.discard()
        reason = f"status {status}"
        self._sender.note(call, peer, "failed", reason)
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
            return self._sender.begin(call, peer, progress)
        except _LOST as error:
            self._retry_after_loss(call, peer, error)
            return None
        except TimeLimitReached as error:
            raise time_limit_refusal(call, error) from None

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
        if response.status < FIRST_ERROR_STATUS:
            software = envelope.read_software(response.headers.get(envelope.SOFTWARE_HEADER))
            call.note_begun(software, tell=False)
        if start.whole:
            call.reply.send(response.status, headers, start.data)
            return
        call.reply.begin(response.status, headers, length)
        pass_on_pieces(response, call.reply, call.request.held, start.data)

    def _finish(self, exchange: Exchange) -> None:
        """Keep the connection of an answer that was read to its end."""
        self._sender.release(exchange)
        self._on_result("answered")

    def _retry_after_loss(
        self, call: Call, peer: Peer, error: Exception, *, may_go_on: bool = True
    ) -> bool:
        """Note a peer that was lost; return False to retry, raises `Refusal` otherwise."""
        self._sender.note(call, peer, "lost", repr(error))
        reason = f"peer {peer.id} lost: {error!r}"
        may_go_on = may_go_on and (not call.reply.started or call.route.resumable)
        if may_go_on and call.attempts.take_retry_after_lost_peer(peer.id, reason):
            call.watch.check_caller()
            return False
        raise Refusal(502, "upstream_failed", reason, run=RunState.UNKNOWN) from error
