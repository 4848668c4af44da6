"""The streamed answer of one upstream, while it is read and passed on."""

import socket
from collections.abc import Callable, Iterator
from http.client import HTTPException
from typing import Protocol

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import FirstUpstreamResumed, Refusal, UpstreamSilent
from redwingscale_daemon._internal.forwarding.attempt_failure import note_failure
from redwingscale_daemon._internal.forwarding.attempt_state import AttemptState
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.event_reader import EventReader
from redwingscale_daemon._internal.forwarding.events import Event, read_events
from redwingscale_daemon._internal.forwarding.outcome import Answering, Lost, lost_by
from redwingscale_daemon._internal.forwarding.parts import RelayParts
from redwingscale_daemon._internal.forwarding.stream_progress import Progress, Sending
from redwingscale_daemon._internal.ingress.ingress_request import Headers
from redwingscale_daemon._internal.utils.sockets import is_closed

MILLISECONDS_PER_SECOND = 1000.0
# A second upstream is asked after this time without a byte in mid-stream: a step takes some
# 10 ms, but a run that is preempted, and one on a slow path, may need longer.
STREAM_SILENCE_SECONDS = 1.6
# What ends the answer of an upstream or a peer before its end.
BREAKS = (HTTPException, OSError, UpstreamSilent, ValueError)


class AnswerStream(Protocol):
    """A streamed answer, of an upstream or of a peer; used by one thread."""

    status: int
    headers: Headers
    state: AttemptState

    @property
    def name(self) -> str:
        """The upstream or peer."""

    @property
    def software(self) -> str | None:
        """The version of the software that writes the events, None if unknown."""

    @property
    def silence_seconds(self) -> float | None:
        """How long to wait for the next byte until a second upstream is asked, None without a bound."""

    @property
    def socket(self) -> socket.socket:
        """The socket that the answer is read from."""

    def read(self) -> Iterator[Event]:
        """Yield the events that were not yielded before; raises one of `BREAKS`."""

    def read_next(self, progress: Progress) -> None:
        """Read up to the event that follows ``progress``, and keep it for `read`."""

    def note_written(self) -> None:
        """Note that the event yielded last was written to the caller."""

    def finish(self) -> None:
        """Keep the connection of an answer that was read to its end."""

    def lose(self, error: Exception, progress: Progress) -> bool:
        """Give up a broken answer; return False to retry, raises `Refusal` otherwise."""

    def is_path_lost(self, began_at: float) -> bool:
        """Note a wait for a byte that began at monotonic ``began_at``; return `OwnPath.cut_off`."""

    def drop(self, reason: Exception, progress: Progress, *, may_go_on: bool = False) -> None:
        """Give up the answer, since another attempt goes on; closes the account.

        ``may_go_on`` as in `note_failure`.
        """

    def discard(self) -> None:
        """Reset the connection."""

    def close(self) -> None:
        """End the account of the attempt; a second call does nothing."""


