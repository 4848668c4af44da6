"""A request that competes for a place at a holder."""

from typing import NamedTuple

from redwingscale_daemon._internal.admission.queue_limit import QueueLimit


class PlaceFlow(NamedTuple):
    """The requests of one workspace and rank, which share one weight in the queue."""

    workspace: str
    rank: int


class PlaceRequest(NamedTuple):
    """A request with ``tokens`` to read, which takes ``own_seconds``.

    It is in time if it begins within ``target_seconds`` of ``arrived_at``. The lower its
    ``rank``, the more urgent it is; ``urgency_weight`` doubles with each rank.
    ``share`` is the fraction of its workspace's requests that is within its share.
    A ``returning`` request was refused before, and has returned as announced.
    """

    workspace: str
    rank: int
    urgency_weight: float
    tokens: int
    arrived_at: float
    target_seconds: float
    own_seconds: float
    limit: QueueLimit
    share: float = 1.0
    beyond_share: bool = False
    returning: bool = False

    @property
    def flow(self) -> PlaceFlow:
        """The flow that the request belongs to."""
        return PlaceFlow(self.workspace, self.rank)

    @property
    def shares_room(self) -> bool:
        """Whether the room that becomes free is shared with such requests of all instances."""
        return self.limit.patient or self.beyond_share

    @property
    def weight(self) -> float:
        """The weight per request: a large prompt takes as much room as several small ones."""
        return self.urgency_weight * self.share / max(1, self.tokens)

    def limit_at(self, now: float) -> float:
        """Return the longest queue that the request may join, in seconds."""
        if self.returning:
            # It has waited as told, and goes before new ones of its rank.
            return self.limit.at_last
        spare = self.target_seconds - self.own_seconds
        return self.limit.after((now - self.arrived_at) / spare if spare > 0 else 1.0)

    def spare_at(self, now: float, queue_seconds: float) -> float:
        """Return how long the request can wait and still begin in time behind such a queue."""
        until = self.arrived_at + self.target_seconds - self.own_seconds
        return until - now - queue_seconds
