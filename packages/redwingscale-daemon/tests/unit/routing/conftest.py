"""Fixtures: a directory of fake engines, and routers that use it."""

import random
import time
from typing import Any

import pytest
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.models.cache_event import CacheEvent
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.report import Digest, ResidentUnit
from redwingscale_daemon._internal.routing.router import Router
from redwingscale_daemon._internal.upstreams.directory import Directory
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

SLOTS = 16


class Engines:
    """Publishes digests of engines; ``report`` replaces the digest of one."""

    def __init__(self) -> None:
        self.gossip = GossipState("owner")
        self.directory = Directory(self.gossip)
        self._members: dict[str, Any] = {}

    def add(self, engine: str, domain: str, *units: str, leaving: bool = False) -> None:
        member = EngineMember(engine, domain, leaving, "", "alder", 2, True, 5.0)
        self._members[engine] = member
        self.directory.update_members(self._members)
        self.report(engine, *units)

    def report(
        self, engine: str, *units: str, running: int = 0, leaving: bool = False, ready: bool = True
    ) -> None:
        residents = tuple(ResidentUnit(u, 1, ready) for u in units)
        digest = Digest(engine, 1, leaving, 100, residents, running, 0, SLOTS)
        self.gossip.publish("digest", engine, digest)

    def age(self, engine: str, seconds: float) -> None:
        """Make the digest of ``engine`` ``seconds`` old."""
        digest, _ = self.directory._digests[engine]
        self.directory._digests[engine] = (digest, time.monotonic() - seconds)
        self.directory.update_members(self._members)


@pytest.fixture
def engines() -> Engines:
    return Engines()


@pytest.fixture
def make_router(engines: Engines) -> Any:
    def make(domain: str = "a", seed: int = 1, **options: Any) -> Router:
        in_flight = options.pop("in_flight", InFlight())
        members: Any = None
        rng = random.Random(seed)
        return Router(domain, engines.directory, members, in_flight, rng, **options)

    return make


@pytest.fixture
def cache_event() -> Any:
    return lambda sequence, text: CacheEvent(sequence, text[0] == "+", text[1:])
