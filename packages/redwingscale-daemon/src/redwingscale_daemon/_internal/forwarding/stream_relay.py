"""Relays streams of model services and resumes them when an upstream is lost."""

from contextlib import closing
from functools import partial
from http.client import HTTPException

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import (
    CallerLeft,
    Refusal,
    TimeLimitReached,
    UpstreamSilent,
)
from redwingscale_daemon._internal.fleet.prefix_memory import PrefixMemory
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.forwarding.answer_stream import (
    BREAKS,
    AnswerStream,
    UpstreamStream,
    drop_attempt,
)
from redwingscale_daemon._internal.forwarding.attempt_failure import FAILURE_STATUSES, note_failure
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.crash_guard import GuardedAttempt
from redwingscale_daemon._internal.forwarding.final_refusal import time_limit_refusal
from redwingscale_daemon._internal.forwarding.holder_wait import HolderWait
from redwingscale_daemon._internal.forwarding.outcome import Answering, Lost, NotRun, lost_by
from redwingscale_daemon._internal.forwarding.parts import RelayParts
from redwingscale_daemon._internal.forwarding.peer_offers import Peer
from redwingscale_daemon._internal.forwarding.peer_stream import PeerStream
from redwingscale_daemon._internal.forwarding.response_body import read_response_body
from redwingscale_daemon._internal.forwarding.second_upstream import (
    FIRST_ERROR_STATUS,
    SecondUpstream,
    StreamFactory,
    Superseded,
)
from redwingscale_daemon._internal.forwarding.stream_progress import Progress, Sending
from redwingscale_daemon._internal.forwarding.stream_sender import (
    MILLISECONDS_PER_SECOND,
    StreamSender,
    priority,
)
from redwingscale_daemon._internal.forwarding.wait_bounds import max_wait_seconds
from redwingscale_daemon._internal.models.run_state import RunState

FIRST_SERVER_ERROR_STATUS = 500
REFUSED_RETRY_SECONDS = 0.3


