"""What speaks against a part of prompts."""

from typing import NamedTuple

from redwingscale_daemon._internal.quarantine.part_record import PartCount

# How much more likely the ends must be if the part causes them than if it was there by chance.
CONDEMNING_RATIO = 1000.0
# Ends of upstreams, under different requests, without which no part is condemned. One at which no
# answer had begun counts less: requests that were queued there are rarely the cause.
LEAST_ENDS = 3.0
UNBEGUN_END = 0.5
LEAST_REQUESTS = 2


class Suspicion(NamedTuple):
    """What speaks against a part: upstreams that ended, under how many requests, and how much.

    ``ends`` counts those at which no answer had begun less. ``share`` is the largest part of other
    requests that have it, ``ends_in_all`` counts ends without it as well.
    """

    engines: tuple[str, ...]
    ends: float
    requests: int
    ratio: float
    share: float
    ends_in_all: int

    @property
    def is_proof(self) -> bool:
        """Whether the part is condemned, unless another one explains the same ends better."""
        return (
            self.ends >= LEAST_ENDS
            and self.requests >= LEAST_REQUESTS
            and self.ratio >= CONDEMNING_RATIO
        )


class Suspect:
    """A part that was in a request at the end of an upstream and in no survivor since.

    ``count`` is of the requests that had come to this instance, ``survived`` and ``ended`` tell how
    many of them had run beyond their begin, or ended before it.
    """

    def __init__(self, now: float, count: PartCount, survived: int, ended: int) -> None:
        self.since, self.count = now, count
        self.survived_before, self.ended_before = survived, ended
        # Without the part, until the last end with it.
        self.others_survived = self.others_ended = 0
        # Requests of this instance with the part that ended since.
        self.ended_with = 0
        self.engines: dict[str, None] = {}

    def add_end(self, engine: str, survived: int, ended: int) -> None:
        """Add the end of an upstream."""
        self.engines[engine] = None
        self.others_survived = survived - self.survived_before
        self.others_ended = ended - self.ended_before - self.ended_with
