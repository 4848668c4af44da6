"""Asks a peer for a request that is no stream, while its upstream is silent on a lost path."""

import math
import socket
from collections.abc import Callable

from redwingscale_common.exceptions import RedwingscaleError
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import (
    FirstUpstreamResumed,
    NotSentInTime,
    Refusal,
    TimeLimitReached,
    UpstreamSilent,
)
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.attempt_failure import note_failure
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.crash_guard import GuardedAttempt
from redwingscale_daemon._internal.forwarding.outcome import lost_by
from redwingscale_daemon._internal.forwarding.parts import RelayParts
from redwingscale_daemon._internal.forwarding.peer_offers import Peer
from redwingscale_daemon._internal.forwarding.peer_sender import Exchange
from redwingscale_daemon._internal.forwarding.second_choice import SecondChoice


class AnsweredByPeer(RedwingscaleError):
    """A peer has begun to answer the request; its answer in ``exchange`` is unread."""

    def __init__(self, exchange: Exchange) -> None:
        super().__init__(f"{exchange.peer.id} answers")
        self.exchange = exchange


class SecondPeer:
    """Looks for a peer while a request waits for bytes; used by the thread of the request.

    The upstream's connection stays open until a peer has sent the head of an answer. If the
    upstream goes on before, the peer is given up instead.
    """

    def __init__(
        self,
        parts: RelayParts,
        call: Call,
        upstream: Upstream,
        find_peer: Callable[[Call], Peer | None],
    ) -> None:
        self._parts = parts
        self._call = call
        self._upstream = upstream
        self._choice = SecondChoice(call, lambda: find_peer(call))

    def watch(self) -> None:
        """Let later waits for bytes of the upstream ask a peer once the own path is lost."""
        self._call.watch.expect(None, self._ask, self._is_due)

    def _is_due(self, began_at: float) -> bool:
        lost = self._parts.path.note_overdue(self._upstream.id, began_at)
        return lost and self._call.route.repeatable

    def _ask(self, silent: socket.socket) -> float:
        """Return the seconds until the next call, infinite: it follows if the path stays lost.

        Raises `AnsweredByPeer`, `CallerLeft`, and `TimeLimitReached` at the deadline.
        """
        try:
            exchange = self._begin(silent)
        except Refusal as refusal:
            # It concerns the second attempt only; the upstream may still answer.
            self._choice.note_not_asked(refusal.detail)
            exchange = None
        except NotSentInTime as error:
            # The upstream has the request.
            raise TimeLimitReached(str(error)) from None
        if exchange is None:
            return math.inf
        log_event(
            "second_goes_on",
            request=self._call.terms.request_id,
            upstream=exchange.peer.id,
            silent=self._upstream.id,
        )
        raise AnsweredByPeer(exchange)

    def _begin(self, silent: socket.socket) -> Exchange | None:
        call = self._call
        peer = self._choice.take()
        if not isinstance(peer, Peer):
            return None
        try:
            with (
                call.attempts.shared.asking_second() as allowed,
                call.watch.standing_by(silent, in_body=call.attempts.current.head_received),
            ):
                return self._parts.peers.begin_second(call, peer) if allowed else None
        except FirstUpstreamResumed as error:
            call.attempts.note_first_resumed(peer.id, error)
            return None


def go_on_through(
    parts: RelayParts,
    call: Call,
    second: AnsweredByPeer,
    silent: Upstream,
    attempt: GuardedAttempt,
) -> bool:
    """Return whether the reply of the peer was sent, False to retry; raises `Refusal`.

    The ``attempt`` at the ``silent`` upstream, whose connection is closed, counts as lost.
    """
    lost = lost_by(silent, UpstreamSilent(f"the path is lost, {second}"))
    try:
        note_failure(parts, call, lost)
        attempt.note_lost(lost)
        call.attempts.note_failed(lost)
    except BaseException:
        second.exchange.connection.discard()
        raise
    return parts.peers.deliver_whole(call, second.exchange)
