"""What instances and the order giver tell each other."""

import msgspec

from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.rate_limit_messages import PermitEntry, RateLimitEntry
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry, GrantEntry


class DemandEntry(msgspec.Struct, array_like=True):
    """How much a unit is asked for at one instance since its last message.

    ``waiting`` requests have no holder; the most patient of them can wait for
    ``max_wait_seconds`` more. ``overloads`` had holders that were too busy: they were
    refused for it, or had their first event after their latency target. Each that waits
    counts ``weight`` times, by its urgency.
    """

    service: str
    model: str
    adapter: str
    arrivals: int
    waiting: int
    max_wait_seconds: float
    overloads: int = 0
    weight: float = 1.0


class LoadEntry(msgspec.Struct, array_like=True):
    """One instance's open requests at an upstream, and their prompt tokens not yet read."""

    upstream: str
    requests: int
    prompt_tokens: int


class UseEntry(msgspec.Struct, array_like=True):
    """One instance's open requests for a unit at an upstream."""

    upstream: str
    model: str
    adapter: str
    requests: int


class ModelRates(msgspec.Struct, array_like=True):
    """What one instance has been asked for of a model, adapters included, a second.

    ``steady`` and ``recent`` arrivals and ``overloads`` ones fade with the half-lives of
    the demand that they come from; ``peak`` is the highest steady rate so far.
    """

    service: str
    model: str
    steady: float
    recent: float
    overloads: float
    peak: float


class UnitRate(msgspec.Struct, array_like=True):
    """How often one instance has been asked for a unit, a second, faded."""

    service: str
    model: str
    adapter: str
    steady: float


class DemandSnapshot(msgspec.Struct, array_like=True):
    """What one instance has been asked for; its first request is ``seconds`` old."""

    seconds: float
    models: list[ModelRates]
    units: list[UnitRate]


class OutcomeEntry(msgspec.Struct, array_like=True):
    """How many requests an upstream has answered and failed since the instance's last news."""

    upstream: str
    answered: int
    failed: int


class InstanceUpdate(msgspec.Struct, array_like=True):
    """From each instance to the order giver.

    ``unreachable`` upstreams have taken no connection of this instance lately.
    ``demand_snapshot`` is told once to each order giver, which has heard nothing before. At its
    ``address`` it answers questions of others. ``leaving`` upstreams have said so in their
    answers, and the list does not yet. ``rejecting`` ones have named times before which they
    want nothing from the instance.
    """

    instance: str
    demand: list[DemandEntry]
    loads: list[LoadEntry]
    uses: list[UseEntry]
    unreachable: list[str]
    demand_snapshot: DemandSnapshot | None = None
    outcomes: list[OutcomeEntry] = []
    drawn: list[DrawnEntry] = []
    address: str = ""
    rate_limits: list[RateLimitEntry] = []
    leaving: list[str] = []
    rejecting: list[str] = []


class ResidencyEntry(msgspec.Struct, array_like=True):
    """What an upstream holds: adapters by model."""

    upstream: str
    adapters_by_model: dict[str, list[str]]


class StoreUpdate(msgspec.Struct, array_like=True):
    """What the order giver has read from the store, so that the others need not.

    ``lease_version`` is the row version of its newest renewal. Of the configuration it
    tells the version in force, confirmed ``configuration_age`` seconds ago.
    """

    lease_version: int
    upstreams: ListUpdate
    configuration: int
    configuration_age: float


class LeaderUpdate(msgspec.Struct, array_like=True):
    """From the order giver to each instance.

    ``residency`` tells all upstreams where ``residency_complete``, else those whose holdings have
    changed in the last second; ``ready_in`` gives seconds by unit that is being
    loaded. ``loads`` are the sums over all instances, each of which takes off what it
    has told itself: one entry an upstream for each instance would grow with the
    square of the deployment. They are None in news between the regular ones.
    ``instances`` were heard of lately. ``failure_ratios`` are the parts of their requests that
    upstreams fail over all instances, told with the regular news as ``grants`` are.
    ``peers`` are addresses of some instances, told with all that is held. ``rate_limits``
    are those of upstreams: all in regular news, else those with new permits. ``leaving``
    upstreams have said so to any instance, and the list does not yet. It was sent at
    ``sent_at`` by the giver's monotonic clock.
    """

    leader: str
    fence: int
    residency: list[ResidencyEntry]
    residency_complete: bool
    ready_in: dict[str, float]
    loads: list[LoadEntry] | None
    instances: int
    store: StoreUpdate
    failure_ratios: dict[str, float] = {}
    grants: list[GrantEntry] | None = None
    peers: list[str] = []
    rate_limits: list[PermitEntry] = []
    leaving: list[str] = []
    sent_at: float = 0.0

    def delayed(self, seconds: float) -> "LeaderUpdate":
        """Return the news as they are after ``seconds`` on their way."""
        upstreams = msgspec.structs.replace(
            self.store.upstreams, age=self.store.upstreams.age + seconds
        )
        store = msgspec.structs.replace(
            self.store,
            upstreams=upstreams,
            configuration_age=self.store.configuration_age + seconds,
        )
        limits = [entry.delayed(seconds) for entry in self.rate_limits]
        return msgspec.structs.replace(self, store=store, rate_limits=limits)
