"""Finds requests that crash engines, so that every instance refuses them."""

import time
from collections.abc import Callable, Collection

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.quarantine.record import Crash, Phase, Record, Turn
from redwingscale_daemon._internal.quarantine.refusals import deadline_refusal
from redwingscale_daemon._internal.quarantine.shared_records import Board, SharedRecords
from redwingscale_daemon._internal.quarantine.store import QuarantineSaver
from redwingscale_daemon._internal.quarantine.suspects import MAX_TURN_SECONDS
from redwingscale_daemon._internal.quarantine.turns import SETTLE_SECONDS, await_turn
from redwingscale_daemon._internal.quarantine.verdict import decide

# Covers the tokens that the crashed engine may have generated but not delivered. The
# number is low to keep turns short: if an engine crashes for another reason during a turn,
# the request of that turn is quarantined wrongly.
CLEARING_TOKENS = 2


class Quarantine:
    """Runs suspects one at a time on each engine, to find the one that crashes engines.

    When an engine crashes, the requests that it had just begun become suspect, and those
    that were queued or well under way do so at a second crash. With one suspect at a time
    on an engine, a further crash has one possible cause: that request is quarantined, that
    is refused by all instances until the quarantine expires. A request that has run past
    the point of its crash anywhere is no longer suspect.

    ``count`` is called with "suspect", "cleared", "quarantined", "refused" or "expired".
    """

    def __init__(
        self,
        instance: str,
        board: Board,
        store: QuarantineSaver,
        count: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._shared = SharedRecords(instance, board)
        self._changed = self._shared.changed
        self._store = store
        self._count = count
        # Requests of which this instance has a turn or waits for one, and since when.
        self._turning_since: dict[str, float] = {}

    def refresh(self) -> None:
        """Add the quarantines stored in the platform's table; raises `PlatformError`."""
        for stored in self._store.load():
            with self._changed:
                if not self._shared.quarantined.known(stored.fingerprint):
                    self._shared.add_quarantine(stored)
        self.sweep()

    def sweep(self) -> None:
        """Drop what has expired."""
        with self._changed:
            self._shared.suspects.drop_old()
            for fingerprint in self._shared.quarantined.drop_expired():
                self._count("expired")
                log_event("quarantine_expired", fingerprint=fingerprint)

    @property
    def shared(self) -> SharedRecords:
        """What all instances know."""
        return self._shared

    @property
    def active(self) -> bool:
        """Whether any request is suspect or quarantined; cheap, for each request."""
        return bool(self._shared.suspects) or bool(self._shared.quarantined)

    def check(self, fingerprint: str, run: RunState = RunState.RUN) -> None:
        """Raise the final `Refusal`, with ``run``, if ``fingerprint`` is quarantined."""
        with self._changed:
            if self._shared.quarantined.seconds_left(fingerprint):
                self._count("refused")
            self._shared.check(fingerprint, run)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether an engine crashed under ``fingerprint``, and it is not cleared yet."""
        with self._changed:
            return self._shared.suspects.suspicion(fingerprint) is not None

    def on_crash(self, listener: Callable[[Collection[str]], None]) -> None:
        """Call ``listener`` with the engines that crashed by each record; it must not wait."""
        self._shared.on_crash = listener

    def wait_for_turn(
        self,
        fingerprint: str,
        engine: str,
        position: int,
        deadline_at: float,
        run: RunState = RunState.UNKNOWN,
        check_caller: Callable[[], None] = lambda: None,
    ) -> Turn | None:
        """Wait for a suspect's turn; return None once the request needs none (any more).

        ``run`` tells whether it has run so far. Raises `Refusal` if it is quarantined or
        its deadline passes during the wait, and whatever ``check_caller`` raises, which is
        called from time to time.
        """
        run_if_quarantined = RunState.RUN if run is RunState.UNKNOWN else run
        with self._changed:
            while self._needs_turn(fingerprint, run_if_quarantined):
                if not self._is_turning(fingerprint):
                    break
                # One copy waits for all of this instance.
                if time.monotonic() >= deadline_at:
                    raise deadline_refusal(run)
                check_caller()
                self._changed.wait(max(0.0, min(SETTLE_SECONDS, deadline_at - time.monotonic())))
            else:
                return None
            if time.monotonic() + SETTLE_SECONDS > deadline_at:
                # Its turn cannot come in time: the caller need not wait for that.
                raise deadline_refusal(run)
            self._turning_since[fingerprint] = time.monotonic()
            turn = None
            try:
                turn = self._take_turn(
                    fingerprint, engine, position, deadline_at, run, check_caller
                )
            finally:
                if turn is None:
                    self._end_turn(fingerprint)
            if turn is None:
                self.check(fingerprint, run_if_quarantined)
            return turn

    def _needs_turn(self, fingerprint: str, run: RunState) -> bool:
        self.check(fingerprint, run)
        suspicion = self._shared.suspects.suspicion(fingerprint)
        on_probation = self._shared.quarantined.known(fingerprint)
        return on_probation or (suspicion is not None and suspicion.needs_turn)

    def _is_turning(self, fingerprint: str) -> bool:
        since = self._turning_since.get(fingerprint, float("-inf"))
        return time.monotonic() - since < MAX_TURN_SECONDS

    def _end_turn(self, fingerprint: str) -> None:
        self._turning_since.pop(fingerprint, None)
        self._changed.notify_all()

    def _take_turn(
        self,
        fingerprint: str,
        engine: str,
        position: int,
        deadline_at: float,
        run: RunState,
        check_caller: Callable[[], None],
    ) -> Turn | None:
        shared = self._shared
        suspicion = shared.suspects.suspicion(fingerprint)
        record = Record(
            fingerprint,
            Phase.WAITING,
            suspicion.crashed_engines if suspicion else (),
            engine,
            position,
            weak=suspicion is not None and not suspicion.began,
            turn_crashes=shared.suspects.turn_crashes(fingerprint),
        )
        key = shared.publish_new(record)
        try:
            if not await_turn(shared, key, record, deadline_at, run, check_caller):
                return None
        except BaseException:
            if key in shared.suspects:
                shared.publish(key, record._replace(phase=Phase.SUSPECT))
            raise
        record = record._replace(phase=Phase.RUNNING)
        shared.publish(key, record)
        crash_position = suspicion.position if suspicion else 0
        return Turn(key, record, max(position, crash_position) + CLEARING_TOKENS)

    def clear(self, turn: Turn) -> None:
        """End a turn: the request has ended, or run past the token at which its engine crashed."""
        with self._changed:
            self._end_turn(turn.record.fingerprint)
            if self._shared.suspects.holds(turn):
                self._log_cleared(turn.record.fingerprint, "turn")
                self._shared.publish(turn.key, turn.record._replace(phase=Phase.CLEARED))

    def release(self, turn: Turn) -> None:
        """End a turn without a result; the request stays suspect."""
        with self._changed:
            self._end_turn(turn.record.fingerprint)
            if self._shared.suspects.holds(turn):
                self._shared.publish(turn.key, turn.record._replace(phase=Phase.SUSPECT))

    def note_survival(self, fingerprint: str, position: float) -> None:
        """Note that an upstream ran a request up to token ``position``, and beyond its begin."""
        shared = self._shared
        with self._changed:
            suspicion = shared.suspects.suspicion(fingerprint)
            if suspicion is None and not shared.quarantined.known(fingerprint):
                return
            if position >= (suspicion.position if suspicion else 0) + CLEARING_TOKENS:
                self._log_cleared(fingerprint, "run")
                shared.publish_cleared(fingerprint)

    def note_crash(self, fingerprint: str, crash: Crash, turn: Turn | None) -> None:
        """Record that an engine crashed under a request; raises `Refusal` if that is the cause.

        The record is published before this returns, that is before the request can run
        again. A crash in a turn is decided first, which takes some seconds at the most.
        """
        with self._changed:
            if turn is None or not self._shared.suspects.holds(turn):
                if turn is not None:
                    self._end_turn(fingerprint)
                self._add_suspect(fingerprint, crash)
                return
            try:
                quarantine = decide(self._shared, turn, crash)
            finally:
                self._end_turn(fingerprint)
            if quarantine is not None:
                self._count("quarantined")
                self._shared.publish_quarantine(quarantine)
                self._store.save(quarantine)
            self.check(fingerprint)

    def _add_suspect(self, fingerprint: str, crash: Crash) -> None:
        shared = self._shared
        running = shared.suspects.running_on(crash.engine)
        in_turns = any(record.fingerprint != fingerprint for record in running)
        if shared.quarantined.explains(crash.engine) or (in_turns and not crash.at_begin):
            return
        suspicion = shared.suspects.suspicion(fingerprint)
        if suspicion and suspicion.includes(crash.engine, began=crash.began):
            return
        self._count("suspect")
        log_event(
            "suspect",
            level="WARNING",
            fingerprint=fingerprint,
            upstream=crash.engine,
            evidence=crash.evidence,
            began=crash.began,
            position=crash.position,
            crashes=1 + len(suspicion.crashed_engines if suspicion else ()),
        )
        record = Record(fingerprint, Phase.SUSPECT, (crash.engine,), position=crash.position)
        shared.publish_new(record._replace(weak=not crash.began))

    def _log_cleared(self, fingerprint: str, by: str) -> None:
        self._count("cleared")
        log_event("suspect_cleared", fingerprint=fingerprint, by=by)
