"""All state about upstreams of an instance, as one value for wiring."""

from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.backpressure_tracker import BackpressureTracker
from redwingscale_daemon._internal.fleet.brittle_upstreams import BrittleUpstreams
from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.first_event_estimates import FirstEventEstimates
from redwingscale_daemon._internal.fleet.health import Health
from redwingscale_daemon._internal.fleet.latency_factors import LatencyFactors
from redwingscale_daemon._internal.fleet.load_tracker import LoadTracker
from redwingscale_daemon._internal.fleet.new_connections import NewConnections
from redwingscale_daemon._internal.fleet.outcomes import Outcomes
from redwingscale_daemon._internal.fleet.own_path import OwnPath
from redwingscale_daemon._internal.fleet.prefix_memory import PrefixMemory
from redwingscale_daemon._internal.fleet.rate_limits import RateLimits
from redwingscale_daemon._internal.fleet.residency import Residency
from redwingscale_daemon._internal.fleet.retry_times import RetryTimes
from redwingscale_daemon._internal.fleet.send_gate import SendGate
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory


class Fleet(NamedTuple):
    """The upstream directory and the state that is kept for each upstream."""

    directory: UpstreamDirectory
    residency: Residency
    changes: Changes
    load_tracker: LoadTracker
    health: Health
    latency_factors: LatencyFactors
    prefixes: PrefixMemory
    outcomes: Outcomes
    rates: RateLimits
    retry_times: RetryTimes
    gate: SendGate
    backpressure: BackpressureTracker
    first_events: FirstEventEstimates
    path: OwnPath
    new_connections: NewConnections


def new_fleet(instance: str = "", instances: Callable[[], int] = lambda: 1) -> Fleet:
    """Return an empty fleet for ``instance`` whose parts drop upstreams that are gone."""
    changes, residency, outcomes = Changes(), Residency(), Outcomes()
    directory = UpstreamDirectory(residency, changes)
    path = OwnPath(lambda: len(directory.all()))
    new_connections = NewConnections()
    load_tracker, health, latency_factors, prefixes = (
        LoadTracker(),
        Health(outcomes, path, new_connections),
        LatencyFactors(),
        PrefixMemory(),
    )
    first_events = FirstEventEstimates(load_tracker)
    rates = RateLimits(instance, instances, directory.lists)
    retry_times = RetryTimes()
    brittle = BrittleUpstreams(instance, directory, load_tracker, instances)
    backpressure = BackpressureTracker(directory, rates, retry_times, brittle)
    by_upstream = (load_tracker, health, latency_factors, prefixes, residency, rates, retry_times)
    for part in (*by_upstream, first_events, path, brittle, new_connections):
        directory.on_gone(part.forget)
    path.on_lost(changes.notify)
    path.on_restored(health.forgive)
    path.on_restored(changes.notify)
    return Fleet(
        directory,
        residency,
        changes,
        load_tracker,
        health,
        latency_factors,
        prefixes,
        outcomes,
        rates,
        retry_times,
        SendGate(rates, retry_times, brittle),
        backpressure,
        first_events,
        path,
        new_connections,
    )
