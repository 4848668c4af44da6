"""Sends a request to another instance and waits for the head of its answer."""

import time
import uuid
from collections.abc import Callable
from functools import partial
from http.client import HTTPResponse
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event
from urllib3.exceptions import HTTPError

from redwingscale_daemon._internal.forwarding import envelope
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.connection_pool import ConnectionPool
from redwingscale_daemon._internal.forwarding.dialect import Dialect
from redwingscale_daemon._internal.forwarding.envelope import Envelope
from redwingscale_daemon._internal.forwarding.peer_offers import Peer, PeerOffers
from redwingscale_daemon._internal.forwarding.stream_progress import Progress
from redwingscale_daemon._internal.forwarding.upstream_connection import UpstreamConnection

_MAX_DISCARDED_BYTES = 65536


class Exchange(NamedTuple):
    """The head of a peer's answer has arrived; its body is unread."""

    peer: Peer
    connection: UpstreamConnection
    response: HTTPResponse


class PeerSender:
    """Sends a request to a peer once, and keeps the connections that can be used again."""

    def __init__(
        self,
        instance: str,
        dialect: Dialect,
        pool: ConnectionPool,
        offers: PeerOffers,
        path_lost: Callable[[], bool],
        on_result: Callable[[str], None],
    ) -> None:
        self._instance = instance
        self._dialect = dialect
        self._pool = pool
        self._offers = offers
        self._path_lost = path_lost
        # Counts a request that was passed on, by its result.
        self._on_result = on_result

    def begin(
        self, call: Call, peer: Peer, progress: Progress | None, running: int = 0
    ) -> Exchange | None:
        """Send the request; return None if the peer did not take it, raises what a wait for it raises.

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
                connection = self._pool.take_idle(peer, call.terms.request_id) or self._pool.open(
                    peer, call.watch
                )
        except (HTTPError, OSError) as error:
            self.note(call, peer, "unreachable", repr(error))
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
        self.release(exchange)
        call.attempts.arrivals.note_declined(peer.id)
        self.note(call, peer, "declined", f"status {exchange.response.status}")
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
                attempts.arrivals.possible,
                attempts.binding.begun,
                attempts.binding.required,
            )
        )
        headers = self._dialect.peer_headers(
            call.request, call.watch.remaining(), progress.last_event if progress else None
        )
        attempts.arrivals.note_instance(peer.id)
        connection.note_request(call.terms.request_id)
        connection.send_request(
            call.request.method,
            call.request.target,
            (*envelope.without(headers), carried),
            call.request.body,
        )
        return Exchange(peer, connection, connection.receive_response(call.watch))

    def release(self, exchange: Exchange) -> None:
        """Keep the connection of an answer that was read whole, or close it."""
        connection = exchange.connection
        idle = self._dialect.idle_seconds(exchange.response)
        if idle == 0.0 or not connection.is_reusable():
            connection.discard()
            return
        self._pool.put_back(exchange.peer, connection, idle)

    def note(self, call: Call, peer: Peer, result: str, reason: str) -> None:
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
