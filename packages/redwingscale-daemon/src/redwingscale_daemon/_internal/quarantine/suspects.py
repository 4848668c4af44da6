"""The records of suspect requests, and what they say together."""

import itertools
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

from redwingscale_daemon._internal.quarantine.record import (
    SUSPECT_PHASES,
    TURN_PHASES,
    Phase,
    Record,
    RecordKey,
    SeenRecord,
    Turn,
)

SUSPICION_SECONDS = 300.0
# A turn whose record is older belongs to an instance that has ended.
MAX_TURN_SECONDS = 15.0
MAX_RECORDS = 2048
# Requests that were queued or well under way as an engine crashed are rarely the cause.
WEAK_CRASHES_BEFORE_TURN = 2


class Suspicion(NamedTuple):
    """All records of one request.

    ``began`` are the engines that crashed just after they had begun it, ``weak`` the others.
    ``position`` is the furthest token at which one crashed, ``since`` the time of the oldest
    record on the monotonic clock.
    """

    began: tuple[str, ...]
    weak: tuple[str, ...]
    position: int
    since: float

    @property
    def crashed_engines(self) -> tuple[str, ...]:
        """All engines that crashed under the request."""
        return tuple(dict.fromkeys((*self.began, *self.weak)))

    def includes(self, engine: str, *, began: bool) -> bool:
        """Return whether a crash of ``engine`` is recorded, with no less evidence."""
        return engine in self.began or (not began and engine in self.weak)

    @property
    def needs_turn(self) -> bool:
        """Whether the request may run only while no other suspect runs on its engine."""
        return bool(self.began) or len(self.weak) >= WEAK_CRASHES_BEFORE_TURN


class Suspects:
    """Records by key; not safe for threads."""

    def __init__(self) -> None:
        self.seen_by_key: dict[RecordKey, SeenRecord] = {}
        self._keys_by_fingerprint: dict[str, set[RecordKey]] = {}

    def __contains__(self, key: RecordKey) -> bool:
        return key in self.seen_by_key

    def __bool__(self) -> bool:
        return bool(self.seen_by_key)

    def holds(self, turn: Turn) -> bool:
        """Return whether the record of a turn is still there, and not replaced by another."""
        seen = self.seen_by_key.get(turn.key)
        return seen is not None and seen.record.fingerprint == turn.record.fingerprint

    def put(self, key: RecordKey, record: Record) -> None:
        """Store a record; beyond `MAX_RECORDS` the oldest ones without a turn are dropped."""
        self.pop(key)
        self.seen_by_key[key] = SeenRecord(record, time.monotonic())
        self._keys_by_fingerprint.setdefault(record.fingerprint, set()).add(key)
        excess = len(self.seen_by_key) - MAX_RECORDS
        if excess > 0:
            idle = [k for k, s in self.seen_by_key.items() if s.record.phase not in TURN_PHASES]
            idle.sort(key=lambda k: self.seen_by_key[k].seen_at)
            for old in idle[:excess]:
                self.pop(old)

    def pop(self, key: RecordKey) -> None:
        """Drop a record if there is one."""
        seen = self.seen_by_key.pop(key, None)
        if seen is not None:
            keys = self._keys_by_fingerprint[seen.record.fingerprint]
            keys.discard(key)
            if not keys:
                del self._keys_by_fingerprint[seen.record.fingerprint]

    def drop(self, is_settled: Callable[[Record], bool]) -> None:
        """Drop the records for which ``is_settled`` holds."""
        for key in [k for k, s in self.seen_by_key.items() if is_settled(s.record)]:
            self.pop(key)

    def forget(self, fingerprint: str) -> None:
        """Drop all records of a request."""
        for key in list(self._keys_by_fingerprint.get(fingerprint, ())):
            self.pop(key)

    def drop_old(self) -> None:
        """Drop records without a turn that are older than `SUSPICION_SECONDS`."""
        oldest = time.monotonic() - SUSPICION_SECONDS
        for key, seen in list(self.seen_by_key.items()):
            if seen.record.phase not in TURN_PHASES and seen.seen_at <= oldest:
                self.pop(key)

    def free_key(self, instance: str) -> RecordKey:
        """Return the lowest unused key of an instance."""
        keys = (RecordKey(instance, slot) for slot in itertools.count())
        return next(key for key in keys if key not in self.seen_by_key)

    def suspicion(self, fingerprint: str) -> Suspicion | None:
        """Return what the records of a request say, None if there are none."""
        oldest = time.monotonic() - SUSPICION_SECONDS
        seen = [
            one
            for one in self._seen(fingerprint)
            if one.record.phase in SUSPECT_PHASES and one.seen_at > oldest
        ]
        if not seen:
            return None
        # The position of a turn's record is that of its run.
        positions = [s.record.position for s in seen if s.record.phase is Phase.SUSPECT]
        return Suspicion(
            _engines(s.record for s in seen if not s.record.weak),
            _engines(s.record for s in seen if s.record.weak),
            max(positions, default=0),
            min(s.seen_at for s in seen),
        )

    def turns(self) -> Iterator[tuple[RecordKey, Record]]:
        """Yield the records of turns that are waited for or under way."""
        oldest = time.monotonic() - MAX_TURN_SECONDS
        for key, seen in self.seen_by_key.items():
            if seen.record.phase in TURN_PHASES and seen.seen_at > oldest:
                yield key, seen.record

    def running_on(self, engine: str) -> Iterator[Record]:
        """Yield the records of the turns under way on ``engine``."""
        return (r for _, r in self.turns() if r.phase is Phase.RUNNING and r.target == engine)

    def turn_crashes(self, fingerprint: str) -> tuple[str, ...]:
        """Return the engines that crashed in turns of a request."""
        crashes = (seen.record.turn_crashes for seen in self._seen(fingerprint))
        return max(crashes, key=len, default=())

    def _seen(self, fingerprint: str) -> list[SeenRecord]:
        return [self.seen_by_key[key] for key in self._keys_by_fingerprint.get(fingerprint, ())]

    def possible_causes(self, engine: str, but: str) -> set[str]:
        """Return the requests, but one, that may have crashed ``engine`` at their begin."""
        return {one.fingerprint for one in self._crashed_with(engine, but) if one.at_begin}

    def begun_on(self, engine: str, but: str) -> bool:
        """Return whether ``engine`` had just begun a request, but one, as it crashed."""
        return any(not one.weak for one in self._crashed_with(engine, but))

    def _crashed_with(self, engine: str, but: str) -> Iterator[Record]:
        records = (seen.record for seen in self.seen_by_key.values())
        return (r for r in records if engine in r.crashed_engines and r.fingerprint != but)


def _engines(records: Iterator[Record]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(itertools.chain.from_iterable(r.crashed_engines for r in records)))
