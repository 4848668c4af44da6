"""Chooses the upstream of an attempt."""

import random
from collections.abc import Collection

from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.models.member import PlainMember
from redwingscale_daemon._internal.upstreams.directory import Directory, EngineView
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

CHOICES = 2


class Router:
    """Prefers the own failure domain and the lower load of two random choices.

    Two choices instead of the best one: instances that all follow the same
    lagging report would herd on one engine.
    """

    def __init__(
        self,
        failure_domain: str,
        directory: Directory,
        members: Members,
        in_flight: InFlight,
        rng: random.Random,
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._members = members
        self._in_flight = in_flight
        self._rng = rng

    def choose_engine(self, unit: str, excluded: Collection[str]) -> EngineView | None:
        """Return an engine where ``unit`` is resident, None when there is none."""
        candidates = [
            view
            for view in self._directory.engines_with(unit)
            if not view.leaving and view.member.id not in excluded
        ]
        near = [v for v in candidates if v.member.failure_domain == self._failure_domain]
        pool = near or candidates
        if not pool:
            return None
        return min(self._rng.sample(pool, min(CHOICES, len(pool))), key=self._load)

    def choose_plain(self, service: str, excluded: Collection[str]) -> PlainMember | None:
        """Return an upstream of plain ``service``, None when there is none."""
        candidates = [
            m for m in self._members.plain(service) if not m.leaving and m.id not in excluded
        ]
        near = [m for m in candidates if m.failure_domain == self._failure_domain]
        pool = near or candidates
        return self._rng.choice(pool) if pool else None

    def _load(self, view: EngineView) -> float:
        digest = view.digest
        reported = (digest.running + digest.waiting) / max(1, digest.slots) if digest else 0.0
        return reported + self._in_flight.count(view.member.id)
