"""Finds parts of prompts that end upstreams, so that every instance refuses them."""

import time
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.quarantine.part_board import KEY_PREFIX, PartBoard
from redwingscale_daemon._internal.quarantine.part_record import (
    PartCrash,
    PartTurn,
    RunParts,
)
from redwingscale_daemon._internal.quarantine.part_shares import PartCounts, PartShares
from redwingscale_daemon._internal.quarantine.part_suspects import SUSPICION_SECONDS, PartSuspects
from redwingscale_daemon._internal.quarantine.part_turns import PartTurns
from redwingscale_daemon._internal.quarantine.part_verdicts import PartVerdicts
from redwingscale_daemon._internal.quarantine.record import RecordKey
from redwingscale_daemon._internal.quarantine.refusals import part_refusal, part_turn_refusal
from redwingscale_daemon._internal.quarantine.shared_records import Board, SharedRecords
from redwingscale_daemon._internal.quarantine.store import QuarantineSaver
from redwingscale_daemon._internal.quarantine.turns import SETTLE_SECONDS

# A verdict that comes so soon after a survivor was reached without it.
OVERRULED_SECONDS = 1.0


class PartQuarantine:
    """Finds the part that requests under which upstreams end have in common.

    Each request that an upstream had just begun to answer as it ended makes its parts suspect.
    A part is cleared by the first request with it that runs beyond its begin at any instance,
    and condemned once chance explains the ends too badly; shortly before, its requests run one at
    a time. The last part of a prompt is no part here: it belongs to one request or session.

    ``count`` is called with "suspect", "cleared", "condemned", "refused" or "waited".
    """

    def __init__(
        self,
        instance: str,
        board: Board,
        shared: SharedRecords,
        store: QuarantineSaver,
        count: Callable[[str], None] = lambda _: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._instance, self._store, self._count, self._clock = instance, store, count, clock
        self._shared, self._changed = shared, shared.changed
        self._counts = PartCounts(PartShares(clock), PartShares(clock))
        self._suspects = PartSuspects(self._counts, clock)
        self._board = PartBoard(instance, board, self)
        self._turns = PartTurns(instance, self._board.publish_turn, self._changed)
        self._verdicts = PartVerdicts(self._suspects, shared, store, count, clock)
        # When a quarantine became known here, and when a part was cleared.
        self._condemned_at: dict[str, float] = {}
        self._cleared_at: dict[str, float] = {}

    @property
    def active(self) -> bool:
        """Whether any part is suspect or anything is quarantined; cheap, for each request."""
        return bool(self._suspects) or bool(self._shared.quarantined)

    def check(self, run: RunParts, state: RunState) -> None:
        """Raise the final `Refusal` if a part of the request is condemned."""
        with self._changed:
            for part in run.parts:
                left = self._shared.quarantined.seconds_left(KEY_PREFIX + part)
                if left > 0:
                    self._count("refused")
                    raise part_refusal(part, left, state)

    def take_turn_of(
        self,
        run: RunParts,
        state: RunState,
        deadline_at: float,
        check_caller: Callable[[], None],
        *,
        waits: bool,
    ) -> RecordKey | None:
        """Return the claim of a request with a suspect part, None if it needs none.

        Raises `Refusal` if another request with the part runs. With ``waits`` that is only raised
        if the turn has not come by ``deadline_at``, on the monotonic clock. Raises whatever
        ``check_caller`` raises, which is called from time to time.
        """
        with self._changed:
            while (part := self._part_that_needs_turn(run)) is not None:
                self.check(run, state)
                taken = self._turns.is_taken(part)
                left = deadline_at - self._clock()
                if left < SETTLE_SECONDS or (taken and not waits):
                    self._count("waited")
                    raise part_turn_refusal(part, state)
                if taken:
                    check_caller()
                    self._changed.wait(SETTLE_SECONDS)
                elif key := self._turns.claim(part, self._needs_turn, check_caller):
                    return key
            return None

    def needs_turn(self, run: RunParts) -> bool:
        """Return whether the request may run only while no other one with some part does."""
        with self._changed:
            return self._part_that_needs_turn(run) is not None

    def _part_that_needs_turn(self, run: RunParts) -> str | None:
        """Return the part that explains ends best: all instances claim the same one."""
        found = filter(self._needs_turn, run.parts)
        return max(found, key=lambda part: (self._weight(part), part), default=None)

    def _weight(self, part: str) -> float:
        if self._is_quarantined(part):
            return float("inf")
        return self._suspects.ratio(part)

    def _needs_turn(self, part: str) -> bool:
        return self._is_quarantined(part) or self._suspects.needs_turn(part)

    def _is_quarantined(self, part: str) -> bool:
        """Return whether a part is condemned, or was so lately."""
        return self._shared.quarantined.known(KEY_PREFIX + part)

    def _is_refused(self, part: str) -> bool:
        return self._shared.quarantined.seconds_left(KEY_PREFIX + part) > 0

    def end_turn(self, key: RecordKey) -> None:
        """End a turn; a second call does nothing."""
        with self._changed:
            self._turns.end(key)

    def note_arrival(self, run: RunParts) -> None:
        """Count a request that a caller has sent to this instance."""
        if run.parts:
            self._counts.arrivals.note(run.parts)

    def note_crash(self, run: RunParts, engine: str, *, began: bool) -> None:
        """Record that an upstream ended as the answer to a request began, or before.

        All instances are told before this returns, that is before the request can run again.
        """
        if not run.parts:
            return
        with self._changed:
            if began:
                self._suspects.note_ended(run.parts)
            counts = tuple(map(self._suspects.count_before, run.parts))
            self._verdicts.note_seen(run.parts)
            self._board.publish_crash(
                PartCrash(engine, *run, began, time.time(), self._instance, counts)
            )

    def note_survival(self, run: RunParts, begun_at: float) -> None:
        """Note a request whose answer began at the monotonic time ``begun_at`` and went on."""
        if run.parts:
            self._counts.survivors.note(run.parts)
        if not self.active:
            return
        with self._changed:
            cleared = [*self._suspects.survived(run.parts, begun_at)]
            cleared += [
                part
                for part in filter(self._is_quarantined, run.parts)
                if begun_at > self._condemned_at.get(part, float("-inf"))
            ]
            for part in dict.fromkeys(cleared):
                self._clear(part, run)

    def _clear(self, part: str, run: RunParts) -> None:
        self._count("cleared")
        was_condemned = self._is_quarantined(part)
        log_event("part_cleared", part=part, request=run.request_id, condemned=was_condemned)
        if was_condemned:
            self._store.drop(KEY_PREFIX + part)
        self._shared.publish_cleared(KEY_PREFIX + part)

    def sweep(self) -> None:
        """Drop suspicions that are old."""
        with self._changed:
            self._suspects.drop_old()
            self._verdicts.drop_old()
            oldest = self._clock() - SUSPICION_SECONDS
            self._cleared_at = {part: at for part, at in self._cleared_at.items() if at > oldest}

    def take_turn(self, key: RecordKey, turn: PartTurn) -> None:
        """Take a claim of any instance."""
        with self._changed:
            self._turns.put(key, turn)
            self._changed.notify_all()

    def take_shares(self, shares: dict[str, float]) -> None:
        """Take the shares of parts at another instance."""
        with self._changed:
            for part, share in shares.items():
                self._suspects.note_share(part, share)

    def take_crash(self, crash: PartCrash, *, own: bool) -> None:
        """Take a crash that this or another instance has noted, and judge its parts."""
        with self._changed:
            known = [KEY_PREFIX + part for part in crash.parts if self._is_refused(part)]
            if known:
                # Sent before the part was known.
                self._shared.quarantined.note_crash(known[0], crash.engine)
                self._suspects.note_cause(known[0], [crash.engine])
                return
            if self._shared.quarantined.seconds_left(crash.request) > 0:
                self._suspects.note_cause(crash.request, [crash.engine])
            new = self._suspects.add(crash)
            for part in new:
                self._verdicts.log_suspected(part, crash)
            if not own and (shares := self._suspects.shares_unknown_elsewhere(new)):
                self._board.publish_shares(shares)
            self._verdicts.judge(crash)
            self._changed.notify_all()

    def take_condemned(self, part: str, engines: tuple[str, ...]) -> None:
        """Take a verdict, which explains the ends of ``engines``."""
        with self._changed:
            self._suspects.clear(part)
            if self._clock() - self._cleared_at.get(part, float("-inf")) < OVERRULED_SECONDS:
                self._shared.quarantined.pop(KEY_PREFIX + part)
                return
            self._condemned_at[part] = self._clock()
            self._suspects.note_cause(KEY_PREFIX + part, engines)
            self._changed.notify_all()

    def take_condemned_request(self, request: str, engines: tuple[str, ...]) -> None:
        """Take a verdict on one request, by its fingerprint, which ended ``engines``."""
        with self._changed:
            self._suspects.note_cause(request, engines)

    def take_cleared(self, part: str) -> None:
        """Take the news that a part ends no upstreams."""
        with self._changed:
            self._suspects.clear(part)
            self._condemned_at.pop(part, None)
            self._cleared_at[part] = self._clock()
            self._changed.notify_all()
