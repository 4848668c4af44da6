"""Asks a second upstream to go on with a silent stream, while the first one stays connected."""

import socket
from collections.abc import Callable
from typing import Any, NamedTuple

from redwingscale_common.exceptions import RedwingscaleError
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import (
    FirstUpstreamResumed,
    NotSentInTime,
    Refusal,
    TimeLimitReached,
    UpstreamSilent,
)
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.forwarding.answer_stream import (
    BREAKS,
    AnswerStream,
    UpstreamStream,
    drop_attempt,
)
from redwingscale_daemon._internal.forwarding.attempt_failure import (
    FAILURE_STATUSES,
    note_failure,
)
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.holder_wait import HolderWait
from redwingscale_daemon._internal.forwarding.outcome import Answering, Lost, NotRun
from redwingscale_daemon._internal.forwarding.peer_offers import Peer
from redwingscale_daemon._internal.forwarding.second_choice import NotAsked, SecondChoice
from redwingscale_daemon._internal.forwarding.stream_progress import Progress, Sending
from redwingscale_daemon._internal.forwarding.stream_sender import StreamSender
from redwingscale_daemon._internal.forwarding.wait_bounds import max_wait_seconds

# How often another upstream is looked for while the stream stays silent.
ASK_AGAIN_SECONDS = 0.3
FIRST_ERROR_STATUS = 400


class Superseded(RedwingscaleError):
    """Another upstream has sent the next event; ``stream`` goes on with the answer."""

    def __init__(self, stream: AnswerStream) -> None:
        super().__init__(f"{stream.name} goes on")
        self.stream = stream


class StreamFactory(NamedTuple):
    """Opens the answer of an upstream that has sent the head of a stream."""

    sender: StreamSender
    wait: HolderWait
    open: Callable[[Call, Answering, Sending], UpstreamStream]


