"""Faults that can be injected into an owner's calls."""

from collections.abc import Callable
from enum import StrEnum


class Point(StrEnum):
    """Where a fault can strike."""

    READ = "read"
    COMMIT = "commit"
    POLL = "poll"
    ORDER = "order"
    LOAD = "load"


class Fault(StrEnum):
    """A fault of the call, of its message or of its sender."""

    REFUSED = "refused"
    LOST = "lost"
    LATE = "late"
    DOUBLED = "doubled"
    REPLY_LOST = "reply lost"
    FAILED = "failed"
    PAUSED_BEFORE = "sender paused before"
    PAUSED_AFTER = "sender paused after"
    KILLED_BEFORE = "sender killed before"
    KILLED_AFTER = "sender killed after"


_SENDER_FAULTS = [
    Fault.PAUSED_BEFORE,
    Fault.PAUSED_AFTER,
    Fault.KILLED_BEFORE,
    Fault.KILLED_AFTER,
]
FAULTS_BY_POINT: dict[Point, list[Fault]] = {
    Point.READ: [Fault.REFUSED, *_SENDER_FAULTS],
    Point.COMMIT: [Fault.REFUSED, Fault.LATE, Fault.REPLY_LOST, *_SENDER_FAULTS],
    Point.POLL: [Fault.REFUSED, *_SENDER_FAULTS],
    Point.ORDER: [
        Fault.REFUSED,
        Fault.LOST,
        Fault.LATE,
        Fault.DOUBLED,
        Fault.REPLY_LOST,
        *_SENDER_FAULTS,
    ],
    Point.LOAD: [Fault.FAILED],
}

# Returns the fault of the next call at a point, or None.
FaultSource = Callable[[Point], Fault | None]


class Killed(BaseException):
    """The calling instance was killed; a BaseException, so that none of its code continues."""
