"""Finds requests that crash engines, so that every instance refuses them."""

import itertools
import threading
import time
from collections.abc import Callable, Iterator

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.quarantine.record import (
    SUSPECT_PHASES,
    TURN_PHASES,
    Phase,
    Quarantined,
    Record,
    RecordKey,
    SeenRecord,
    Turn,
)
from redwingscale_daemon._internal.quarantine.store import QuarantineStore, StoredQuarantine

SUSPECT_TOPIC = "suspect"
QUARANTINE_TOPIC = "quarantine"
QUARANTINE_SECONDS = 3600.0
SUSPICION_SECONDS = 300.0
# A turn whose record is older belongs to an instance that has ended.
MAX_TURN_SECONDS = 15.0
# Twice the time in which peers receive an entry (a link delays it by up to 0.15 s). Of two
# instances that request a turn at once, each has the other's record before it decides.
SETTLE_SECONDS = 0.4
# A crash is attributed to a request that was quarantined at most this long ago because
# of the same engine.
ATTRIBUTION_SECONDS = 10.0
# Covers the tokens that the crashed engine may have generated but not delivered. The
# number is low to keep turns short: if an engine crashes for another reason during a turn,
# the request of that turn is quarantined wrongly.
CLEARING_TOKENS = 2
RETRY_AFTER_SECONDS = 1.0


