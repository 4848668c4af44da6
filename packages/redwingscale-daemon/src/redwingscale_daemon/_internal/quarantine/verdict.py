"""Decides whether the request of a turn crashed its engine."""

import time

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.quarantine.record import Crash, Phase, Record, Turn
from redwingscale_daemon._internal.quarantine.shared_records import SharedRecords
from redwingscale_daemon._internal.quarantine.store import StoredQuarantine
from redwingscale_daemon._internal.quarantine.turns import SETTLE_SECONDS

# How long other requests that may have crashed the engine may take to show that they did not.
VERDICT_SECONDS = 2.0
# Beyond this many crashes in its turns, a request is quarantined whatever else ran there.
MOST_TURN_CRASHES = 2
# A request is the cause if it has so many crashes more than any other that may be: a popular
# one may have been at an engine more that others ended than the cause itself.
LEAST_LEAD = 2


def decide(shared: SharedRecords, turn: Turn, crash: Crash) -> StoredQuarantine | None:
    """Return the quarantine of the request of ``turn``, None if it may not be the cause.

    Called with the lock of ``shared`` held, and releases it while it waits for what other
    instances saw of the crash.
    """
    fingerprint = turn.record.fingerprint
    # One crash may have ended several turns, if the engine refused connections late.
    turn_crashes = dict.fromkeys((*shared.suspects.turn_crashes(fingerprint), crash.engine))
    record = turn.record._replace(
        crashed_engines=tuple(dict.fromkeys((*turn.record.crashed_engines, crash.engine))),
        turn_crashes=tuple(turn_crashes),
        position=crash.position,
        weak=False,
    )
    # Still running for the others: copies of the request wait for the verdict.
    shared.publish(turn.key, record)
    _await_reports(shared, turn, crash)
    if turn.key not in shared.suspects:
        return None
    if shared.quarantined.explains(crash.engine):
        shared.publish(turn.key, turn.record._replace(phase=Phase.SUSPECT))
        return None
    others = shared.suspects.possible_causes(crash.engine, but=fingerprint)
    beside_begun = not crash.began and shared.suspects.begun_on(crash.engine, but=fingerprint)
    if beside_begun:
        # No evidence against a request that waited there.
        record = turn.record
    if beside_begun or (
        _is_ambiguous(shared, record, others) and len(record.turn_crashes) < MOST_TURN_CRASHES
    ):
        log_event(
            "crash_undecided",
            level="WARNING",
            fingerprint=fingerprint,
            died=",".join(record.crashed_engines),
            evidence=crash.evidence,
            others=len(others),
        )
        shared.publish(turn.key, record._replace(phase=Phase.SUSPECT))
        return None
    seconds = shared.quarantined.next_seconds(fingerprint)
    suspicion = shared.suspects.suspicion(fingerprint)
    log_event(
        "quarantined",
        level="ERROR",
        fingerprint=fingerprint,
        died=",".join(record.crashed_engines),
        crashes=len(record.crashed_engines),
        age=round(time.monotonic() - suspicion.since, 3) if suspicion else "-",
        evidence=crash.evidence,
        others=len(others),
        seconds=seconds,
    )
    return StoredQuarantine(fingerprint, seconds, record.crashed_engines)


def _await_reports(shared: SharedRecords, turn: Turn, crash: Crash) -> None:
    """Return once all that the engine had begun is known, and no other suspect is left."""
    now = time.monotonic()
    settled_at, decided_by = now + SETTLE_SECONDS, now + VERDICT_SECONDS
    while turn.key in shared.suspects and now < decided_by:
        others = shared.suspects.possible_causes(crash.engine, but=turn.record.fingerprint)
        if shared.quarantined.explains(crash.engine) or (now >= settled_at and not others):
            return
        shared.changed.wait(SETTLE_SECONDS / 4)
        now = time.monotonic()


def _is_ambiguous(shared: SharedRecords, record: Record, others: set[str]) -> bool:
    # In a partition, where records of turns do not arrive, two suspects may share an engine.
    crashes = len(record.crashed_engines)
    suspicions = filter(None, map(shared.suspects.suspicion, others))
    if any(crashes < len(other.crashed_engines) + LEAST_LEAD for other in suspicions):
        return True
    return all(_has_another_cause(shared, record, engine) for engine in record.crashed_engines)


def _has_another_cause(shared: SharedRecords, record: Record, engine: str) -> bool:
    # Several causes may have ended one engine of a popular request each.
    others = shared.suspects.possible_causes(engine, but=record.fingerprint)
    return bool(others) or shared.quarantined.explains(engine)
