"""Relays requests to services that run no models."""

from http.client import HTTPException

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import (
    CallerLeft,
    Refusal,
    TimeLimitReached,
    UpstreamSilent,
)
from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.attempt_failure import (
    FAILURE_STATUSES,
    note_failure,
)
from redwingscale_daemon._internal.forwarding.attempt_state import FailedResponse
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.crash_guard import GuardedAttempt
from redwingscale_daemon._internal.forwarding.final_refusal import (
    deliver_failure,
    failure_refusal,
    no_upstream_refusal,
    time_limit_refusal,
)
from redwingscale_daemon._internal.forwarding.outcome import Answering, Lost, NotRun, lost_by
from redwingscale_daemon._internal.forwarding.parts import RelayParts
from redwingscale_daemon._internal.forwarding.peer_offers import Peer
from redwingscale_daemon._internal.forwarding.response_body import (
    BodyStart,
    pass_on_pieces,
    read_body_start,
    read_response_body,
)
from redwingscale_daemon._internal.forwarding.second_peer import (
    AnsweredByPeer,
    SecondPeer,
    go_on_through,
)
from redwingscale_daemon._internal.forwarding.throttle_wait import ThrottleWait

FIRST_SERVER_ERROR_STATUS = 500
FIRST_ERROR_STATUS = 400
PLAIN_PRIORITY = 5
# Time that a waiting request leaves its upstream to run it.
MIN_SERVICE_SECONDS = 0.25


