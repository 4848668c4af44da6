"""Relays streams of model services and resumes them when an upstream is lost."""

from http.client import HTTPException

from redwingscale_daemon._internal.exceptions import (
    CallerLeft,
    Refusal,
    TimeLimitReached,
    UpstreamSilent,
)
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.prefix_memory import PrefixMemory
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.forwarding.attempt_failure import (
    FAILURE_STATUSES,
    note_failure,
    watch_path,
)
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.crash_guard import GuardedAttempt
from redwingscale_daemon._internal.forwarding.events import read_events
from redwingscale_daemon._internal.forwarding.final_refusal import time_limit_refusal
from redwingscale_daemon._internal.forwarding.holder_wait import HolderWait, max_wait_seconds
from redwingscale_daemon._internal.forwarding.outcome import Answering, Lost, NotRun, lost_by
from redwingscale_daemon._internal.forwarding.parts import RelayParts
from redwingscale_daemon._internal.forwarding.pause_watch import PauseWatch
from redwingscale_daemon._internal.forwarding.peer_offers import Peer
from redwingscale_daemon._internal.forwarding.response_body import read_response_body
from redwingscale_daemon._internal.forwarding.stream_progress import Progress, Sending
from redwingscale_daemon._internal.models.run_state import RunState

FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500
# Number of priorities that upstreams distinguish, 0 being the most urgent.
PRIORITY_LEVELS = 10
LATE_TARGET_SECONDS = 2.0
# An upstream that sends nothing for this long in mid-stream has lost the run: a step
# takes some 10 ms, and a preempted run resumes within a second.
STREAM_SILENCE_SECONDS = 1.6
# Before the first event, the request may be queued at a healthy upstream.
FIRST_EVENT_SILENCE_SECONDS = 2.2
# An upstream that was expected to send the first event long ago is silent.
SILENT_EXPECTED_TIMES = 3.0
REFUSED_RETRY_SECONDS = 0.3
MILLISECONDS_PER_SECOND = 1000.0