class StreamRelay:
    """Relays events one by one; resumes a run at another upstream if the route allows it."""

    def __init__(self, parts: RelayParts, wait: HolderWait, prefixes: PrefixMemory) -> None:
        self._parts = parts
        self._wait = wait
        self._sender = StreamSender(parts, prefixes)
        self._factory = StreamFactory(self._sender, wait, self._stream)

    def run(self, call: Call, prompt: Prompt) -> None:
        """Serve ``call``; raises `Refusal`, `CallerLeft`.

        A stream that cannot be completed is cut, so that it never looks complete.
        """
        progress = Progress(call.terms.last_event)
        prompt = prompt._replace(priority=priority(call))
        stream: AnswerStream | None = None
        with closing(SecondUpstream(self._factory, call, prompt, progress)) as second:
            while True:
                try:
                    opened = stream or self._open(call, prompt, progress, second)
                    if opened is True:
                        return
                    if opened is not False and self._deliver(call, opened, progress, second):
                        return
                    stream = None
                except Superseded as taken_over:
                    stream = taken_over.stream

    def _open(
        self, call: Call, prompt: Prompt, progress: Progress, second: SecondUpstream
    ) -> AnswerStream | bool:
        """Return an answer that begins, True if the reply is complete, False to retry.

        Raises `Refusal`, `CallerLeft`, `Superseded`.
        """
        second.close()
        candidate = self._wait.choose_holder(call, prompt)
        if isinstance(candidate, Peer):
            return self._open_peer(call, candidate, progress, second)
        if not call.attempts.count:
            call.permit.check()
        sending = self._sender.begin(call, candidate, prompt, progress, max_wait_seconds(call))
        if sending is None:
            return False
        kept = False
        try:
            opened = self._send(call, sending, progress, second)
            kept = not isinstance(opened, bool)
            return opened
        finally:
            if not kept:
                sending.close()

    def _open_peer(
        self, call: Call, peer: Peer, progress: Progress, second: SecondUpstream
    ) -> AnswerStream | bool:
        silent_seconds = call.route.first_event_seconds if call.route.resumable else None
        call.watch.expect(silent_seconds, partial(second.ask, name=peer.id, is_peer=True))
        try:
            return self._parts.peers.open_stream(call, peer, progress)
        except Superseded as error:
            call.attempts.note_superseded(peer.id, f"no answer begun, {error}")
            raise

    def _send(
        self, call: Call, sending: Sending, progress: Progress, second: SecondUpstream
    ) -> AnswerStream | bool:
        upstream, state = sending.candidate.upstream, call.attempts.current

        def is_path_lost(began_at: float) -> bool:
            return self._parts.path.note_overdue(upstream.id, began_at) and call.route.resumable

        on_silent = partial(second.ask, name=upstream.id)
        call.watch.expect(sending.silence_seconds, on_silent, is_path_lost)
        try:
            outcome = self._sender.send(call, sending, progress)
        except TimeLimitReached as error:
            raise time_limit_refusal(call, error) from None
        except Superseded as error:
            silent = UpstreamSilent(f"no answer begun, {error}")
            drop_attempt(self._parts, call, sending, silent, state)
            raise
        match outcome:
            case Answering() if outcome.response.status >= FIRST_ERROR_STATUS:
                return self._relay_failure(call, outcome, progress, sending)
            case Answering():
                return self._stream(call, outcome, sending)
            case Lost():
                if not progress.events and not self._parts.path.doubtful:
                    waited_ms = state.seconds_since_send() * MILLISECONDS_PER_SECOND
                    self._parts.chooser.note_lost(sending.candidate, waited_ms)
        return self._prepare_retry(call, outcome, progress, sending.attempt)

    def _stream(self, call: Call, answering: Answering, sending: Sending) -> UpstreamStream:
        def on_late() -> None:
            if call.terms.prompt is not None:
                self._wait.demand.note_overload(call.service, call.terms.prompt.unit)

        def on_lost(lost: Lost, progress: Progress) -> bool:
            return self._prepare_retry(call, lost, progress, sending.attempt)

        return UpstreamStream(self._parts, call, answering, sending, on_late, on_lost)

    def _deliver(
        self, call: Call, stream: AnswerStream, progress: Progress, second: SecondUpstream
    ) -> bool:
        """Return whether the reply is complete, False to retry; raises if neither is possible."""
        call.attempts.current = stream.state
        on_silent = partial(second.ask, name=stream.name, is_peer=isinstance(stream, PeerStream))
        with closing(stream):
            try:
                call.watch.expect(
                    stream.silence_seconds,
                    on_silent,
                    lambda began_at: stream.is_path_lost(began_at) and call.route.resumable,
                )
                self._pass_on(call, stream, progress, second)
            except BREAKS as error:
                return stream.lose(error, progress)
            except TimeLimitReached as error:
                stream.discard()
                raise time_limit_refusal(call, error) from None
            except Superseded as error:
                stream.drop(UpstreamSilent(f"silent, {error}"), progress)
                raise
            except (CallerLeft, Refusal):
                stream.discard()
                raise
            stream.finish()
            return True

    def _pass_on(
        self, call: Call, stream: AnswerStream, progress: Progress, second: SecondUpstream
    ) -> None:
        checked = False
        for event in stream.read():
            second.note_event(stream.name)
            call.watch.silence_seconds = stream.silence_seconds
            if not progress.is_next(event):
                continue
            if not checked:
                self._check_software(call, stream)
                checked = True
            if not call.reply.started:
                call.note_begun(stream.software, tell=not isinstance(stream, PeerStream))
                call.reply.begin(
                    stream.status, call.answer_headers(stream.headers, stream.software)
                )
            call.attempts.note_software(stream.software)
            call.reply.write(event.data)
            progress.note_delivered(event)
            call.attempts.note_delivery()
            stream.note_written()
        if not call.reply.started:
            call.reply.begin(stream.status, stream.headers)

    def _check_software(self, call: Call, stream: AnswerStream) -> None:
        """Raise `HTTPException` if the events of ``stream`` do not go on with the caller's."""
        if call.attempts.binding.allows_software(stream.software):
            return
        log_event(
            "software_mismatch",
            level="ERROR",
            request=call.terms.request_id,
            upstream=stream.name,
            software=stream.software,
            required=call.attempts.binding.required,
        )
        raise HTTPException(f"the events of {stream.name} are of another software version")

    def _relay_failure(
        self, call: Call, answering: Answering, progress: Progress, sending: Sending
    ) -> bool:
        """Pass on an upstream's own failure, or return False to retry; raises `Refusal`."""
        # No stream can go on with a failure.
        call.watch.expect(call.watch.silence_seconds)
        try:
            body = read_response_body(answering.response, call.request.held)
        except BREAKS as error:
            answering.connection.discard()
            lost = lost_by(answering.upstream, error, f"event {progress.last_event}: ")
            return self._prepare_retry(call, lost, progress, sending.attempt)
        except TimeLimitReached as error:
            answering.connection.discard()
            raise time_limit_refusal(call, error) from None
        except BaseException:
            answering.connection.discard()
            raise
        sending.attempt.note_complete()
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
        self, call: Call, outcome: NotRun | Lost, progress: Progress, attempt: GuardedAttempt
    ) -> bool:
        """Record the failure; return False to retry, raises `Refusal` if that is not allowed."""
        note_failure(self._parts, call, outcome)
        if isinstance(outcome, Lost):
            attempt.note_lost(outcome, progress.last_event or 0)
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
