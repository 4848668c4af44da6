"""Cost of routing, admission and the directory against the number of engines.

The real parts in one process, fed with digests as owners tell them; no network.
"""

import random
import resource
import time
from collections.abc import Callable
from typing import Any

import typer
from redwingscale_common.configuration import Unit
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.report import Digest, ResidentUnit
from redwingscale_daemon._internal.routing.router import Router
from redwingscale_daemon._internal.telemetry.tracing import Tracing
from redwingscale_daemon._internal.upstreams.directory import TOPIC, Directory
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

from benchmarks.lib.points import write_points

DOMAINS = "abcdef"
REPLICAS = 2
CALLS = 2000
MICROSECONDS = 1e6
GIGABYTE = 1_000_000_000
SIZES = "47x14,200x220,860x910"


def main(sizes: str = SIZES) -> None:
    """Measure each size (models x engines) and write ``results/request_cost.json``."""
    points = [_measure(*(int(part) for part in size.split("x"))) for size in sizes.split(",")]
    write_points("request_cost", {"calls": CALLS, "replicas": REPLICAS}, points)


def _measure(models: int, engines: int) -> dict[str, Any]:
    rng = random.Random(1)
    before = _memory_mb()
    gossip = GossipState("bench")
    directory = Directory(gossip)
    members = {f"e{n}": _member(n) for n in range(engines)}
    directory.update_members(dict(members))
    digests = _digests(rng, models, engines)
    for digest in digests:
        gossip.publish(TOPIC, digest.upstream, digest)
    after = _memory_mb()
    list_of_members = Members(None)  # type: ignore[arg-type]
    router = Router("a", directory, list_of_members, InFlight(), rng)
    tracing = Tracing("bench", "")
    prompt = "The following lot is to be described for the public register. " * 8
    units = [Unit(f"m{rng.randrange(models)}", "v1") for _ in range(CALLS)]
    return {
        "models": models,
        "engines": engines,
        "route_us": _mean_us(lambda n: router.route(units[n], prompt)),
        "spans_us": _mean_us(lambda n: _spans(tracing)),
        "digest_us": _mean_us(lambda n: _tell(gossip, digests[n % engines], n)),
        "directory_mb": round(after - before, 2),
    }


def _member(number: int) -> EngineMember:
    domain = DOMAINS[number % len(DOMAINS)]
    return EngineMember(f"e{number}", domain, False, "http://127.0.0.1:1", "alder", 4, True, 5.0)


def _digests(rng: random.Random, models: int, engines: int) -> list[Digest]:
    residents: dict[int, list[ResidentUnit]] = {n: [] for n in range(engines)}
    for model in range(models):
        for engine in rng.sample(range(engines), min(engines, REPLICAS)):
            residents[engine].append(ResidentUnit(f"m{model}@v1", GIGABYTE, True))
    return [
        Digest(f"e{n}", 1, False, 160 * GIGABYTE, tuple(units), 3, 0, 32)
        for n, units in residents.items()
    ]


def _tell(gossip: GossipState, digest: Digest, number: int) -> None:
    gossip.publish(TOPIC, digest.upstream, digest._replace(running=number % 32))


def _spans(tracing: Tracing) -> None:
    with (
        tracing.entry_span("request", {}) as span,
        tracing.hop_span("attempt", span, upstream="e1"),
    ):
        span.end()


def _mean_us(call: Callable[[int], object]) -> float:
    started = time.process_time()
    for number in range(CALLS):
        call(number)
    return round((time.process_time() - started) / CALLS * MICROSECONDS, 1)


def _memory_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000


if __name__ == "__main__":
    typer.run(main)
