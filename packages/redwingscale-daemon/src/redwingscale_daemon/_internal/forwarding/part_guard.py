"""Keeps requests with a part that ends upstreams from running, attempt by attempt."""

import time

from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.fingerprint import fingerprint_of
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.quarantine.part_quarantine import PartQuarantine
from redwingscale_daemon._internal.quarantine.part_record import RunParts
from redwingscale_daemon._internal.quarantine.quarantine import CLEARING_TOKENS
from redwingscale_daemon._internal.quarantine.record import RecordKey

# With so many events, the upstream has gone on beyond the begin of the answer: what it had
# generated as its process ended may have been delivered in part.
SURVIVAL_EVENTS = 4


def run_state(call: Call) -> RunState:
    """Return whether an upstream may have run the request of ``call``."""
    return RunState.NOT_RUN if call.attempts.certainly_not_run else RunState.UNKNOWN


def _run_parts(call: Call, fingerprint: str = "") -> RunParts:
    prompt = call.terms.prompt
    parts = tuple(dict.fromkeys(part.id for part in prompt.parts[:-1])) if prompt else ()
    return RunParts(fingerprint, call.terms.request_id, parts)


class PartGuard:
    """Watches the attempts of this instance for the parts that all instances share."""

    def __init__(self, quarantine: PartQuarantine) -> None:
        self._quarantine = quarantine

    @property
    def active(self) -> bool:
        """Whether any part is suspect or condemned."""
        return self._quarantine.active

    def note_arrival(self, call: Call) -> None:
        """Count a request that has just come."""
        self._quarantine.note_arrival(_run_parts(call))

    def check(self, call: Call, state: RunState) -> None:
        """Raise the final `Refusal` if a part of the request is condemned."""
        self._quarantine.check(_run_parts(call), state)

    def begin(self, call: Call, max_wait_seconds: float) -> "PartAttempt":
        """Return the guard of one attempt, after the turn of a suspect part has come.

        Raises `Refusal` and `CallerLeft`. Only a request that was sent before waits long: another
        instance can serve a new one no sooner either, and its caller may return.
        """
        if not self._quarantine.active:
            return PartAttempt(self._quarantine, call, None)
        turn = self._quarantine.take_turn_of(
            _run_parts(call),
            run_state(call),
            time.monotonic() + max_wait_seconds,
            call.watch.check_caller,
            waits=bool(call.attempts.count),
        )
        return PartAttempt(self._quarantine, call, turn)

    def lacks_turn(self, call: Call, attempt: "PartAttempt") -> bool:
        """Return whether a part has become suspect since ``attempt`` was allowed without a turn."""
        if attempt.has_turn or not self._quarantine.active:
            return False
        return self._quarantine.needs_turn(_run_parts(call))

    def note_crash(self, run: RunParts | None, upstream_id: str, *, began: bool) -> None:
        """Note that an upstream ended under a request whose parts may be the cause."""
        if run is not None:
            self._quarantine.note_crash(run, upstream_id, began=began)


class PartAttempt:
    """One attempt at one upstream; used by one thread."""

    def __init__(self, quarantine: PartQuarantine, call: Call, turn: RecordKey | None) -> None:
        self._quarantine, self._call = quarantine, call
        self._turn = turn

    @property
    def has_turn(self) -> bool:
        """Whether no other request with one of its parts runs meanwhile."""
        return self._turn is not None

    def note_event(self) -> None:
        """Note an event of this attempt."""
        if self._call.attempts.current.events_received == SURVIVAL_EVENTS:
            self._note_survival()

    def note_complete(self) -> None:
        """Note that the upstream has answered in full."""
        if 0 < self._call.attempts.current.events_received < SURVIVAL_EVENTS:
            self._note_survival()

    def lost_run(self) -> RunParts | None:
        """Return the parts that may have ended the upstream, None if it was beyond its begin."""
        if self._call.attempts.current.events_received >= CLEARING_TOKENS:
            return None
        return _run_parts(self._call, fingerprint_of(self._call))

    def close(self) -> None:
        """End the turn of the attempt, if it has one."""
        turn, self._turn = self._turn, None
        if turn is not None:
            self._quarantine.end_turn(turn)

    def _note_survival(self) -> None:
        begun_at = self._call.attempts.current.head_at
        if begun_at is not None and self._call.terms.prompt is not None:
            self._quarantine.note_survival(_run_parts(self._call), begun_at)
        self.close()
