"""The updates that the instances and the leader send each other."""

import msgspec

from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.rate_limit_messages import PermitEntry, RateLimitEntry
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.workspaces.place_messages import PlaceUse
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry, GrantEntry


class DemandEntry(msgspec.Struct, array_like=True):
    """The demand for a unit at one instance since its previous update.

    ``waiting`` requests have no holder; at least one of them can wait for another
    ``max_wait_seconds``, and none longer. ``overloads`` counts requests whose holders were
    too busy: they were refused for that reason, or had their first event after their
    latency target. Each waiting request counts ``weight`` times, by its urgency.
    ``refused`` counts requests that were refused for want of a holder; at least one of them
    could have waited for ``refused_wait_seconds``, and none longer.
    """

    service: str
    model: str
    adapter: str
    arrivals: int
    waiting: int
    max_wait_seconds: float
    overloads: int = 0
    weight: float = 1.0
    refused: int = 0
    refused_wait_seconds: float = 0.0


class BoundWait(msgspec.Struct, array_like=True):
    """Begun streams that wait for a unit at an upstream of the version ``software``.

    At least one of the ``requests`` can wait for another ``max_wait_seconds``, and none longer.
    """

    service: str
    model: str
    adapter: str
    software: str
    requests: int
    max_wait_seconds: float


class LoadEntry(msgspec.Struct, array_like=True):
    """The open requests at an upstream, and their prompt tokens that it has yet to read.

    ``generating`` requests have received their first event. ``waiting`` prompt tokens are
    those of requests that wait for a place there.
    """

    upstream: str
    requests: int
    prompt_tokens: int
    generating: int = 0
    waiting: int = 0


class FirstEventEntry(msgspec.Struct, array_like=True):
    """A first event that came after ``real_ms``; ``expected_ms`` were expected at speed 1.

    At the time of the request, ``queue_ms`` at speed 1 were ahead of it, and its own prompt
    takes ``own_ms``; the upstream had ``requests`` open. ``priority`` 0 is the most urgent.
    """

    upstream: str
    model: str
    expected_ms: float
    real_ms: float
    own_ms: float = 0.0
    queue_ms: float = 0.0
    requests: int = 0
    priority: int = 0


class ReturnEntry(msgspec.Struct, array_like=True):
    """A refused request that may return in ``seconds``; ``request`` identifies it anywhere.

    The lower its ``rank``, the more urgent it is.
    """

    service: str
    model: str
    adapter: str
    request: str
    seconds: float
    tokens: int
    rank: int = 0

    def delayed(self, seconds: float) -> "ReturnEntry":
        """Return the entry as of ``seconds`` later."""
        return msgspec.structs.replace(self, seconds=self.seconds - seconds)


class UseEntry(msgspec.Struct, array_like=True):
    """One instance's open requests for a unit at an upstream."""

    upstream: str
    model: str
    adapter: str
    requests: int


class ModelRates(msgspec.Struct, array_like=True):
    """The demand for a model and its adapters at one instance, in requests a second.

    ``steady`` and ``recent`` are rates of arrivals, ``overloads`` is a rate of overloads; they
    decay with the half-lives of the `Demand` that they come from. ``peak`` is the highest
    steady rate so far.
    """

    service: str
    model: str
    steady: float
    recent: float
    overloads: float
    peak: float


class UnitRate(msgspec.Struct, array_like=True):
    """The decaying rate of requests for a unit at one instance, in requests a second."""

    service: str
    model: str
    adapter: str
    steady: float


class DemandSnapshot(msgspec.Struct, array_like=True):
    """The demand history of one instance, whose first request came ``seconds`` ago."""

    seconds: float
    models: list[ModelRates]
    units: list[UnitRate]


class OutcomeEntry(msgspec.Struct, array_like=True):
    """The requests that an upstream answered and failed since the instance's previous update."""

    upstream: str
    answered: int
    failed: int


