"""Keeps requests that crash upstreams from running, attempt by attempt."""

import contextlib
import threading
import time
from collections.abc import Callable, Collection

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.fleet.upstream_ends import UpstreamEnds
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.fingerprint import fingerprint_of
from redwingscale_daemon._internal.forwarding.outcome import Lost
from redwingscale_daemon._internal.forwarding.part_guard import PartAttempt, PartGuard, run_state
from redwingscale_daemon._internal.forwarding.pending_losses import (
    REPORTED_SECONDS,
    Loss,
    PendingLosses,
)
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.quarantine.quarantine import CLEARING_TOKENS, Quarantine
from redwingscale_daemon._internal.quarantine.record import Crash, Turn

COMPLETE = float("inf")


class CrashGuard:
    """Watches the attempts of this instance for the quarantine that all instances share."""

    def __init__(
        self,
        quarantine: Quarantine,
        parts: PartGuard,
        directory: UpstreamDirectory,
        ends: UpstreamEnds,
    ) -> None:
        self._quarantine = quarantine
        self._parts = parts
        self._directory = directory
        self._ends = ends
        self.pending = PendingLosses()
        directory.on_gone(self._note_gone)
        quarantine.on_crash(self._note_reported)

    def check(self, call: Call) -> None:
        """Raise the final `Refusal` if a request with this content or a part of it is quarantined.

        Called on arrival and right before each sending, to upstreams and to peers.
        """
        if not (self._quarantine.active or self._parts.active):
            return
        state = RunState.NOT_RUN if call.attempts.certainly_not_run else RunState.RUN
        self._parts.check(call, state)
        self._quarantine.check(fingerprint_of(call), state)

    def note_arrival(self, call: Call) -> None:
        """Note a request that a caller has sent to this instance."""
        self._parts.note_arrival(call)

    def begin(
        self, call: Call, upstream: Upstream, max_wait_seconds: float, position: int = 0
    ) -> "GuardedAttempt":
        """Return the guard of one attempt, after the turn of a suspect has come.

        ``position`` is the number of the last event that the caller has. Raises `Refusal`
        if the request is quarantined or its turn does not come in time, and `CallerLeft`.
        """
        waits_until = time.monotonic() + max_wait_seconds
        run = run_state(call)
        try:
            while True:
                attempt = self._take_turns(call, upstream, waits_until, run, position)
                if not self._parts.lacks_turn(call, attempt.parts):
                    return attempt
                # A part has become suspect during the wait for the turn of the whole request.
                attempt.close()
        except Refusal as refusal:
            if refusal.status == 503 and run is not RunState.NOT_RUN:
                raise Refusal(502, "upstream_failed", refusal.detail, run=run) from None
            raise

    def _take_turns(
        self, call: Call, upstream: Upstream, waits_until: float, run: RunState, position: int
    ) -> "GuardedAttempt":
        part_attempt = self._parts.begin(call, waits_until - time.monotonic())
        if not self._quarantine.active:
            return GuardedAttempt(
                self, call, upstream, None, part_attempt, may_have_waited=self._parts.active
            )
        with contextlib.ExitStack() as on_error:
            on_error.callback(part_attempt.close)
            turn = self._quarantine.wait_for_turn(
                fingerprint_of(call),
                upstream.id,
                position,
                waits_until,
                run,
                call.watch.check_caller,
            )
            on_error.pop_all()
        return GuardedAttempt(self, call, upstream, turn, part_attempt, may_have_waited=True)

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether ``upstream`` may still be used after a wait."""
        return (
            self._directory.lists(upstream.id)
            and self._directory.leaving_seconds(upstream.id) is None
            and not self._ends.is_replaced(upstream.id)
        )

    def note_replaced(self, upstream_id: str) -> None:
        """Note that another process answers at the upstream's address."""
        self._settle(upstream_id, "replaced")

    def note_refused(self, upstream: Upstream) -> None:
        """Note that the address of ``upstream`` refuses connections.

        While the path of this instance is in doubt, this is evidence only of losses before
        the last byte from any upstream.
        """
        self._settle(upstream.id, "refused", lambda loss: self._ends.path_works_since(loss.at))

    def drop_losses(self) -> None:
        """Drop the losses without evidence, as the path of this instance is lost."""
        self.pending.clear()

    def note_survival(self, call: Call, position: float) -> None:
        """Note that an attempt has run beyond its begin, up to event ``position``."""
        if self._quarantine.active:
            self._quarantine.note_survival(fingerprint_of(call), position)

    def clear(self, turn: Turn) -> None:
        """End a turn in which the request has run beyond the point of its crash."""
        self._quarantine.clear(turn)

    def release(self, turn: Turn) -> None:
        """End a turn without a result."""
        self._quarantine.release(turn)

    def note_lost(
        self,
        call: Call,
        upstream: Upstream,
        position: int,
        turn: Turn | None,
        part_attempt: PartAttempt,
    ) -> None:
        """Note a request whose connection was closed by the upstream's end.

        Raises the final `Refusal` if this shows that the request crashes upstreams.
        """
        fingerprint = fingerprint_of(call)
        attempts = call.attempts
        current = attempts.current
        began = current.head_received and current.events_received < CLEARING_TOKENS
        run = part_attempt.lost_run()
        evidence = self._ends.evidence(upstream)
        crash = Crash(upstream.id, evidence or "", began, position)
        if evidence is None:
            self.pending.add(Loss(fingerprint, crash, time.monotonic(), turn, run))
            part_attempt.close()
            if turn is not None:
                self._quarantine.release(turn)
            elif self.pending.is_reported(upstream.id):
                self._settle_reported(upstream.id)
            return
        self._parts.note_crash(run, upstream.id, began=began)
        part_attempt.close()
        self._settle(upstream.id, evidence)
        self._quarantine.note_crash(fingerprint, crash, turn)

    def _settle(
        self, upstream_id: str, evidence: str, counts: Callable[[Loss], bool] = lambda loss: True
    ) -> None:
        """Report the losses at an upstream that is now known to have crashed.

        The losses for which ``counts`` does not hold stay without evidence.
        """
        for loss in self.pending.take(upstream_id, counts):
            proven = loss._replace(crash=loss.crash._replace(evidence=evidence))
            self._parts.note_crash(loss.run, upstream_id, began=loss.crash.began)
            if loss.turn is None:
                self._quarantine.note_crash(loss.fingerprint, proven.crash, None)
            else:
                # The verdict takes time that this thread does not have.
                threading.Thread(target=self._note_late, args=(proven,), daemon=True).start()

    def _settle_reported(self, upstream_id: str) -> None:
        """Report the losses at an upstream whose crash another instance has seen.

        This instance may be unable to see it. It condemns no request of a turn for that: its
        own connection may have been cut.
        """
        if self._directory.leaving_seconds(upstream_id) is None:
            oldest = time.monotonic() - REPORTED_SECONDS
            self._settle(
                upstream_id, "reported", lambda loss: loss.turn is None and loss.at > oldest
            )

    def _note_reported(self, upstream_ids: Collection[str]) -> None:
        for key in self.pending.note_reported(upstream_ids):
            # Called by the thread that receives the entries of peers.
            threading.Thread(target=self._settle_reported, args=(key,), daemon=True).start()

    def _note_late(self, loss: Loss) -> None:
        # The caller of the lost request has its answer; the quarantine is logged.
        with contextlib.suppress(Refusal):
            self._quarantine.note_crash(loss.fingerprint, loss.crash, loss.turn)

    def _note_gone(self, upstream_ids: set[str]) -> None:
        for key in filter(self.pending.__contains__, upstream_ids):
            self._settle(key, "unlisted")
        self._ends.forget(upstream_ids)


