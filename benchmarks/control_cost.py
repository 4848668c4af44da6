"""What an idle deployment costs: processor time, memory, the platform's work.

Real instances and engine stand-ins with the default timing; each point is one
deployment that runs quietly for some seconds after everything is resident.
"""

import json
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import typer
import urllib3
from redwingscale_common.utils.digests import sha256_hex
from redwingscale_standins.launcher.client import Client, demo_token
from redwingscale_standins.launcher.deployment import Deployment, Speed
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, Shape

from benchmarks.lib.points import write_points
from benchmarks.lib.usage import usage_of

SETTLE_SECONDS = 6.0
MODEL_BYTES = GIGABYTE
ENGINE_BYTES = 10 * GIGABYTE
FAST = Speed(weights_bytes_per_second=400e9)
SIZES = "1x1x4,1x4x4,1x8x4,2x4x4,4x4x4,6x4x4,1x4x16,1x4x32"


class Size(NamedTuple):
    """Instances, engines and listed models of one point, all in one failure domain."""

    instances: int
    engines: int
    models: int


class Counts(NamedTuple):
    """What the platform has served so far."""

    reads: int
    writes: int


def main(sizes: str = SIZES, quiet_seconds: float = 15.0) -> None:
    """Measure each size and write ``results/control_cost.json``."""
    points = []
    for text in sizes.split(","):
        instances, engines, models = (int(part) for part in text.split("x"))
        points.append(_measure(Size(instances, engines, models), quiet_seconds))
    write_points("control_cost", {"quiet_seconds": quiet_seconds}, points)


def _measure(size: Size, quiet_seconds: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(_shape(size), Path(directory), FAST)
        try:
            deployment.start()
            _settle(deployment, size)
            return _observe(deployment, size, quiet_seconds)
        finally:
            deployment.stop()


def _shape(size: Size) -> Shape:
    engines = tuple(
        EngineShape(f"engine-{n}", "a", "alder" if n % 2 else "birch", 4, ENGINE_BYTES)
        for n in range(size.engines)
    )
    instances = {f"instance-{n}": "a" for n in range(size.instances)}
    return Shape("bench", "r", instances, engines, (), 100)


def _settle(deployment: Deployment, size: Size) -> None:
    client = Client(deployment)
    client.apply("instance-0", _text(size))
    client.wait_until_resident("instance-0", {f"model-{n}@v1" for n in range(size.models)})
    time.sleep(SETTLE_SECONDS)


def _text(size: Size) -> str:
    models = [f"model-{n}" for n in range(size.models)]
    version = {"v1": {"size_bytes": MODEL_BYTES}}
    service = {
        "kind": "model",
        "callers": ["bench"],
        "depends_on": [{"model": model} for model in models],
    }
    return json.dumps(
        {
            "deployment": "bench",
            "callers": {"bench": {"token_sha256": sha256_hex(demo_token("bench").encode())}},
            "models": {model: {"serving": "v1", "versions": version} for model in models},
            "services": {"bench": service},
            "weight_store": {"loads_per_second": 100, "concurrent_loads": 100},
        }
    )


def _observe(deployment: Deployment, size: Size, quiet_seconds: float) -> dict[str, Any]:
    members = deployment.members_by_id.values()
    pids = [m.process.pid for m in members if m.kind == "instance"]
    counts_before = _counts(deployment)
    before = [usage_of(pid) for pid in pids]
    time.sleep(quiet_seconds)
    after = [usage_of(pid) for pid in pids]
    counts = _counts(deployment)
    cpu = [b.cpu_seconds - a.cpu_seconds for a, b in zip(before, after, strict=True)]
    return size._asdict() | {
        "cpu_percent_mean": round(sum(cpu) / len(cpu) / quiet_seconds * 100, 3),
        "cpu_percent_most": round(max(cpu) / quiet_seconds * 100, 3),
        "memory_mb_most": round(max(u.memory_mb for u in after), 1),
        "reads_per_second": round((counts.reads - counts_before.reads) / quiet_seconds, 2),
        "writes_per_second": round((counts.writes - counts_before.writes) / quiet_seconds, 2),
    }


def _counts(deployment: Deployment) -> Counts:
    url = f"{deployment.platform_url}/admin/counts"
    value = urllib3.request("GET", url, retries=False).json()
    return Counts(value["reads"], value["writes"])


if __name__ == "__main__":
    typer.run(main)
