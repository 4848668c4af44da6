"""Attainment and refusals at the capacity of the engines and at twice that.

Real processes: two failure domains, each with two instances before one engine. The
capacity is measured first, by a closed loop that keeps the slots busy; then
seeded Poisson arrivals at that rate and at twice that rate, in one run.
"""

import json
import random
import tempfile
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from itertools import cycle
from pathlib import Path
from typing import Any, NamedTuple

import numpy as np
import typer
import urllib3
from redwingscale_common.utils.digests import sha256_hex
from redwingscale_standins.launcher.client import Client, demo_token
from redwingscale_standins.launcher.deployment import Deployment, Speed
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, Shape

from benchmarks.lib.points import write_points

SLOTS = 16
ENGINES = 2
TOKENS = 20
TOKEN_GAP_SECONDS = 0.01
DEADLINE_SECONDS = 1.5
WARM_UP_SECONDS = 3.0
SENDERS = 400
CLOSED_LOOP = SLOTS * ENGINES * 3 // 2
MODEL = "bench"
INSTANCES = ("bench-a1", "bench-b1", "bench-a2", "bench-b2")
TEXT = json.dumps(
    {
        "deployment": "bench",
        "callers": {"bench": {"token_sha256": sha256_hex(demo_token("bench").encode())}},
        "models": {MODEL: {"serving": "v1", "versions": {"v1": {"size_bytes": GIGABYTE}}}},
        "services": {
            "bench": {"kind": "model", "callers": ["bench"], "depends_on": [{"model": MODEL}]}
        },
        "weight_store": {"loads_per_second": 100, "concurrent_loads": 100},
    }
)
SHAPE = Shape(
    name="bench",
    region="bench",
    instances_by_id={name: name[-2] for name in INSTANCES},
    engines=tuple(
        EngineShape(f"engine-{number}", domain, "alder", 1, 4 * GIGABYTE)
        for number, domain in enumerate("ab")
    ),
    plain=(),
    full_speed_loads=100,
)


class Result(NamedTuple):
    """One request: when it was due, how it ended, and how long that took in seconds."""

    due_at: float
    status: int
    whole: bool
    seconds: float


class Caller:
    """Sends completions to the instances in turn."""

    def __init__(self, client: Client) -> None:
        self._client = client

    def send(self, instance: str, due_at: float) -> Result:
        """Ask for one streamed answer and read it whole."""
        began_at = time.monotonic()
        status, whole = 0, False
        try:
            answer = self._client.complete(
                instance,
                "bench",
                MODEL,
                f"lot {due_at}",
                TOKENS,
                **{"X-Deadline-Seconds": str(DEADLINE_SECONDS)},
            )
            status, whole = answer.status, answer.text is not None
        except urllib3.exceptions.HTTPError:
            pass
        return Result(due_at, status, whole, time.monotonic() - began_at)


def main(seconds: float = 20.0, seed: int = 1) -> None:
    """Measure and write ``results/admission.json``."""
    with tempfile.TemporaryDirectory() as directory:
        speed = Speed(token_gap_seconds=TOKEN_GAP_SECONDS, slots=SLOTS)
        deployment = Deployment(SHAPE, Path(directory), speed)
        deployment.start()
        try:
            points = measure(Client(deployment), seconds, random.Random(seed))
        finally:
            deployment.stop()
    parameters = {
        "slots": SLOTS * ENGINES,
        "tokens": TOKENS,
        "token_gap_seconds": TOKEN_GAP_SECONDS,
        "deadline_seconds": DEADLINE_SECONDS,
        "seconds": seconds,
        "seed": seed,
    }
    write_points("admission", parameters, points)


def measure(client: Client, seconds: float, rng: random.Random) -> list[dict[str, Any]]:
    """Return a point for the capacity and one for each rate."""
    client.apply(INSTANCES[0], TEXT)
    for instance in INSTANCES:
        client.wait_for(lambda i=instance: _replicas(client, i) == ENGINES, "all replicas")
    caller = Caller(client)
    capacity = closed_loop(caller, seconds / 2)
    points: list[dict[str, Any]] = [{"arm": "closed loop", "served_per_second": capacity}]
    for factor in (1, 2):
        time.sleep(2.0)
        results = open_loop(caller, factor * capacity, seconds, rng)
        points.append({"arm": f"{factor} x capacity"} | figures(results, seconds))
    points[-1]["attainment_of_that_at_capacity"] = round(
        points[-1]["in_time_per_second"] / points[-2]["in_time_per_second"], 3
    )
    return points


def closed_loop(caller: Caller, seconds: float) -> float:
    """Keep half as many requests again as there are slots; return the served a second.

    With just one for each slot some slots idle while others have a queue.
    """
    end_at = time.monotonic() + seconds

    def work(number: int) -> int:
        served = 0
        while time.monotonic() < end_at:
            served += caller.send(INSTANCES[number % len(INSTANCES)], float(served)).whole
        return served

    with ThreadPoolExecutor(CLOSED_LOOP) as pool:
        return round(sum(pool.map(work, range(CLOSED_LOOP))) / seconds, 1)


def open_loop(caller: Caller, rate: float, seconds: float, rng: random.Random) -> list[Result]:
    """Send at Poisson times whatever becomes of the answers."""
    began_at = time.monotonic()
    due, pending = 0.0, []
    with ThreadPoolExecutor(SENDERS) as pool:
        for instance in cycle(INSTANCES):
            due += rng.expovariate(rate)
            if due > seconds + WARM_UP_SECONDS:
                break
            time.sleep(max(0.0, began_at + due - time.monotonic()))
            pending.append(pool.submit(caller.send, instance, due))
        return [f.result() for f in pending if f.result().due_at > WARM_UP_SECONDS]


def figures(results: list[Result], seconds: float) -> dict[str, Any]:
    """Return what the results come to."""
    in_time = [r for r in results if r.whole and r.seconds <= DEADLINE_SECONDS]
    refused = [r.seconds * 1000 for r in results if r.status in (429, 503)]
    cuts = np.percentile(refused, (50, 95, 99, 100)) if refused else [0.0] * 4
    return {
        "offered_per_second": round(len(results) / seconds, 1),
        "in_time_per_second": round(len(in_time) / seconds, 1),
        "late": sum(r.whole for r in results) - len(in_time),
        "statuses": dict(Counter(str(r.status) for r in results)),
        "refused_after_50_ms": sum(ms > 50 for ms in refused),
        "refused_p50_ms": round(float(cuts[0]), 1),
        "refused_p95_ms": round(float(cuts[1]), 1),
        "refused_p99_ms": round(float(cuts[2]), 1),
        "refused_max_ms": round(float(cuts[3]), 1),
    }


def _replicas(client: Client, instance: str) -> int:
    models = client.operate(instance, "GET", "/models").document
    return max((len(item["engines"]) for item in models.values()), default=0)


if __name__ == "__main__":
    typer.run(main)
