"""Keeps requests that crash upstreams from running, attempt by attempt."""

import contextlib
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.fleet.upstream_ends import UpstreamEnds
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.fingerprint import fingerprint_of
from redwingscale_daemon._internal.forwarding.outcome import Lost
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.quarantine.quarantine import CLEARING_TOKENS, Quarantine
from redwingscale_daemon._internal.quarantine.record import Crash, Turn

# Evidence of a crash may come this long after the loss of a request.
PENDING_SECONDS = 5.0
MAX_PENDING = 1024
COMPLETE = float("inf")


class _Loss(NamedTuple):
    """A request that was lost with a connection, at ``at`` on the monotonic clock.

    ``turn`` is the one it was lost in, None if it ran without a turn.
    """

    fingerprint: str
    crash: Crash
    at: float
    turn: Turn | None


class CrashGuard:
    """Watches the attempts of this instance for the quarantine that all instances share."""

    def __init__(
        self, quarantine: Quarantine, directory: UpstreamDirectory, ends: UpstreamEnds
    ) -> None:
        self._quarantine = quarantine
        self._directory = directory
        self._ends = ends
        self._lock = threading.Lock()
        # Losses without evidence so far, by upstream id.
        self._pending_by_upstream: dict[str, list[_Loss]] = {}
        directory.on_gone(self._note_gone)

    def check(self, call: Call) -> None:
        """Raise the final `Refusal` if a request with this content is quarantined."""
        if self._quarantine.active:
            self._quarantine.check(fingerprint_of(call), RunState.NOT_RUN)

    def begin(
        self, call: Call, upstream: Upstream, max_wait_seconds: float, position: int = 0
    ) -> "GuardedAttempt":
        """Return the guard of one attempt, after the turn of a suspect has come.

        ``position`` is the number of the last event that the caller has. Raises `Refusal`
        if the request is quarantined or its turn does not come in time, and `CallerLeft`.
        """
        if not self._quarantine.active:
            return GuardedAttempt(self, call, upstream, None)
        run = RunState.NOT_RUN if call.attempts.certainly_not_run else RunState.UNKNOWN
        try:
            turn = self._quarantine.wait_for_turn(
                fingerprint_of(call),
                upstream.id,
                position,
                time.monotonic() + max_wait_seconds,
                run,
                call.watch.check_caller,
            )
        except Refusal as refusal:
            if refusal.status == 503 and run is not RunState.NOT_RUN:
                raise Refusal(502, "upstream_failed", refusal.detail, run=run) from None
            raise
        return GuardedAttempt(self, call, upstream, turn, may_have_waited=True)

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether ``upstream`` may still be used after a wait."""
        listed = self._directory.lists(upstream.id)
        return listed and self._directory.leaving_seconds(upstream.id) is None

    def note_replaced(self, upstream: Upstream) -> None:
        """Note that another process answers at the address of ``upstream``."""
        self._settle(upstream.id, "replaced")

    def note_refused(self, upstream: Upstream) -> None:
        """Note that the address of ``upstream`` refuses connections.

        While the path of this instance is in doubt, this is evidence only of losses before
        the last byte from any upstream.
        """
        self._settle(upstream.id, "refused", self._ends.path_works_since)

    def drop_losses(self) -> None:
        """Drop the losses without evidence, as the path of this instance is lost."""
        with self._lock:
            self._pending_by_upstream = {}

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

    def note_lost(self, call: Call, upstream: Upstream, position: int, turn: Turn | None) -> None:
        """Note a request whose connection was closed by the upstream's end.

        Raises the final `Refusal` if this shows that the request crashes upstreams.
        """
        fingerprint = fingerprint_of(call)
        attempts = call.attempts
        current = attempts.current
        began = current.head_received and current.events_received < CLEARING_TOKENS
        evidence = self._ends.evidence(upstream)
        crash = Crash(upstream.id, evidence or "", began, position)
        if evidence is None:
            self._add_pending(upstream.id, _Loss(fingerprint, crash, time.monotonic(), turn))
            if turn is not None:
                self._quarantine.release(turn)
            return
        self._settle(upstream.id, evidence)
        self._quarantine.note_crash(fingerprint, crash, turn)

    def _add_pending(self, upstream_id: str, loss: _Loss) -> None:
        oldest = time.monotonic() - PENDING_SECONDS
        with self._lock:
            kept = {
                key: [one for one in losses if one.at > oldest]
                for key, losses in self._pending_by_upstream.items()
            }
            self._pending_by_upstream = {key: losses for key, losses in kept.items() if losses}
            if sum(map(len, self._pending_by_upstream.values())) < MAX_PENDING:
                self._pending_by_upstream.setdefault(upstream_id, []).append(loss)

    def _settle(
        self, upstream_id: str, evidence: str, counts: Callable[[float], bool] = lambda at: True
    ) -> None:
        """Report the losses at an upstream that is now known to have crashed.

        ``counts`` returns whether the evidence counts for a loss at a monotonic time; the
        other losses stay without evidence.
        """
        with self._lock:
            pending = self._pending_by_upstream.pop(upstream_id, [])
            losses = [loss for loss in pending if counts(loss.at)]
            if len(losses) < len(pending):
                kept = [loss for loss in pending if loss not in losses]
                self._pending_by_upstream[upstream_id] = kept
        oldest = time.monotonic() - PENDING_SECONDS
        recent = [
            loss._replace(crash=loss.crash._replace(evidence=evidence))
            for loss in losses
            if loss.at > oldest
        ]
        for loss in recent:
            if loss.turn is None:
                self._quarantine.note_crash(loss.fingerprint, loss.crash, None)
            else:
                # The verdict takes time that this thread does not have.
                threading.Thread(target=self._note_late, args=(loss,), daemon=True).start()

    def _note_late(self, loss: _Loss) -> None:
        # The caller of the lost request has its answer; the quarantine is logged.
        with contextlib.suppress(Refusal):
            self._quarantine.note_crash(loss.fingerprint, loss.crash, loss.turn)

    def _note_gone(self, upstream_ids: set[str]) -> None:
        for key in upstream_ids & self._pending_by_upstream.keys():
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
        *,
        may_have_waited: bool = False,
    ) -> None:
        self._guard = guard
        self._call = call
        self._upstream = upstream
        self._turn = turn
        self._may_have_waited = may_have_waited

    @property
    def usable(self) -> bool:
        """Whether the upstream has not gone while the attempt waited, for a turn or for none."""
        return not self._may_have_waited or self._guard.is_usable(self._upstream)

    def note_event(self, position: int) -> None:
        """Note an event of this attempt; ``position`` is its number."""
        if self._turn is not None and position >= self._turn.clear_at:
            self._end_turn(cleared=True)
        if self._call.attempts.current.events_received == CLEARING_TOKENS:
            self._guard.note_survival(self._call, position)

    def note_complete(self) -> None:
        """Note that the upstream has answered in full."""
        self._end_turn(cleared=True)
        self._guard.note_survival(self._call, COMPLETE)

    def note_lost(self, lost: Lost, position: int = 0) -> None:
        """Note the loss of the attempt; raises `Refusal` as `CrashGuard.note_lost` does."""
        if lost.broken:
            turn, self._turn = self._turn, None
            self._guard.note_lost(self._call, self._upstream, position, turn)

    def close(self) -> None:
        """End the attempt; a suspect that was not cleared remains one."""
        self._end_turn(cleared=False)

    def _end_turn(self, *, cleared: bool) -> None:
        turn, self._turn = self._turn, None
        if turn is not None:
            (self._guard.clear if cleared else self._guard.release)(turn)