class StreamRelay:
    """Relays events one by one; resumes a run at another upstream if the route allows it."""

    def __init__(self, parts: RelayParts, wait: HolderWait, prefixes: PrefixMemory) -> None:
        self._parts = parts
        self._wait = wait
        self._prefixes = prefixes

    def run(self, call: Call, prompt: Prompt) -> None:
        """Serve ``call``; raises `Refusal`, `CallerLeft`.

        A stream that cannot be completed is cut, so that it never looks complete.
        """
        progress = Progress(call.terms.last_event)
        prompt = prompt._replace(priority=_priority(call))
        while True:
            candidate = self._wait.choose_holder(call, prompt)
            if isinstance(candidate, Peer):
                if self._parts.peers.relay(call, candidate, progress):
                    return
                continue
            if not call.attempts.count:
                call.permit.check()
            attempt = self._parts.guard.begin(
                call, candidate.upstream, max_wait_seconds(call), progress.last_event or 0
            )
            if not attempt.usable or not self._parts.gate.draw(candidate.upstream.id):
                # The upstream has gone or rejected a request, or another one used the permit.
                attempt.close()
                continue
            upstream = candidate.upstream
            load = self._parts.load_tracker.total(upstream.id)
            backpressure = self._parts.backpressure.state(upstream.id)
            call.attempts.begin(call.terms.request_id, candidate, load, backpressure)
            kept = self._prefixes.cached_tokens(upstream.id, prompt)
            unread = max(0, prompt.tokens_in - kept)
            ticket = self._parts.load_tracker.open_ticket(upstream.id, prompt.unit, unread)
            self._prefixes.sent(upstream.id, prompt)
            if self._parts.pauses is not None:
                self._parts.pauses.note_sent(call.service, prompt)
            pauses = PauseWatch(self._parts.pauses, call, upstream.id, load, unread)
            try:
                if self._send(call, progress, Sending(candidate, ticket, pauses, attempt)):
                    return
            finally:
                attempt.close()
                ticket.close()

    def _send(self, call: Call, progress: Progress, sending: Sending) -> bool:
        """Return whether the reply is complete, False to retry; raises if neither is possible."""
        candidate = sending.candidate
        upstream = candidate.upstream
        headers = self._parts.dialect.attempt_headers(
            call.headers,
            upstream.platform_name,
            call.watch.remaining(),
            _priority(call),
            progress.last_event,
        )
        call.watch.silence_seconds = _first_event_silence_seconds(call, candidate)
        watch_path(self._parts, call, upstream)
        try:
            outcome = self._parts.sender.send(
                upstream, call.request, call.terms.request_id, headers, call.watch
            )
        except TimeLimitReached as error:
            raise time_limit_refusal(call, error) from None
        match outcome:
            case Answering():
                return self._relay_response(call, outcome, progress, sending)
            case Lost():
                if not progress.events and not self._parts.path.doubtful:
                    waited_ms = call.attempts.seconds_since_send() * MILLISECONDS_PER_SECOND
                    self._parts.chooser.note_lost(candidate, waited_ms)
                return self._prepare_retry(call, outcome, progress, sending)
            case NotRun():
                return self._prepare_retry(call, outcome, progress, sending)

    def _relay_response(
        self, call: Call, answering: Answering, progress: Progress, sending: Sending
    ) -> bool:
        response = answering.response
        call.attempts.head_received = True
        try:
            if response.status >= FIRST_ERROR_STATUS:
                return self._relay_failure(call, answering, sending.attempt)
            if not self._parts.dialect.is_signed(response):
                raise HTTPException("the answer bears no signature")
            self._relay_events(call, answering, progress, sending)
        except (HTTPException, OSError, UpstreamSilent, ValueError) as error:
            answering.connection.discard()
            lost = lost_by(answering.upstream, error, f"event {progress.last_event}: ")
            return self._prepare_retry(call, lost, progress, sending)
        except TimeLimitReached as error:
            answering.connection.discard()
            raise time_limit_refusal(call, error) from None
        except (CallerLeft, Refusal):
            answering.connection.discard()
            raise
        sending.attempt.note_complete()
        self._parts.sender.release(answering)
        self._parts.health.note_answer(answering.upstream.id)
        return True

    def _relay_events(
        self, call: Call, answering: Answering, progress: Progress, sending: Sending
    ) -> None:
        headers = self._parts.dialect.response_headers(answering.response)
        begun = False
        candidate, ticket, pauses, attempt = sending
        for event in read_events(answering.response, call.note_read):
            pauses.note_read()
            call.attempts.events_received += 1
            attempt.note_event(event.number or 0)
            if not begun:
                begun = True
                ticket.note_prompt_read()
                real_ms = call.attempts.note_first_event() * MILLISECONDS_PER_SECOND
                pauses.note_first_event(ticket, real_ms / MILLISECONDS_PER_SECOND)
                self._parts.chooser.note_first_event(candidate, real_ms)
                if real_ms / MILLISECONDS_PER_SECOND > call.route.latency_target_seconds:
                    self._note_late_first_event(call)
            call.watch.silence_seconds = STREAM_SILENCE_SECONDS if call.route.resumable else None
            if not progress.is_next(event):
                continue
            if not call.reply.started:
                call.reply.begin(answering.response.status, headers)
            call.reply.write(event.data)
            progress.note_delivered(event)
            self._parts.path.heard_at = call.attempts.note_delivery()
            pauses.note_written()
        if not call.reply.started:
            call.reply.begin(answering.response.status, headers)

    def _note_late_first_event(self, call: Call) -> None:
        if call.terms.prompt is not None:
            self._wait.demand.note_overload(call.service, call.terms.prompt.unit)

    def _relay_failure(self, call: Call, answering: Answering, attempt: GuardedAttempt) -> bool:
        body = read_response_body(answering.response, call.request.held)
        attempt.note_complete()
        self._parts.sender.release(answering)
        status = answering.response.status
        if status in FAILURE_STATUSES:
            self._parts.health.note_failure(answering.upstream.id)
        failed = status >= FIRST_SERVER_ERROR_STATUS
        if failed and call.attempts.take_retry_after_error(
            answering.upstream.id, f"status {status}"
        ):
            return False
        if call.reply.started:
            raise Refusal(502, "stream_broken", f"status {status}", run=RunState.RUN)
        if not call.attempts.may_pass_on(status, counted=failed):
            raise Refusal(502, "upstream_failed", f"status {status}", run=RunState.UNKNOWN)
        call.reply.send(status, self._parts.dialect.response_headers(answering.response), body)
        return True

    def _prepare_retry(
        self, call: Call, outcome: NotRun | Lost, progress: Progress, sending: Sending
    ) -> bool:
        """Record the failure; return False to retry, raises `Refusal` if that is not allowed."""
        note_failure(self._parts, call, outcome)
        if isinstance(outcome, Lost):
            sending.attempt.note_lost(outcome, progress.last_event or 0)
        if call.attempts.take_retry(outcome):
            call.watch.check_caller()
            return False
        if call.attempts.certainly_not_run:
            refusal = Refusal(
                503, "refused", outcome.reason, retry_after_seconds=REFUSED_RETRY_SECONDS
            )
            if call.terms.prompt is not None:
                self._wait.note_refusal(call, call.terms.prompt, refusal)
            raise refusal
        raise Refusal(502, "upstream_failed", outcome.reason, run=RunState.UNKNOWN)


def _priority(call: Call) -> int:
    late = call.route.latency_target_seconds > LATE_TARGET_SECONDS
    return call.urgency.level(PRIORITY_LEVELS, late=late)


def _first_event_silence_seconds(call: Call, candidate: Candidate) -> float | None:
    if not call.route.resumable:
        return None
    usual = max(FIRST_EVENT_SILENCE_SECONDS, call.route.latency_target_seconds * 2)
    if candidate.estimate is None:
        return usual
    # A request in a long queue is given up no sooner than its caller would.
    expected = candidate.estimate.expected_ms / MILLISECONDS_PER_SECOND
    return max(usual, min(call.route.first_event_seconds, expected * SILENT_EXPECTED_TIMES))