class SecondUpstream:
    """Looks for another upstream during the silence of one; used by the thread of the request.

    The silent connection is given up only when another upstream has sent the next event.
    If the silent one goes on before, the second one is given up instead.
    """

    def __init__(
        self, factory: StreamFactory, call: Call, prompt: Prompt, progress: Progress
    ) -> None:
        self._factory = factory
        self._call = call
        self._prompt = prompt
        self._progress = progress
        self._choice = SecondChoice(call, lambda: factory.wait.choose_now(call, prompt))
        # The silent upstream or peer.
        self._silent: str | None = None
        self._waits_for_holder = False
        # The version that is waited for, None for any.
        self._awaited: str | None = None
        # Whether the silent upstream went on while the second one was asked.
        self._first_goes_on = False

    def ask(self, silent: socket.socket, name: str, *, is_peer: bool = False) -> float:
        """Return the seconds until the next call; raises `Superseded` if another one goes on.

        ``name`` is the upstream or peer at the other end of the ``silent`` connection. Raises
        `UpstreamSilent` if the answer has not begun and no second upstream goes on, `CallerLeft`,
        and `TimeLimitReached` at the deadline.
        """
        self._first_goes_on = False
        self._note_silence(name, is_peer=is_peer)
        first = self._call.attempts.current
        self._call.attempts.silent_peer = name if is_peer else None
        try:
            stream = self._open(silent)
        except Refusal as refusal:
            # It concerns the second attempt only; the first one may still go on.
            self._choice.note_not_asked(refusal.detail)
            stream = None
        except NotSentInTime as error:
            # The first upstream has the request.
            raise TimeLimitReached(str(error)) from None
        finally:
            self._call.attempts.silent_peer = None
            # What is noted next concerns the first attempt, also when it is given up.
            self._call.attempts.current = first
        if stream is None:
            if not (is_peer or self._call.attempts.answer_begun or self._first_goes_on):
                # Its caller has received nothing, and may try another instance.
                raise UpstreamSilent("no byte in time, and no other upstream goes on")
            return ASK_AGAIN_SECONDS
        self._log("second_goes_on", upstream=stream.name, silent=name)
        self._silent = None
        self.close()
        raise Superseded(stream)

    def close(self) -> None:
        """Stop counting the request as one that waits for a holder; a second call does nothing."""
        if self._waits_for_holder:
            self._waits_for_holder = False
            self._factory.wait.demand.end_wait(self._call.service, self._prompt.unit, self._awaited)

    def note_event(self, name: str) -> None:
        """Note that the stream goes on with an event of the upstream or peer ``name``."""
        if self._silent is None:
            return
        if self._silent == name:
            self._log("silence_ended", upstream=name)
            self._factory.sender.parts.health.note_resumed(name)
        self._silent = None
        self._choice.forget()
        self.close()

    def _note_silence(self, name: str, *, is_peer: bool) -> None:
        if self._silent == name:
            return
        self._silent = name
        self._log("upstream_silent", upstream=name, events=self._progress.events)
        if not is_peer:
            self._factory.sender.parts.health.note_silent(name)

    def _open(self, silent: socket.socket) -> AnswerStream | None:
        watch = self._call.watch
        match self._choice.take():
            case Peer() | Candidate() as chosen:
                with (
                    self._call.attempts.shared.asking_second() as allowed,
                    watch.standing_by(silent),
                ):
                    return self._open_chosen(chosen) if allowed else None
            case NotAsked.NO_OTHER if self._call.attempts.answer_begun:
                self._wait_for_holder()
        return None

    def _open_chosen(self, chosen: Peer | Candidate) -> AnswerStream | None:
        match chosen:
            case Peer():
                return self._open_peer(chosen)
            case Candidate():
                return self._open_upstream(chosen)

    def _wait_for_holder(self) -> None:
        # The leader may load the unit at another upstream.
        if not self._waits_for_holder:
            self._waits_for_holder = True
            self._awaited = self._call.attempts.binding.awaited
            self._factory.wait.demand.begin_wait(
                self._call.service,
                self._prompt.unit,
                max(0.0, max_wait_seconds(self._call)),
                self._awaited,
            )

    def _open_peer(self, peer: Peer) -> AnswerStream | None:
        call = self._call
        call.watch.expect(call.route.first_event_seconds)
        try:
            stream = self._factory.sender.parts.peers.open_second(call, peer, self._progress)
        except FirstUpstreamResumed as error:
            self._first_goes_on = True
            call.attempts.note_first_resumed(peer.id, error)
            return None
        return stream and self._with_next_event(stream)

    def _open_upstream(self, candidate: Candidate) -> AnswerStream | None:
        factory, call = self._factory, self._call
        sending = factory.sender.begin(call, candidate, self._prompt, self._progress, 0.0)
        if sending is None:
            return None
        # Without a third upstream to ask, nothing is gained by giving up the second one.
        call.watch.expect(sending.silence_seconds if call.attempts.may_ask_third else None)
        try:
            outcome = factory.sender.send(call, sending, self._progress, is_second=True)
        except FirstUpstreamResumed as error:
            self._first_goes_on = True
            drop_attempt(factory.sender.parts, call, sending, error, call.attempts.current)
            return None
        except BaseException:
            sending.close()
            raise
        match outcome:
            case Answering() if outcome.response.status < FIRST_ERROR_STATUS:
                return self._with_next_event(factory.open(call, outcome, sending))
            case Answering():
                self._note_failure_status(outcome, sending)
            case Lost() | NotRun():
                self._note_failure(outcome, sending)
        return None

    def _with_next_event(self, stream: AnswerStream) -> AnswerStream | None:
        """Return ``stream`` once it has sent the next event, None if it is given up."""
        try:
            stream.read_next(self._progress)
        except (FirstUpstreamResumed, *BREAKS) as error:
            self._first_goes_on = isinstance(error, FirstUpstreamResumed)
            may_go_on = isinstance(error, UpstreamSilent)
            stream.drop(error, self._progress, may_go_on=may_go_on)
            return None
        except BaseException:
            stream.discard()
            stream.close()
            raise
        return stream

    def _note_failure(self, outcome: Lost | NotRun, sending: Sending) -> None:
        parts = self._factory.sender.parts
        try:
            may_go_on = isinstance(outcome, Lost) and outcome.silent
            note_failure(parts, self._call, outcome, may_go_on=may_go_on)
            self._call.attempts.note_failed(outcome)
            if isinstance(outcome, Lost):
                sending.attempt.note_lost(outcome, self._progress.last_event or 0)
        finally:
            sending.close()

    def _note_failure_status(self, answering: Answering, sending: Sending) -> None:
        status = answering.response.status
        answering.connection.discard()
        sending.close()
        if status in FAILURE_STATUSES:
            self._factory.sender.parts.health.note_failure(answering.upstream.id)
        self._call.attempts.note_superseded(answering.upstream.id, f"status {status}")

    def _log(self, event: str, **fields: Any) -> None:
        log_event(event, request=self._call.terms.request_id, **fields)