class UpstreamStream:
    """The answer of an upstream that has begun to send a stream."""

    def __init__(
        self,
        parts: RelayParts,
        call: Call,
        answering: Answering,
        sending: Sending,
        on_late: Callable[[], None],
        on_lost: Callable[[Lost, Progress], bool],
    ) -> None:
        # Called if the first event is late, and when the answer broke.
        self._on_late, self._on_lost = on_late, on_lost
        self._parts = parts
        self._call = call
        self._answering = answering
        self._sending = sending
        self._events = EventReader(self._read())
        self.state = call.attempts.current
        self.status = answering.response.status
        self.headers = parts.dialect.response_headers(answering.response)

    @property
    def name(self) -> str:
        """The id of the upstream."""
        return self._answering.upstream.id

    @property
    def software(self) -> str | None:
        """The version of the upstream's software, None if unknown."""
        return self._answering.upstream.software

    @property
    def silence_seconds(self) -> float | None:
        """How long to wait for the next byte until a second upstream is asked, None without a bound."""
        if not self._call.route.resumable:
            return None
        return (
            STREAM_SILENCE_SECONDS if self.state.events_received else self._sending.silence_seconds
        )

    @property
    def socket(self) -> socket.socket:
        """The socket that the answer is read from."""
        return self._answering.connection.open_socket

    def read(self) -> Iterator[Event]:
        """Yield the events that were not yielded before; raises one of `BREAKS`."""
        return iter(self._events)

    def read_next(self, progress: Progress) -> None:
        """Read up to the event that follows ``progress``, and keep it for `read`."""
        self._events.read_next(progress)

    def _check_signed(self) -> None:
        if not self._parts.dialect.is_signed(self._answering.response):
            raise HTTPException("the answer bears no signature")

    def _read(self) -> Iterator[Event]:
        self._check_signed()
        for event in read_events(self._answering.response, self._call.note_read):
            self._sending.pauses.note_read()
            self.state.events_received += 1
            self._check_length(event)
            self._sending.attempt.note_event(event.number or 0)
            if self.state.events_received == 1:
                self._note_first_event()
            yield event

    def _check_length(self, event: Event) -> None:
        """Raise `HTTPException` at an event beyond the tokens that the request may have.

        An event holds a token at least: what the upstream sends may never end.
        """
        prompt = self._call.terms.prompt
        most = prompt.most_tokens_out if prompt is not None else 0
        position = self.state.events_received if event.number is None else event.number
        if most and position > most:
            raise HTTPException(f"event {position} of an answer of {most} tokens at most")

    def _note_first_event(self) -> None:
        call, sending = self._call, self._sending
        sending.ticket.note_prompt_read()
        seconds = call.attempts.note_first_event(self.state)
        sending.pauses.note_first_event(sending.ticket, seconds)
        self._parts.chooser.note_first_event(sending.candidate, seconds * MILLISECONDS_PER_SECOND)
        if seconds > call.route.latency_target_seconds:
            self._on_late()

    def note_written(self) -> None:
        """Note that the event yielded last was written to the caller."""
        self._parts.path.note_event(self.name, self._call.attempts.last_event_at or 0.0)
        self._sending.pauses.note_written()

    def finish(self) -> None:
        """Keep the connection of an answer that was read to its end."""
        self._sending.attempt.note_complete()
        self._parts.sender.release(self._answering)
        self._parts.health.note_answer(self.name)

    def lose(self, error: Exception, progress: Progress) -> bool:
        """Give up a broken answer; return False to retry, raises `Refusal` otherwise."""
        self.discard()
        lost = lost_by(self._answering.upstream, error, f"event {progress.last_event}: ")
        return self._on_lost(lost, progress)

    def is_path_lost(self, began_at: float) -> bool:
        """Note a wait for a byte that began at monotonic ``began_at``; return `OwnPath.cut_off`."""
        return self._parts.path.note_overdue(self.name, began_at)

    def drop(self, reason: Exception, progress: Progress, *, may_go_on: bool = False) -> None:
        """Give up the answer, since another attempt goes on; closes the account."""
        if isinstance(reason, UpstreamSilent) and is_closed(self.socket):
            reason = ConnectionResetError(f"closed while silent: {reason}")
        self.discard()
        try:
            if not isinstance(reason, FirstUpstreamResumed):
                lost = lost_by(self._answering.upstream, reason)
                self._sending.attempt.note_lost(lost, progress.last_event or 0)
        except Refusal as refusal:
            # The other attempt has the request already; only later ones are refused.
            self._log_quarantined(refusal)
        finally:
            drop_attempt(
                self._parts, self._call, self._sending, reason, self.state, may_go_on=may_go_on
            )

    def _log_quarantined(self, refusal: Refusal) -> None:
        log_event(
            "quarantined_in_mid_answer",
            level="WARNING",
            request=self._call.terms.request_id,
            upstream=self.name,
            detail=refusal.detail,
        )

    def discard(self) -> None:
        """Reset the connection."""
        self._answering.connection.discard()

    def close(self) -> None:
        """End the account of the attempt; a second call does nothing."""
        self._sending.close()


def drop_attempt(
    parts: RelayParts,
    call: Call,
    sending: Sending,
    reason: Exception,
    state: AttemptState,
    *,
    may_go_on: bool = False,
) -> None:
    """Record an attempt that is given up since another one goes on with the stream."""
    upstream = sending.candidate.upstream
    sending.close()
    if isinstance(reason, FirstUpstreamResumed):
        call.attempts.note_first_resumed(upstream.id, reason)
        return
    lost = lost_by(upstream, reason)
    if not state.events_received and not parts.path.doubtful:
        waited_ms = state.seconds_since_send() * MILLISECONDS_PER_SECOND
        parts.chooser.note_lost(sending.candidate, waited_ms)
    note_failure(parts, call, lost, may_go_on=may_go_on)
    call.attempts.note_failed(lost)
