"""Cost of relaying: an instance beside a bare relay and the engines themselves.

Three arms in one run, at 30, 100 and 300 streams: gaps between tokens,
processor time for 1,000 tokens, and memory.
"""

import itertools
import json
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple

import typer
from redwingscale_common.utils.digests import sha256_hex
from redwingscale_standins.launcher.client import Client, demo_token
from redwingscale_standins.launcher.deployment import Deployment, Speed
from redwingscale_standins.launcher.process import ChildProcess
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, Shape

from benchmarks.lib.points import write_points
from benchmarks.lib.streams import StreamTimes, Target, open_streams
from benchmarks.lib.usage import usage_of

ENGINES = 4
# At the size to design for a request has 357 tokens on average.
TOKENS = 180
TOKEN_GAP_SECONDS = 0.068
INSTANCE = "bench-a1"
MODELS = tuple(f"bench-{number}" for number in range(ENGINES))
# An engine has room for one model, so that the streams spread over all engines.
MODEL_BYTES = GIGABYTE
ENGINE_BYTES = 3 * GIGABYTE // 2
TEXT = json.dumps(
    {
        "deployment": "bench",
        "callers": {"bench": {"token_sha256": sha256_hex(demo_token("bench").encode())}},
        "models": {
            model: {"serving": "v1", "versions": {"v1": {"size_bytes": MODEL_BYTES}}}
            for model in MODELS
        },
        "services": {
            "bench": {
                "kind": "model",
                "callers": ["bench"],
                "depends_on": [{"model": model} for model in MODELS],
            }
        },
        "weight_store": {"loads_per_second": 100, "concurrent_loads": 100},
    }
)


class Arm(NamedTuple):
    """One way to the engines, and the process whose cost counts."""

    name: str
    targets: list[Target]
    pid: int | None


def main(streams: str = "30,100,300") -> None:
    """Measure all arms and write ``results/relay_cost.json``."""
    with tempfile.TemporaryDirectory() as directory, _running(Path(directory)) as arms:
        points = [_measure(arm, int(count)) for count in streams.split(",") for arm in arms]
    write_points("relay_cost", {"tokens": TOKENS, "gap_ms": TOKEN_GAP_SECONDS * 1000}, points)


@contextmanager
def _running(directory: Path) -> Iterator[list[Arm]]:
    engines = tuple(
        EngineShape(f"engine-{n}", "a", "alder", 1, ENGINE_BYTES) for n in range(ENGINES)
    )
    shape = Shape("bench", "r", {INSTANCE: "a"}, engines, (), 10)
    settings = {"limits": {"request_threads": 440, "queue_length": 512}}
    speed = Speed(token_gap_seconds=TOKEN_GAP_SECONDS, slots=128, batch_slowdown=0.0)
    deployment = Deployment(shape, directory, speed, settings=settings)
    bare: ChildProcess | None = None
    try:
        deployment.start()
        by_unit = _prepare(deployment)
        urls = [deployment.members_by_id[e].urls_by_name["url"] for e in by_unit.values()]
        bare = ChildProcess("bare", "benchmarks.bare_relay", [",".join(urls)], directory / "logs")
        bare_url = f"http://127.0.0.1:{bare.read_ready_line()['port']}"
        yield _arms(deployment, by_unit, bare_url, bare.pid)
    finally:
        if bare is not None:
            bare.kill()
        deployment.stop()


def _prepare(deployment: Deployment) -> dict[str, str]:
    """Return the engine of each model, once every model is resident."""
    client = Client(deployment)
    client.apply(INSTANCE, TEXT)
    client.wait_until_resident(INSTANCE, {f"{model}@v1" for model in MODELS})
    models = client.operate(INSTANCE, "GET", "/models").document
    return {unit: item["engines"][0] for unit, item in models.items()}


def _arms(
    deployment: Deployment, engines_by_unit: dict[str, str], bare_url: str, bare_pid: int
) -> list[Arm]:
    members = deployment.members_by_id
    callers_url = members[INSTANCE].urls_by_name["callers_url"] + "/v1/completions"
    token = {"Authorization": f"Bearer {demo_token('bench')}"}
    urls = {unit: members[engine].urls_by_name["url"] for unit, engine in engines_by_unit.items()}
    direct = [Target(f"{url}/v1/generate", {}, _engine_body(unit)) for unit, url in urls.items()]
    bare = [
        Target(f"{bare_url}/{number}/v1/generate", {}, _engine_body(unit))
        for number, unit in enumerate(urls)
    ]
    callers = [Target(callers_url, token, _caller_body(model)) for model in MODELS]
    return [
        Arm("direct", direct, None),
        Arm("bare relay", bare, bare_pid),
        Arm("instance", callers, members[INSTANCE].process.pid),
    ]


def _engine_body(unit: str) -> Callable[[str], dict[str, object]]:
    return lambda attempt: {
        "request": attempt,
        "model": unit,
        "prompt": attempt,
        "max_tokens": TOKENS,
    }


def _caller_body(model: str) -> Callable[[str], dict[str, object]]:
    return lambda prompt: {"model": model, "prompt": prompt, "max_tokens": TOKENS, "stream": True}


def _measure(arm: Arm, count: int) -> dict[str, Any]:
    before = usage_of(arm.pid) if arm.pid else None
    streams = open_streams(arm.targets, count)
    after = usage_of(arm.pid) if arm.pid else None
    point: dict[str, Any] = {"arm": arm.name, "streams": count} | _gaps(streams)
    if before is not None and after is not None:
        relayed = count * TOKENS / 1000
        cost = (after.cpu_seconds - before.cpu_seconds) / relayed
        point |= {
            "tokens_relayed": count * TOKENS,
            "cpu_seconds": round(after.cpu_seconds - before.cpu_seconds, 3),
        }
        point |= {"cpu_s_per_1000_tokens": round(cost, 4), "memory_mb": round(after.memory_mb, 1)}
    return point


def _gaps(streams: list[StreamTimes]) -> dict[str, Any]:
    gaps = sorted((b - a) * 1000 for s in streams for a, b in itertools.pairwise(s.times[:TOKENS]))
    whole = sum(s.whole and len(s.times) >= TOKENS for s in streams)
    ranks = {name: gaps[int(len(gaps) * q)] for name, q in _QUANTILES.items()}
    return {"whole": whole} | {f"gap_{k}_ms": round(v, 2) for k, v in ranks.items()}


_QUANTILES = {"p50": 0.5, "p95": 0.95, "p99": 0.99}

if __name__ == "__main__":
    typer.run(main)
