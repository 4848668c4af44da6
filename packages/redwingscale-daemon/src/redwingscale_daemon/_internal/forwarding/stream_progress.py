"""How far a stream has come, and what one attempt of it uses."""

from http.client import HTTPException
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.load_tracker import LoadTicket
from redwingscale_daemon._internal.forwarding.crash_guard import GuardedAttempt
from redwingscale_daemon._internal.forwarding.events import Event
from redwingscale_daemon._internal.forwarding.pause_watch import PauseWatch


class Progress:
    """The position in the caller's stream."""

    def __init__(self, last_event: int | None) -> None:
        self.last_event = last_event
        self.events = 0

    def is_next(self, event: Event) -> bool:
        """Return whether ``event`` is the next one, False if it was already delivered.

        Raises `HTTPException` at a gap: the upstream did not resume where requested.
        """
        if event.number is None:
            raise HTTPException("an event has no number")
        if self.last_event is None or event.number == self.last_event + 1:
            return True
        if event.number <= self.last_event:
            return False
        raise HTTPException(f"event {event.number} follows {self.last_event}")

    def note_delivered(self, event: Event) -> None:
        """Record that ``event`` was written to the caller."""
        self.last_event = event.number
        self.events += 1


class Sending(NamedTuple):
    """What one attempt uses, and reports to while it runs.

    ``silence_seconds`` is the longest wait for its first event, None for no bound.
    """

    candidate: Candidate
    ticket: LoadTicket
    pauses: PauseWatch
    attempt: GuardedAttempt
    silence_seconds: float | None

    def close(self) -> None:
        """End the account of the attempt; a second call does nothing."""
        self.attempt.close()
        self.ticket.close()
