"""Chooses the upstream for each attempt."""

import itertools
import random
import time
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple, assert_never

from redwingscale_common.configuration import Unit
from redwingscale_common.utils.digests import rendezvous_order

from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.models.member import PlainMember
from redwingscale_daemon._internal.routing.freshness import Freshness
from redwingscale_daemon._internal.routing.load_estimate import LoadEstimate
from redwingscale_daemon._internal.routing.policy import (
    LeastInFlight,
    PrefixAffinity,
    RandomChoice,
    RoundRobin,
    RoutingPolicy,
)
from redwingscale_daemon._internal.routing.prefix import block_digests
from redwingscale_daemon._internal.routing.prefix_index import PrefixIndex
from redwingscale_daemon._internal.routing.route import Route
from redwingscale_daemon._internal.upstreams.directory import Directory, EngineView
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

CHOICES = 2


class ModelHooks(NamedTuple):
    """Functions of a model's name: its versions in the configuration, and a count of requests."""

    listed_versions: Callable[[str], Iterable[str]]
    note_arrival: Callable[[str], None]


NO_HOOKS = ModelHooks(lambda model: (), lambda model: None)


class Router:
    """Routes by its policy among the engines where a unit is ready.

    Engines that are leaving or stale are never chosen. The cost of a request grows with
    the replicas of its model, not with the engines of the deployment.
    """

    def __init__(
        self,
        failure_domain: str,
        directory: Directory,
        members: Members,
        in_flight: InFlight,
        rng: random.Random,
        *,
        policy: RoutingPolicy | None = None,
        index: PrefixIndex | None = None,
        hooks: ModelHooks = NO_HOOKS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._members = members
        self._in_flight = in_flight
        self._rng = rng
        self._policy = policy or PrefixAffinity()
        self._index = index or PrefixIndex()
        self._hooks = hooks
        self._clock = clock
        self._load = LoadEstimate(in_flight)
        self._freshness = Freshness(directory.engines, clock)
        self._turns = itertools.count()

    def route(self, unit: Unit, prompt: str, excluded: Collection[str] = ()) -> Route | None:
        """Return the route of an attempt at ``unit``; None if no engine is available.

        While no engine is ready for the version of ``unit``, any other listed version of
        the model is used, so that callers are served during a change of version.
        """
        others = (v for v in self._hooks.listed_versions(unit.model) if v != unit.version)
        for version in (unit.version, *others):
            candidate = unit._replace(version=version)
            view = self._choose(str(candidate), prompt, excluded)
            if view is not None:
                return Route(view, candidate)
        return None

    def note_arrival(self, model: str) -> None:
        """Count a request for ``model`` as demand, including requests refused later."""
        self._hooks.note_arrival(model)

    def choose_engine(self, unit: str, excluded: Collection[str]) -> EngineView | None:
        """Return an engine where exactly ``unit`` is ready; None if there is none."""
        return self._choose(unit, "", excluded)

    def choose_plain(self, service: str, excluded: Collection[str]) -> PlainMember | None:
        """Return an upstream of the plain ``service``; None if there is none."""
        candidates = [
            m for m in self._members.plain(service) if not m.leaving and m.id not in excluded
        ]
        near = [m for m in candidates if m.failure_domain == self._failure_domain]
        pool = near or candidates
        if not pool:
            return None
        two = self._rng.sample(pool, min(CHOICES, len(pool)))
        return min(two, key=lambda m: self._in_flight.count(m.id))

    def _choose(self, unit: str, prompt: str, excluded: Collection[str]) -> EngineView | None:
        candidates = [
            view
            for view in self._directory.engines_with(unit)
            if not view.leaving
            and view.member.id not in excluded
            and not self._freshness.is_stale(view)
        ]
        if not candidates:
            return None
        return self._choose_by_policy(candidates, unit, prompt)

    def _choose_by_policy(self, candidates: list[EngineView], unit: str, prompt: str) -> EngineView:
        match self._policy:
            case RoundRobin():
                return candidates[next(self._turns) % len(candidates)]
            case RandomChoice():
                return self._rng.choice(candidates)
            case LeastInFlight():
                return min(candidates, key=lambda v: self._in_flight.count(v.member.id))
            case PrefixAffinity() as policy:
                return self._choose_by_affinity(policy, candidates, block_digests(unit, prompt))
            case _:
                assert_never(self._policy)

    def _choose_by_affinity(
        self, policy: PrefixAffinity, candidates: list[EngineView], digests: Sequence[str]
    ) -> EngineView:
        loads = self._load.loads(candidates)
        pool = self._prefer_nearby(policy, candidates, loads)
        least = min(loads[v.member.id] for v in pool)
        lightly_loaded = [v for v in pool if loads[v.member.id] <= least + policy.affinity_slack]
        best = _with_longest_prefix(lightly_loaded, self._index.matches(digests)) or _home_engines(
            lightly_loaded, pool, digests
        )
        if not best:
            best = [v for v in pool if loads[v.member.id] <= least + policy.best_slack]
        two = self._rng.sample(best, min(CHOICES, len(best)))
        view = min(two, key=lambda v: loads[v.member.id])
        self._index.add(view.member.id, digests, self._clock())
        return view

    def _prefer_nearby(
        self, policy: PrefixAffinity, candidates: list[EngineView], loads: dict[str, float]
    ) -> list[EngineView]:
        """Return the engines of the own failure domain, or all if those are much busier."""
        near = [v for v in candidates if v.member.failure_domain == self._failure_domain]
        most = min(loads.values()) + policy.near_slack
        return near if near and min(loads[v.member.id] for v in near) <= most else candidates


def _with_longest_prefix(
    lightly_loaded: list[EngineView], blocks: dict[str, int]
) -> list[EngineView]:
    """Return the engines that have the longest part of the prefix cached."""
    longest = max((blocks.get(v.member.id, 0) for v in lightly_loaded), default=0)
    return [v for v in lightly_loaded if longest and blocks.get(v.member.id, 0) == longest]


def _home_engines(
    lightly_loaded: list[EngineView], pool: list[EngineView], digests: Sequence[str]
) -> list[EngineView]:
    """Return the engines that a prefix new to this instance is assigned to.

    All instances compute the same two engines without communication, so a prefix is
    cached twice in a failure domain and not once per instance.
    """
    if not digests:
        return []
    homes = rendezvous_order(digests[0], (v.member.id for v in pool))[:CHOICES]
    return [v for v in lightly_loaded if v.member.id in homes]