class Quarantine:
    """Runs suspects one at a time on each engine, to find the one that crashes engines.

    When an engine crashes, all requests that ran on it become suspect. With one suspect
    at a time on an engine, a second crash has one possible cause: that request is
    quarantined, that is refused by all instances until the quarantine expires.
    """

    def __init__(self, instance: str, gossip: GossipState, store: QuarantineStore) -> None:
        self._changed = threading.Condition()
        self._instance = instance
        self._gossip = gossip
        self._store = store
        self._records: dict[RecordKey, SeenRecord] = {}
        self._quarantined: dict[str, Quarantined] = {}
        gossip.subscribe(SUSPECT_TOPIC, self._on_entry)
        gossip.subscribe(QUARANTINE_TOPIC, self._on_quarantine)

    def refresh(self) -> None:
        """Add the quarantines stored in the platform's table; raises `PlatformError`."""
        for stored in self._store.load():
            with self._changed:
                if stored.fingerprint not in self._quarantined:
                    self._add_quarantine(stored.fingerprint, stored.seconds, stored.crashed_engines)

    def check(self, fingerprint: str) -> None:
        """Raise the final `Refusal` if ``fingerprint`` is quarantined."""
        with self._changed:
            quarantined = self._quarantined.get(fingerprint)
            if quarantined is None:
                return
            left = quarantined.expires_at - time.monotonic()
            if left > 0:
                raise _quarantine_refusal(left)
            del self._quarantined[fingerprint]

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether an engine crashed under ``fingerprint``, and it is not cleared yet."""
        with self._changed:
            return bool(self._crashes_of(fingerprint))

    def wait_for_turn(
        self, fingerprint: str, engine: str, position: int, deadline_at: float
    ) -> Turn | None:
        """Wait for a suspect's turn; return None once the request is not (or no longer) suspect.

        Raises `Refusal` if it is quarantined or its deadline passes during the wait.
        """
        with self._changed:
            self.check(fingerprint)
            crashed_engines = self._crashes_of(fingerprint)
            if not crashed_engines:
                return None
            record = Record(fingerprint, Phase.WAITING, crashed_engines, engine, position)
            key = self._publish_new(record)
            if not self._await_turn(key, record, deadline_at):
                return None
            record = record._replace(phase=Phase.RUNNING)
            self._publish(key, record)
            return Turn(key, record, position + CLEARING_TOKENS)

    def clear(self, turn: Turn) -> None:
        """End a turn: the request has ended, or run past the token at which its engine crashed."""
        with self._changed:
            if turn.key in self._records:
                self._publish(turn.key, turn.record._replace(phase=Phase.CLEARED))

    def release(self, turn: Turn) -> None:
        """End a turn without a result; the request stays suspect."""
        with self._changed:
            if turn.key in self._records:
                self._publish(turn.key, turn.record._replace(phase=Phase.SUSPECT))

    def note_crash(self, fingerprint: str, engine: str, turn: Turn | None) -> None:
        """Record that ``engine`` crashed under a request; raises `Refusal` if that is the cause.

        The record is published before this returns, that is before the request can run
        again.
        """
        with self._changed:
            self._forget_old()
            others = self._concurrent_turns(fingerprint, engine)
            if turn is not None and turn.key in self._records:
                self._note_crash_in_turn(turn, engine, alone=not others)
            elif not others and not self._is_attributed(engine):
                log_event("suspect", level="WARNING", fingerprint=fingerprint, upstream=engine)
                self._publish_new(Record(fingerprint, Phase.SUSPECT, (engine,)))

    def _note_crash_in_turn(self, turn: Turn, engine: str, *, alone: bool) -> None:
        fingerprint = turn.record.fingerprint
        crashed_engines = tuple(dict.fromkeys((*turn.record.crashed_engines, engine)))
        if not alone:
            # Happens only in a network partition, where the records of turns do not arrive.
            self._publish(
                turn.key, turn.record._replace(phase=Phase.SUSPECT, crashed_engines=crashed_engines)
            )
            return
        log_event(
            "quarantined", level="ERROR", fingerprint=fingerprint, died=",".join(crashed_engines)
        )
        quarantine = StoredQuarantine(fingerprint, QUARANTINE_SECONDS, crashed_engines)
        # Published under a key of its own: in a slot that is reused at once, a later
        # record would replace it while a link still delays it.
        self._gossip.publish(QUARANTINE_TOPIC, fingerprint, quarantine)
        self._store.save(quarantine)
        raise _quarantine_refusal(QUARANTINE_SECONDS)

    def _await_turn(self, key: RecordKey, record: Record, deadline_at: float) -> bool:
        """Return True once the turn begins, False if the request is no longer suspect."""
        settled_at = time.monotonic() + SETTLE_SECONDS
        while key in self._records:
            now = time.monotonic()
            if now >= deadline_at:
                self._publish(key, record._replace(phase=Phase.SUSPECT))
                raise _deadline_refusal()
            if now >= settled_at and self._may_run(key, record):
                return True
            self._changed.wait(min(SETTLE_SECONDS, deadline_at - now))
        self.check(record.fingerprint)
        return False

    def _may_run(self, key: RecordKey, record: Record) -> bool:
        rank = _rank(key, record)
        return not any(
            other.phase is Phase.RUNNING or _rank(other_key, other) < rank
            for other_key, other in self._turn_records()
            if other_key != key
            and (other.target == record.target or other.fingerprint == record.fingerprint)
        )

    def _turn_records(self) -> Iterator[tuple[RecordKey, Record]]:
        oldest = time.monotonic() - MAX_TURN_SECONDS
        for key, seen in self._records.items():
            if seen.record.phase in TURN_PHASES and seen.seen_at > oldest:
                yield key, seen.record

    def _concurrent_turns(self, fingerprint: str, engine: str) -> list[Record]:
        return [
            record
            for _, record in self._turn_records()
            if record.phase is Phase.RUNNING
            and record.target == engine
            and record.fingerprint != fingerprint
        ]

    def _crashes_of(self, fingerprint: str) -> tuple[str, ...]:
        oldest = time.monotonic() - SUSPICION_SECONDS
        crashes = [
            seen.record.crashed_engines
            for seen in self._records.values()
            if seen.record.fingerprint == fingerprint
            and seen.record.phase in SUSPECT_PHASES
            and seen.seen_at > oldest
        ]
        return tuple(dict.fromkeys(itertools.chain.from_iterable(crashes)))

    def _is_attributed(self, engine: str) -> bool:
        latest = time.monotonic() + QUARANTINE_SECONDS - ATTRIBUTION_SECONDS
        return any(
            engine in q.crashed_engines and q.expires_at > latest
            for q in self._quarantined.values()
        )

    def _publish_new(self, record: Record) -> RecordKey:
        slots = (RecordKey(self._instance, slot) for slot in itertools.count())
        key = next(key for key in slots if key not in self._records)
        self._publish(key, record)
        return key

    def _publish(self, key: RecordKey, record: Record) -> None:
        # The gossip state also calls `_on_entry` with what this instance publishes.
        self._gossip.publish(SUSPECT_TOPIC, str(key.slot), record)

    def _on_entry(self, entry: Entry) -> None:
        record = msgspec.msgpack.decode(entry.payload, type=Record)
        key = RecordKey(entry.origin, int(entry.key))
        with self._changed:
            self._records.pop(key, None)
            match record.phase:
                case Phase.CLEARED:
                    self._drop(lambda r: r.fingerprint == record.fingerprint)
                case Phase.SUSPECT | Phase.WAITING | Phase.RUNNING:
                    self._records[key] = SeenRecord(record, time.monotonic())
            self._changed.notify_all()

    def _on_quarantine(self, entry: Entry) -> None:
        received = msgspec.msgpack.decode(entry.payload, type=StoredQuarantine)
        with self._changed:
            self._add_quarantine(received.fingerprint, received.seconds, received.crashed_engines)

    def _add_quarantine(
        self, fingerprint: str, seconds: float, crashed_engines: tuple[str, ...]
    ) -> None:
        self._quarantined[fingerprint] = Quarantined(time.monotonic() + seconds, crashed_engines)
        # Requests that were suspect only because of these crashes are no longer suspect.
        attributed = set(crashed_engines)
        self._drop(
            lambda r: r.fingerprint == fingerprint or attributed.issuperset(r.crashed_engines)
        )
        self._changed.notify_all()

    def _drop(self, is_settled: Callable[[Record], bool]) -> None:
        self._records = {k: s for k, s in self._records.items() if not is_settled(s.record)}

    def _forget_old(self) -> None:
        now = time.monotonic()
        self._records = {
            key: seen
            for key, seen in self._records.items()
            if seen.record.phase in TURN_PHASES or seen.seen_at > now - SUSPICION_SECONDS
        }
        self._quarantined = {f: q for f, q in self._quarantined.items() if q.expires_at > now}


def _rank(key: RecordKey, record: Record) -> tuple[int, str, RecordKey]:
    # Fewest tokens first: most crashes come at the first tokens, and the cause, once found,
    # clears the other suspects.
    return record.position, record.fingerprint, key


def _quarantine_refusal(seconds: float) -> Refusal:
    return Refusal(
        422,
        "quarantined",
        "upstreams died each time that this request ran; it is refused until it expires",
        run=RunState.RUN,
        retry_after_seconds=seconds,
    )


def _deadline_refusal() -> Refusal:
    return Refusal(
        503,
        "suspect",
        "its upstream died, and the deadline passed before it could be run by itself",
        run=RunState.UNKNOWN,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
