"""Compares the routing policy with baselines on the same seeded arrivals, by counts."""

import random
from collections import OrderedDict
from typing import Any, NamedTuple

import pytest
from redwingscale_common.configuration import Unit
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.report import Digest
from redwingscale_daemon._internal.routing.policy import (
    LeastInFlight,
    PrefixAffinity,
    RandomChoice,
    RoundRobin,
)
from redwingscale_daemon._internal.routing.prefix import block_digests
from redwingscale_daemon._internal.routing.router import Router
from redwingscale_daemon._internal.upstreams.directory import EngineView

SLOTS = 16
CACHE_BLOCKS = 240
TICK_SECONDS = 0.05
REPORT_TICKS = 20
TICKS = 1200
ANSWER_TICKS = 20
DEADLINE_TICKS = 50
RATE = 3.0
BLOCKS_A_TICK = 2


class Outcome(NamedTuple):
    on_time: int
    hits: int
    blocks: int


class FakeEngine:
    """An engine with ``SLOTS`` slots and a prefix cache of ``CACHE_BLOCKS`` blocks."""

    def __init__(self, member: EngineMember) -> None:
        self.view = EngineView(member, Digest(member.id, 1, False, 1, (), 0, 0, SLOTS), 0.0)
        self.running: list[tuple[int, int, Any]] = []
        self.waiting: list[tuple[int, list[str], Any]] = []
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.hits = self.blocks = 0

    def admit(self, digests: list[str]) -> int:
        missing = sum(digest not in self.cache for digest in digests)
        self.hits += len(digests) - missing
        self.blocks += len(digests)
        for digest in digests:
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        while len(self.cache) > CACHE_BLOCKS:
            self.cache.popitem(last=False)
        return missing

    def tick(self, now: int) -> int:
        """Start and end requests that are due; return how many ended on time."""
        ended = [r for r in self.running if r[0] <= now]
        self.running = [r for r in self.running if r[0] > now]
        for _, _, span in ended:
            span.__exit__(None, None, None)
        while self.waiting and len(self.running) < SLOTS:
            arrived, digests, span = self.waiting.pop(0)
            ticks = ANSWER_TICKS + self.admit(digests) // BLOCKS_A_TICK
            self.running.append((now + ticks, arrived, span))
        return sum(now - arrived <= DEADLINE_TICKS for _, arrived, _ in ended)


def _run(make_router, policy) -> Outcome:
    """Six routers send bursts of prompts with shared prefixes to eight engines."""
    rng = random.Random(11)
    members = [EngineMember(f"e{n}", "abc"[n % 3], False, "", "", 2, True, 5.0) for n in range(8)]
    engines = {m.id: FakeEngine(m) for m in members}
    now = 0
    views = lambda: {e: engine.view for e, engine in engines.items()}  # noqa: E731
    routers = [
        make_router("abc"[n % 3], n, views, lambda: now * TICK_SECONDS, policy) for n in range(6)
    ]
    prompts = [f"prefix {n:3} " * 140 for n in range(60)]
    on_time = 0
    for now in range(TICKS):
        burst = 2.0 if now // 100 % 3 == 0 else 1.0
        for _ in range(int(rng.expovariate(1 / (RATE * burst)))):
            prompt = prompts[int(len(prompts) * rng.random() ** 2)]
            router, in_flight = rng.choice(routers)
            chosen = router.route(Unit("m", "v1"), prompt).view.member.id
            span = in_flight.track(chosen)
            span.__enter__()
            engines[chosen].waiting.append((now, block_digests("m@v1", prompt), span))
        on_time += sum(engine.tick(now) for engine in engines.values())
        if now % REPORT_TICKS == 0:
            for e in engines.values():
                load = {"running": len(e.running), "waiting": len(e.waiting)}
                digest = e.view.digest._replace(**load)
                e.view = e.view._replace(digest=digest, received_at=now * TICK_SECONDS)
    hits, blocks = (sum(getattr(e, f) for e in engines.values()) for f in ("hits", "blocks"))
    return Outcome(on_time, hits, blocks)


@pytest.fixture
def make_bare_router():
    from redwingscale_daemon._internal.upstreams.in_flight import InFlight

    class Views:
        def __init__(self, views):
            self.engines = views

        def engines_with(self, unit):
            return list(self.engines().values())

    def make(domain, seed, views, clock, policy):
        in_flight = InFlight()
        rng = random.Random(seed)
        options = {"policy": policy, "clock": clock}
        return Router(domain, Views(views), None, in_flight, rng, **options), in_flight

    return make


def test_prefix_affinity_outperforms_the_baselines(make_bare_router):
    """Six instances route by reports that are up to a second old.

    Guards against instances that trust these reports, overload the engine that was idle
    and respond late, and against those that ignore prefixes, so that engines prefill the
    same text again.
    """
    affinity = _run(make_bare_router, PrefixAffinity())
    baselines = [_run(make_bare_router, p) for p in (RoundRobin(), RandomChoice(), LeastInFlight())]

    assert affinity.on_time >= 1.03 * max(o.on_time for o in baselines)
    assert affinity.hits / affinity.blocks >= 1.2 * max(o.hits / o.blocks for o in baselines)
