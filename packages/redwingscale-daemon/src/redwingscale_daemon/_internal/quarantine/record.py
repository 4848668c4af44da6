"""Records of suspect requests, as instances exchange them."""

from enum import IntEnum
from typing import NamedTuple


class Phase(IntEnum):
    """The state of a suspect: it waits for a turn, runs in it, and is cleared or still suspect."""

    SUSPECT = 1
    WAITING = 2
    RUNNING = 3
    CLEARED = 4


SUSPECT_PHASES = frozenset({Phase.SUSPECT, Phase.WAITING, Phase.RUNNING})
TURN_PHASES = frozenset({Phase.WAITING, Phase.RUNNING})


class Record(NamedTuple):
    """One run of the request ``fingerprint``.

    ``crashed_engines`` crashed while they ran it, ``target`` is the engine of its turn,
    and ``position`` the number of tokens that its caller has. ``weak``: it was not seen to
    begin just before the crash. ``turn_crashes`` are those of the engines that crashed in
    its turns.
    """

    fingerprint: str
    phase: Phase
    crashed_engines: tuple[str, ...]
    target: str = ""
    position: int = 0
    weak: bool = False
    turn_crashes: tuple[str, ...] = ()

    @property
    def at_begin(self) -> bool:
        """Whether the request may have ended its engines at its begin."""
        return not self.weak or not self.position


class RecordKey(NamedTuple):
    """The key of a record; an instance reuses its slots to keep the number of entries low."""

    origin: str
    slot: int


class SeenRecord(NamedTuple):
    """A record, and when it was received, on the monotonic clock."""

    record: Record
    seen_at: float


class Turn(NamedTuple):
    """The right of one suspect to run on an engine while no other suspect runs there.

    The request is cleared once its caller has ``clear_at`` tokens: if it causes crashes,
    the engine crashes again at the latest at the token at which the last one did.
    """

    key: RecordKey
    record: Record
    clear_at: int


class Crash(NamedTuple):
    """What an instance saw of a request as its engine crashed.

    ``evidence`` is how the crash was recognised. ``began``: the engine had begun the request
    and delivered fewer tokens than clear it. ``position`` is the number of tokens that the
    caller has.
    """

    engine: str
    evidence: str
    began: bool = True
    position: int = 0

    @property
    def at_begin(self) -> bool:
        """Whether the request may have caused the crash at its begin.

        One whose caller has no token may have ended the engine before it answered.
        """
        return self.began or not self.position


class Quarantined(NamedTuple):
    """A request that is refused until ``expires_at``, on the monotonic clock.

    Afterwards it may run in turns only. ``seconds`` is how long it was refused.
    """

    expires_at: float
    crashed_engines: tuple[str, ...]
    seconds: float
