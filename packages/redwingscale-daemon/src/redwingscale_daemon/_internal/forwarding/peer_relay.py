"""Passes requests on to another instance and returns its answers."""

import time
from collections.abc import Callable
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
from redwingscale_daemon._internal.forwarding.events import read_events
from redwingscale_daemon._internal.forwarding.final_refusal import time_limit_refusal
from redwingscale_daemon._internal.forwarding.peer_offers import Peer, PeerOffers
from redwingscale_daemon._internal.forwarding.response_body import (
    pass_on_pieces,
    read_body_start,
)
from redwingscale_daemon._internal.forwarding.stream_progress import Progress
from redwingscale_daemon._internal.forwarding.upstream_connection import UpstreamConnection
from redwingscale_daemon._internal.models.run_state import RunState

FIRST_ERROR_STATUS = 400
# A peer sends the stream of another upstream when one falls silent for 1.6 s.
PEER_STREAM_SILENCE_SECONDS = 3.0
_MAX_DISCARDED_BYTES = 65536

_LOST = (HTTPException, HTTPError, OSError, UpstreamSilent, ValueError)


class _Exchange(NamedTuple):
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

    def relay(self, call: Call, peer: Peer, progress: Progress | None = None) -> bool:
        """Return whether the reply is complete, False to choose again; raises `Refusal`.

        ``progress`` is the caller's stream, None for a request that is not a stream.
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
        call.watch.on_overdue = None
        call.watch.silence_seconds = (
            call.route.first_event_seconds if call.route.resumable else None
        )
        try:
            connection = self._pool.take_idle(peer) or self._pool.open(peer)
        except (HTTPError, OSError) as error:
            self._note(call, peer, "unreachable", repr(error))
            return False
        try:
            exchange = self._send(call, peer, connection, progress)
            if envelope.DECLINED_HEADER in exchange.response.headers:
                exchange.response.read(_MAX_DISCARDED_BYTES)
                self._release(exchange)
                self._note(call, peer, "declined", f"status {exchange.response.status}")
                return False
            self._deliver(call, exchange, progress)
        except _LOST as error:
            connection.discard()
            return self._retry_after_loss(call, peer, error)
        except TimeLimitReached as error:
            connection.discard()
            raise time_limit_refusal(call, error) from None
        except (CallerLeft, Refusal):
            # The peer notices the reset, and aborts what it runs for the request.
            connection.discard()
            raise
        self._release(exchange)
        self._on_result("answered")
        return True

    def _send(
        self, call: Call, peer: Peer, connection: UpstreamConnection, progress: Progress | None
    ) -> _Exchange:
        call.watch.check_before_sending()
        attempts = call.attempts
        # Upstreams that were lost with the path of this instance are sound.
        tried = set() if self._path_lost() else attempts.tried - attempts.unreached
        carried = envelope.encode(
            Envelope(
                peer.token,
                self._instance,
                call.service,
                time.monotonic() - call.request.arrived_at,
                attempts.count_of_reached,
                attempts.possible_runs,
                sorted(tried),
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
        return _Exchange(peer, connection, connection.receive_response(call.watch))

    def _deliver(self, call: Call, exchange: _Exchange, progress: Progress | None) -> None:
        response = exchange.response
        headers = envelope.without(self._dialect.response_headers(response))
        if progress is not None and response.status < FIRST_ERROR_STATUS:
            self._deliver_events(call, response, headers, progress)
            return
        length = response.length
        start = read_body_start(response, call.request.held)
        if call.reply.started:
            raise Refusal(502, "stream_broken", f"peer: status {response.status}", run=RunState.RUN)
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

    def _deliver_events(
        self,
        call: Call,
        response: HTTPResponse,
        headers: tuple[tuple[str, str], ...],
        progress: Progress,
    ) -> None:
        for event in read_events(response, call.note_read):
            if call.route.resumable:
                call.watch.silence_seconds = PEER_STREAM_SILENCE_SECONDS
            if not progress.is_next(event):
                continue
            if not call.reply.started:
                call.reply.begin(response.status, headers)
            call.reply.write(event.data)
            progress.note_delivered(event)
            call.attempts.note_delivery()
        if not call.reply.started:
            call.reply.begin(response.status, headers)

    def _retry_after_loss(self, call: Call, peer: Peer, error: Exception) -> bool:
        self._note(call, peer, "lost", repr(error))
        reason = f"peer {peer.id} lost: {error!r}"
        may_go_on = not call.reply.started or call.route.resumable
        if may_go_on and call.attempts.take_retry_after_lost_peer(reason):
            call.watch.check_caller()
            return False
        raise Refusal(502, "upstream_failed", reason, run=RunState.UNKNOWN) from error

    def _release(self, exchange: _Exchange) -> None:
        connection = exchange.connection
        idle = self._dialect.idle_seconds(exchange.response)
        if idle == 0.0 or not connection.is_reusable():
            connection.discard()
            return
        self._pool.put_back(exchange.peer, connection, idle)

    def _note(self, call: Call, peer: Peer, result: str, reason: str) -> None:
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