class PlainRelay:
    """Forwards a request and returns the response, a short one once it is complete."""

    def __init__(self, parts: RelayParts, changes: Changes) -> None:
        self._parts = parts
        self._throttle_wait = ThrottleWait(parts.gate, changes)

    def run(self, call: Call) -> None:
        """Serve ``call``; raises `Refusal`, `CallerLeft`."""
        while True:
            candidate = self._choose_upstream(call)
            if isinstance(candidate, Peer):
                if self._parts.peers.relay(call, candidate):
                    return
                continue
            if candidate is None:
                if deliver_failure(call):
                    return
                raise no_upstream_refusal(call.attempts)
            max_wait_seconds = call.watch.remaining() - MIN_SERVICE_SECONDS
            attempt = self._parts.guard.begin(call, candidate.upstream, max_wait_seconds)
            if not attempt.usable or not self._parts.gate.draw(candidate.upstream.id):
                # The upstream has gone or rejected a request, or another one used the permit.
                attempt.close()
                continue
            load = self._parts.load_tracker.total(candidate.upstream.id)
            backpressure = self._parts.backpressure.state(candidate.upstream.id)
            call.attempts.begin(call.terms.request_id, candidate, load, backpressure)
            ticket = self._parts.load_tracker.open_ticket(candidate.upstream.id, None, 0)
            try:
                if self._send(call, candidate.upstream, attempt):
                    return
            except AnsweredByPeer as taken_over:
                if go_on_through(self._parts, call, taken_over, candidate.upstream, attempt):
                    return
            finally:
                attempt.close()
                ticket.close()

    def _choose_upstream(self, call: Call) -> Candidate | Peer | None:
        """Return the best upstream, waiting for throttled ones; None if none is usable.

        Returns another instance if only others reach upstreams of the service.
        """

        allows = call.attempts.binding.allows

        def choose() -> Candidate | None:
            return self._parts.chooser.choose_plain(call.service, call.attempts.tried, allows)

        found = choose()
        if found is None or self._parts.health.is_unreachable(found.upstream.id):
            peer = self._find_peer(call)
            if peer is not None:
                return peer
        if found is not None or call.attempts.failure is not None:
            return found
        throttled = self._parts.chooser.throttled_plain(call.service, call.attempts.tried, allows)
        if not throttled:
            return None
        return self._throttle_wait.wait_for_candidate(
            call, throttled, lambda: call.watch.remaining() - MIN_SERVICE_SECONDS, choose
        )

    def _find_peer(self, call: Call) -> Peer | None:
        # Another instance may reach those that this one has tried in vain.
        excluded = call.attempts.tried - call.attempts.unreached
        return self._parts.detour.choose(
            call,
            lambda: self._parts.chooser.plain_ids(
                call.service, excluded, call.attempts.binding.allows
            ),
        )

    def _send(self, call: Call, upstream: Upstream, attempt: GuardedAttempt) -> bool:
        """Return whether the reply was sent, False to retry; raises if neither is possible."""
        parts = self._parts
        headers = parts.dialect.attempt_headers(
            call.headers, upstream.platform_name, call.watch.remaining(), PLAIN_PRIORITY, None
        )
        SecondPeer(parts, call, upstream, self._find_peer).watch()
        try:
            outcome = parts.sender.send(
                upstream,
                call.request,
                call.terms.request_id,
                headers,
                call.watch,
                call.attempts.arrivals.take_sending,
            )
        except TimeLimitReached as error:
            raise time_limit_refusal(call, error) from None
        match outcome:
            case Answering():
                return self._relay_response(call, outcome, attempt)
            case NotRun():
                note_failure(self._parts, call, outcome)
                if not call.attempts.take_retry(outcome):
                    if deliver_failure(call):
                        return True
                    raise no_upstream_refusal(call.attempts)
                return False
            case Lost():
                note_failure(self._parts, call, outcome)
                attempt.note_lost(outcome)
                if not call.attempts.take_retry(outcome):
                    if deliver_failure(call):
                        return True
                    raise failure_refusal(outcome.reason)
                return False

    def _relay_response(self, call: Call, answering: Answering, attempt: GuardedAttempt) -> bool:
        response, upstream = answering.response, answering.upstream
        call.attempts.current.note_head()
        failed = response.status >= FIRST_SERVER_ERROR_STATUS
        unsigned = response.status < FIRST_ERROR_STATUS and not self._parts.dialect.is_signed(
            response
        )
        length = response.length
        held = call.request.held
        try:
            if failed or unsigned:
                start = BodyStart(read_response_body(response, held), whole=True)
            else:
                start = read_body_start(response, held)
        except (HTTPException, OSError, UpstreamSilent) as error:
            answering.connection.discard()
            lost = lost_by(upstream, error, "answer broke off: ")
            note_failure(self._parts, call, lost)
            attempt.note_lost(lost)
            if not call.attempts.take_retry(lost):
                raise failure_refusal(lost.reason) from error
            return False
        except TimeLimitReached as error:
            answering.connection.discard()
            raise time_limit_refusal(call, error) from None
        except (CallerLeft, Refusal, AnsweredByPeer):
            answering.connection.discard()
            raise
        if not start.whole:
            self._pass_on(call, answering, length, start.data, attempt)
            return True
        attempt.note_complete()
        self._parts.sender.release(answering)
        if response.status in FAILURE_STATUSES:
            self._parts.health.note_failure(upstream.id)
        elif not failed:
            self._parts.health.note_answer(upstream.id)
        if (failed or unsigned) and call.attempts.take_retry_after_error(
            upstream.id, f"status {response.status}"
        ):
            log_event(
                "retried",
                request=call.terms.request_id,
                upstream=upstream.id,
                reason=f"status {response.status}",
                sending=call.attempts.count,
            )
            if failed and self._parts.dialect.is_signed(response):
                headers = self._parts.dialect.response_headers(response)
                call.attempts.failure = FailedResponse(response.status, headers)
                held.keep_failure(start.data)
            return False
        if unsigned:
            raise failure_refusal("the answer bears no signature")
        if not call.attempts.may_pass_on(response.status, counted=failed):
            raise failure_refusal(f"status {response.status}")
        headers = self._parts.dialect.response_headers(response)
        if response.status < FIRST_ERROR_STATUS:
            call.note_begun(upstream.software)
        headers = call.answer_headers(headers, upstream.software)
        call.reply.send(response.status, headers, start.data)
        return True

    def _pass_on(
        self,
        call: Call,
        answering: Answering,
        length: int | None,
        piece: bytes,
        attempt: GuardedAttempt,
    ) -> None:
        """Reply with ``piece`` and the rest of the body as it arrives; raises `Refusal`.

        If the body breaks off, the reply is cut: it lacks bytes of its length, or its end.
        """
        response = answering.response
        headers = call.answer_headers(
            self._parts.dialect.response_headers(response), answering.upstream.software
        )
        # Nobody can go on with an answer that has begun.
        call.watch.expect(None)
        if response.status < FIRST_ERROR_STATUS:
            call.note_begun(answering.upstream.software)
        try:
            call.reply.begin(response.status, headers, length)
            pass_on_pieces(response, call.reply, call.request.held, piece)
        except (HTTPException, OSError, UpstreamSilent) as error:
            answering.connection.discard()
            lost = lost_by(answering.upstream, error, "answer broke off: ")
            note_failure(self._parts, call, lost)
            attempt.note_lost(lost)
            raise failure_refusal(lost.reason) from error
        except TimeLimitReached as error:
            answering.connection.discard()
            raise time_limit_refusal(call, error) from None
        except (CallerLeft, Refusal):
            answering.connection.discard()
            raise
        attempt.note_complete()
        self._parts.sender.release(answering)
        self._parts.health.note_answer(answering.upstream.id)
