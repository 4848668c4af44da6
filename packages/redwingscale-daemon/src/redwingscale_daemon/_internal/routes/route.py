"""One route of the configuration."""

from typing import NamedTuple

from redwingscale_daemon._internal.routes.idempotency import Idempotency

# Callers disconnect from a stream after a pause of two seconds, four times the latency
# target or eight times the longest pause that is in time, whichever is longest.
MIN_EVENT_WAIT_SECONDS = 2.0
LATENCY_TARGETS_WAITED = 4
LONGEST_GAPS_WAITED = 8


class WeightedService(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rules for requests to ``host`` whose path begins with ``prefix``.

    ``priority`` 0 is the most urgent. ``resumable`` applies to streams: another upstream
    may continue a stream after its last event. ``longest_gap_seconds`` is the longest
    pause between two events that is still in time, 0 for no such limit. Callers of a
    ``public`` route need no key.
    """

    name: str
    host: str
    prefix: str
    idempotency: Idempotency
    time_limit_seconds: float
    latency_target_seconds: float
    priority: int
    services: tuple[WeightedService, ...]
    most_upstreams: int
    resumable: bool
    longest_gap_seconds: float
    public: bool = False

    @property
    def first_event_seconds(self) -> float:
        """How long callers of a stream wait for an event before they disconnect."""
        max_wait = max(
            MIN_EVENT_WAIT_SECONDS,
            self.latency_target_seconds * LATENCY_TARGETS_WAITED,
            self.longest_gap_seconds * LONGEST_GAPS_WAITED,
        )
        return min(max_wait, self.time_limit_seconds)

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        match self.idempotency:
            case Idempotency.IDEMPOTENT:
                return True
            case Idempotency.STREAM:
                return self.resumable
            case _:
                return False
