"""Sends streaming requests to upstreams, and accounts for each attempt."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.prefix_memory import PrefixMemory
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.outcome import Answering, Lost, NotRun
from redwingscale_daemon._internal.forwarding.parts import RelayParts
from redwingscale_daemon._internal.forwarding.pause_watch import PauseWatch
from redwingscale_daemon._internal.forwarding.stream_progress import Progress, Sending

# Number of priorities that upstreams distinguish, 0 being the most urgent.
PRIORITY_LEVELS = 10
LATE_TARGET_SECONDS = 2.0
# Before the first event, the request may be queued at a healthy upstream.
FIRST_EVENT_SILENCE_SECONDS = 2.2
# An upstream that was expected to send the first event long ago is silent.
SILENT_EXPECTED_TIMES = 3.0
MILLISECONDS_PER_SECOND = 1000.0


class StreamSender(NamedTuple):
    """Begins attempts at upstreams that run models."""

    parts: RelayParts
    prefixes: PrefixMemory

    def begin(
        self,
        call: Call,
        candidate: Candidate,
        prompt: Prompt,
        progress: Progress,
        max_wait_seconds: float,
    ) -> Sending | None:
        """Return a new attempt, None if the upstream must not be used; raises `Refusal`.

        It waits for at most ``max_wait_seconds`` for the turn of a suspect request.
        """
        parts, upstream = self.parts, candidate.upstream
        attempt = parts.guard.begin(call, upstream, max_wait_seconds, progress.last_event or 0)
        if not attempt.usable or not parts.gate.draw(upstream.id):
            # The upstream has gone or rejected a request, or another one used the permit.
            attempt.close()
            return None
        load = parts.load_tracker.total(upstream.id)
        call.attempts.begin(
            call.terms.request_id, candidate, load, parts.backpressure.state(upstream.id)
        )
        unread = max(0, prompt.tokens_in - self.prefixes.cached_tokens(upstream.id, prompt))
        ticket = parts.load_tracker.open_ticket(upstream.id, prompt.unit, unread)
        self.prefixes.sent(upstream.id, prompt)
        if parts.pauses is not None:
            parts.pauses.note_sent(call.service, prompt)
        pauses = PauseWatch(parts.pauses, call, upstream.id, load, unread)
        silence_seconds = _first_event_silence_seconds(call, candidate)
        return Sending(candidate, ticket, pauses, attempt, silence_seconds)

    def send(
        self, call: Call, sending: Sending, progress: Progress, *, is_second: bool = False
    ) -> Answering | Lost | NotRun:
        """Send the request and wait for the head of the answer, as `Sender.send` does."""
        upstream = sending.candidate.upstream
        headers = self.parts.dialect.attempt_headers(
            call.headers,
            upstream.platform_name,
            call.watch.remaining(),
            priority(call),
            progress.last_event,
        )
        outcome = self.parts.sender.send(
            upstream,
            call.request,
            call.terms.request_id,
            headers,
            call.watch,
            call.attempts.arrivals.take_sending,
            is_second=is_second,
        )
        if isinstance(outcome, Answering):
            call.attempts.current.note_head()
        return outcome


def priority(call: Call) -> int:
    """Return the priority of ``call`` at upstreams, 0 being the most urgent."""
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
