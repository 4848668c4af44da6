"""Time from an upstream's sign that it leaves to the last new request it gets.

Real processes with the timing of production: four instances in two failure
domains, two engines and two plain upstreams; the platform's list goes on showing
all of them as live. Requests go through all instances all the time.
"""

import json
import statistics
import tempfile
import threading
import time
from itertools import cycle
from pathlib import Path
from typing import Any

import typer
import urllib3
from redwingscale_common.utils.digests import sha256_hex
from redwingscale_standins.launcher.client import Client, demo_token
from redwingscale_standins.launcher.deployment import Deployment, Speed
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, PlainShape, Shape

from benchmarks.lib.points import write_points

INSTANCES = ("bench-a1", "bench-b1", "bench-a2", "bench-b2")
SENDERS = 8
SENDER_PAUSE_SECONDS = 0.02
WATCH_SECONDS = 5.0
LOOK_SECONDS = 0.02
MODEL = "bench"
TEXT = json.dumps(
    {
        "deployment": "bench",
        "callers": {"bench": {"token_sha256": sha256_hex(demo_token("bench").encode())}},
        "models": {MODEL: {"serving": "v1", "versions": {"v1": {"size_bytes": GIGABYTE}}}},
        "services": {
            "text": {"kind": "model", "callers": ["bench"], "depends_on": [{"model": MODEL}]},
            "bids": {"kind": "plain", "callers": ["bench"]},
        },
        "weight_store": {"loads_per_second": 100, "concurrent_loads": 100},
    }
)
SHAPE = Shape(
    name="bench",
    region="bench",
    instances_by_id={name: name[-2] for name in INSTANCES},
    engines=tuple(EngineShape(f"engine-{d}", d, "alder", 1, 4 * GIGABYTE) for d in "ab"),
    plain=tuple(PlainShape(f"bids-{d}", d, "bids") for d in "ab"),
    full_speed_loads=100,
)


class Traffic:
    """Threads that send to all instances until they are stopped."""

    def __init__(self, client: Client) -> None:
        self._client = client
        self._stopped = threading.Event()
        self._threads = [threading.Thread(target=self._run, daemon=True) for _ in range(SENDERS)]

    def __enter__(self) -> "Traffic":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self) -> None:
        for instance in cycle(INSTANCES):
            if self._stopped.wait(SENDER_PAUSE_SECONDS):
                return
            self._client.post(instance, "/services/bids/x", "bench", {})
            self._client.complete(instance, "bench", MODEL, "lot", 2)


def main(trials: int = 8) -> None:
    """Measure and write ``results/leaving.json``."""
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(SHAPE, Path(directory), Speed(token_gap_seconds=0.005))
        deployment.start()
        try:
            client = Client(deployment)
            client.apply(INSTANCES[0], TEXT)
            time.sleep(8.0)
            with Traffic(client):
                points = [
                    measure(deployment, "engine", "engine-a", {"leaving": True}, trials),
                    measure(deployment, "plain", "bids-a", {"phase": "leaving"}, trials),
                ]
        finally:
            deployment.stop()
    write_points("leaving", {"trials": trials, "instances": len(INSTANCES)}, points)


def measure(
    deployment: Deployment, kind: str, member: str, sign: dict[str, Any], trials: int
) -> dict[str, Any]:
    """Return how long new requests went on after each of ``trials`` signs."""
    url = deployment.members_by_id[member].admin_url
    back = {"leaving": False} if kind == "engine" else {"phase": "serving"}
    seconds = []
    for _ in range(trials):
        deployment.set_faults(member, **sign)
        seconds.append(last_new_request(url))
        deployment.set_faults(member, **back)
        time.sleep(4.0)
    return {
        "upstream": kind,
        "seconds": [round(s, 2) for s in seconds],
        "median": round(statistics.median(seconds), 2),
        "max": round(max(seconds), 2),
    }


def last_new_request(url: str) -> float:
    """Return when the count of ``url`` grew last, in seconds from now."""
    began_at = time.monotonic()
    known, grew_at = count(url), 0.0
    while (passed := time.monotonic() - began_at) < WATCH_SECONDS:
        current = count(url)
        if current != known:
            known, grew_at = current, passed
        time.sleep(LOOK_SECONDS)
    return grew_at


def count(url: str) -> int:
    """Return how many requests the upstream has started."""
    record = urllib3.request("GET", f"{url}/admin/record").json()
    return int(record["started"]) if isinstance(record, dict) else len(record)


if __name__ == "__main__":
    typer.run(main)
