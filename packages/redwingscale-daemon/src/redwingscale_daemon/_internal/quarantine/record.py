"""What instances tell each other of requests under suspicion."""

from enum import IntEnum
from typing import NamedTuple


class Phase(IntEnum):
    """How far a suspicion is."""

    SUSPECT = 1
    WAITING = 2
    RUNNING = 3
    CLEARED = 4


SUSPECT_PHASES = frozenset({Phase.SUSPECT, Phase.WAITING, Phase.RUNNING})
TURN_PHASES = frozenset({Phase.WAITING, Phase.RUNNING})


class Record(NamedTuple):
    """One run of the request ``fingerprint``.

    ``died`` are the engines that ended under it, ``target`` the engine of its
    turn, and ``position`` how many tokens its caller has.
    """

    fingerprint: str
    phase: Phase
    crashed_engines: tuple[str, ...]
    target: str = ""
    position: int = 0


class RecordKey(NamedTuple):
    """The place of a record; an origin uses its slots again, so few entries are kept."""

    origin: str
    slot: int


class SeenRecord(NamedTuple):
    """A record and when it was seen, on the monotonic clock."""

    record: Record
    seen_at: float


class Turn(NamedTuple):
    """The right of one suspect to run on an engine, alone among suspects.

    It is cleared once its caller has ``clear_at`` tokens: a crash that comes
    with the request comes again by the token at which its engine died.
    """

    key: RecordKey
    record: Record
    clear_at: int


class Quarantined(NamedTuple):
    """A request that is refused until ``until``, on the monotonic clock."""

    expires_at: float
    crashed_engines: tuple[str, ...]
