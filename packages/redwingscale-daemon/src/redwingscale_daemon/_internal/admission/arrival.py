"""What admission needs to know of a request."""

from typing import NamedTuple

LOWEST_PRIORITY = 9


class Flow(NamedTuple):
    """Requests that share one part of a full instance."""

    caller: str
    priority: int


class Arrival(NamedTuple):
    """A request before admission; ``unit`` is empty for a plain service.

    ``share`` weighs the caller against others; each step of ``priority`` towards
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
        """The part of a full instance that the flow is entitled to, against others."""
        return float(self.share << (LOWEST_PRIORITY - self.priority))
