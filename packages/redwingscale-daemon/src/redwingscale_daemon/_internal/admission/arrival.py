"""The properties of a request that admission depends on."""

from typing import NamedTuple

LOWEST_PRIORITY = 9


class Flow(NamedTuple):
    """The requests of one caller and priority, which share one weight in the queue."""

    caller: str
    priority: int


class Arrival(NamedTuple):
    """A request before admission; ``unit`` is empty for a plain service.

    ``share`` is the caller's weight relative to others; each step of ``priority`` towards
    0 doubles it. ``deadline_at`` is on the gate's clock.
    """

    caller: str
    share: int
    priority: int
    unit: str
    max_tokens: int
    deadline_at: float

    @property
    def flow(self) -> Flow:
        """The flow that the request belongs to."""
        return Flow(self.caller, self.priority)

    @property
    def weight(self) -> float:
        """The weight of the flow, relative to others, when requests have to wait."""
        return float(self.share << (LOWEST_PRIORITY - self.priority))
