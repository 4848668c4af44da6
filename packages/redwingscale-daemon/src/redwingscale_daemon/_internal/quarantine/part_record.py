"""What instances tell each other of parts of prompts that may end upstreams."""

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple


class RunParts(NamedTuple):
    """The parts of a request that others may share, and what identifies the request.

    ``request`` is the fingerprint of its content.
    """

    request: str
    request_id: str
    parts: tuple[str, ...]


class PartCount(NamedTuple):
    """How many of some requests had a part."""

    with_part: int
    requests: int

    def share(self, drawn: int = 0) -> float:
        """Return the chance that one more request has the part, after ``drawn`` others had it.

        The prior of the share is Jeffreys': a part that was in no request has the lower a chance
        the more requests were seen.
        """
        return (self.with_part + drawn + 0.5) / (self.requests + drawn + 1)

    @classmethod
    def total(cls, counts: Iterable["PartCount"]) -> "PartCount":
        """Return the count of all requests of ``counts``."""
        counts = list(counts)
        return cls(sum(one.with_part for one in counts), sum(one.requests for one in counts))

    def without_one(self) -> "PartCount":
        """Return the count without one request that had the part."""
        return PartCount(max(0, self.with_part - 1), max(0, self.requests - 1))


class PartCrash(NamedTuple):
    """A request that was lost at the begin of its answer as an upstream's process ended.

    ``request`` is the fingerprint of its content, ``request_id`` the id that its caller gave it,
    and ``parts`` are those that other requests may share. ``began``: the head of its answer had
    come. ``at`` is in seconds of Unix time by the clock of ``instance``, which noted it, and
    ``counts`` how many of the other requests that came there had each part.
    """

    engine: str
    request: str
    request_id: str
    parts: tuple[str, ...]
    began: bool
    at: float
    instance: str = ""
    counts: tuple[PartCount, ...] = ()


class TurnPhase(IntEnum):
    """The state of a claim to run the only request with a suspect part."""

    WAITING = 1
    RUNNING = 2
    ENDED = 3


class PartTurn(NamedTuple):
    """A claim to run a request with ``part`` while no other request with it runs."""

    part: str
    phase: TurnPhase


class PartVerdict(NamedTuple):
    """A part that ends upstreams, and what shows so.

    ``share`` is the largest part of other requests that have it, ``ends`` the number of upstreams
    that ended for no known reason, ``engines`` among them.
    """

    part: str
    engines: tuple[str, ...]
    requests: int
    ratio: float
    share: float
    ends: int