class InstanceUpdate(msgspec.Struct, array_like=True):
    """An update from an instance to the leader.

    ``unreachable`` upstreams have accepted no connection of this instance lately.
    ``demand_snapshot`` is sent once to each new leader, which has received nothing before.
    ``address`` is that of the instance's peer server. ``leaving`` upstreams have announced it
    in their responses, and are not yet marked so in the list. ``rejecting`` upstreams have
    named a time before which the instance must not send them requests. ``first_events``
    were observed and ``returns`` were announced to callers since the previous update.
    ``misdirected`` upstreams have refused a request since then for a unit that they lack.
    ``places`` has the tokens of requests for holders since then, by workspace. ``start``
    identifies the process. ``repeats`` are those that it has sent in the last window beyond
    the part that its own requests allow, by service. At the addresses of the ``replaced``
    upstreams, by id, other processes listen. ``bound_waits`` are those of begun streams.
    ``configuration`` is the version in force at the instance: a leader that has started on an
    older copy of the store learns of a newer one.
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
    first_events: list[FirstEventEntry] = []
    returns: list[ReturnEntry] = []
    misdirected: list[str] = []
    places: list[PlaceUse] = []
    start: str = ""
    repeats: dict[str, int] = {}
    replaced: dict[str, str] = {}
    bound_waits: list[BoundWait] = []
    configuration: int = 0


class ResidencyEntry(msgspec.Struct, array_like=True):
    """The adapters that are resident at an upstream, by resident model."""

    upstream: str
    adapters_by_model: dict[str, list[str]]


class StoreUpdate(msgspec.Struct, array_like=True):
    """What the leader has read from the store, so that the other instances need not.

    ``lease_version`` is that of the newest lease renewal. ``configuration`` is
    the version in force, confirmed ``configuration_age`` seconds ago.
    """

    # The number of ``lease_version``.
    lease_number: int
    upstreams: ListUpdate
    configuration: int
    configuration_age: float
    # The era of ``lease_version``.
    lease_era: int = 0

    @property
    def lease_version(self) -> StoreVersion:
        """The version of the lease's row."""
        return StoreVersion(self.lease_era, self.lease_number)


class LeaderUpdate(msgspec.Struct, array_like=True):
    """An update from the leader to each instance.

    ``residency`` has all upstreams if ``residency_complete``, else only those whose resident
    models or adapters changed in the last second. ``ready_in`` has the seconds left, by unit
    that is being loaded.

    ``loads`` are sums over all instances, from which each instance subtracts its own part:
    one entry per upstream and instance would grow with the square of the deployment.
    ``failure_ratios`` are the fractions of requests that upstreams fail, over all instances.
    Only periodic updates have ``loads``, ``failure_ratios`` and ``grants``.

    ``instances`` is the number of instances seen lately. ``peers`` are the addresses of some
    of them, sent together with the complete residency. ``rate_limits`` are those of all
    upstreams in periodic updates, else of those with new permits. ``leaving`` upstreams have
    announced it to any instance, and are not yet marked so in the list. ``sent_at`` is the
    send time by the leader's monotonic clock.

    ``slowness`` has the time to a first event relative to the expected one, by upstream id
    and by model name; keys that begin with "*" are those of `SlownessView`. For the ``unplanned`` units, requests wait and no load is planned.
    ``returns`` are the refused requests of all instances that are expected to return.
    ``shares`` has the workspaces that are beyond their share of the holders, and the fraction
    of their requests that is within it; None if the update is not periodic.
    ``configuration_difference`` leads to the configuration in ``store`` from the one before,
    compressed; empty where the version is fetched.
    ``starts`` are some of the processes that have just started, by their ``start``, and the
    ``repeats`` of the processes before them. ``replaced`` as from an instance.
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
    slowness: dict[str, float] = {}
    unplanned: list[str] = []
    returns: list[ReturnEntry] = []
    shares: dict[str, float] | None = None
    configuration_difference: bytes = b""
    starts: dict[str, dict[str, int]] = {}
    replaced: dict[str, str] = {}

    def delayed(self, seconds: float) -> "LeaderUpdate":
        """Return the update with ``seconds`` of delay added to its ages; late permits are void."""
        upstreams = msgspec.structs.replace(
            self.store.upstreams, age=self.store.upstreams.age + seconds
        )
        store = msgspec.structs.replace(
            self.store,
            upstreams=upstreams,
            configuration_age=self.store.configuration_age + seconds,
        )
        limits = [entry.delayed(seconds) for entry in self.rate_limits]
        returns = [entry.delayed(seconds) for entry in self.returns]
        return msgspec.structs.replace(self, store=store, rate_limits=limits, returns=returns)