class GuardedAttempt:
    """One attempt at one upstream; used by one thread."""

    def __init__(
        self,
        guard: CrashGuard,
        call: Call,
        upstream: Upstream,
        turn: Turn | None,
        part_attempt: PartAttempt,
        *,
        may_have_waited: bool = False,
    ) -> None:
        self._guard = guard
        self._call = call
        self._upstream = upstream
        self._turn = turn
        self.parts = part_attempt
        self._may_have_waited = may_have_waited

    @property
    def usable(self) -> bool:
        """Whether the upstream has not gone while the attempt waited, for a turn or for none."""
        return not self._may_have_waited or self._guard.is_usable(self._upstream)

    def note_event(self, position: int) -> None:
        """Note an event of this attempt; ``position`` is its number."""
        if self._turn is not None and position >= self._turn.clear_at:
            self._end_turn(cleared=True)
        self.parts.note_event()
        if self._call.attempts.current.events_received == CLEARING_TOKENS:
            self._guard.note_survival(self._call, position)

    def note_complete(self) -> None:
        """Note that the upstream has answered in full."""
        self._end_turn(cleared=True)
        self.parts.note_complete()
        self._guard.note_survival(self._call, COMPLETE)

    def note_lost(self, lost: Lost, position: int = 0) -> None:
        """Note the loss of the attempt; raises `Refusal` as `CrashGuard.note_lost` does."""
        if lost.broken:
            turn, self._turn = self._turn, None
            self._guard.note_lost(self._call, self._upstream, position, turn, self.parts)

    def close(self) -> None:
        """End the attempt; a suspect that was not cleared remains one."""
        self._end_turn(cleared=False)
        self.parts.close()

    def _end_turn(self, *, cleared: bool) -> None:
        turn, self._turn = self._turn, None
        if turn is not None:
            (self._guard.clear if cleared else self._guard.release)(turn)
