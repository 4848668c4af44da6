"""How long an engine's models are away when its process is replaced.

An engine is killed and comes back under its id at another address, empty or
full of other models, with the default timing of the instances.
"""

import json
import tempfile
import time
from pathlib import Path
from typing import Any

import typer
from redwingscale_standins.launcher.client import Client
from redwingscale_standins.launcher.deployment import Deployment, Speed
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, Shape

from benchmarks.lib.points import write_points

SPEED = Speed()
MODELS = ("listing-vetter", "notice-drafter", "name-similarity", "trademark-check")
RESIDENTS_BY_CASE = {
    "empty": {},
    "other models": {"stranger@v9": 70 * GIGABYTE, "other@v2": 80 * GIGABYTE},
}
PATIENCE_SECONDS = 60.0


def main(repeats: int = 3) -> None:
    """Measure each vendor and case and write ``results/engine_return.json``."""
    points = [
        _point(vendor, case, [_measure(vendor, case) for _ in range(repeats)])
        for vendor in ("alder", "birch")
        for case in RESIDENTS_BY_CASE
    ]
    write_points("engine_return", {"repeats": repeats, "models": len(MODELS)}, points)


def _point(vendor: str, case: str, back_seconds: list[float]) -> dict[str, Any]:
    load_seconds = _load_seconds(_text())
    return {
        "vendor": vendor,
        "case": case,
        "load_s": round(load_seconds, 2),
        "back_s": [round(seconds, 2) for seconds in back_seconds],
        "slowest_beyond_load_s": round(max(back_seconds) - load_seconds, 2),
    }


def _measure(vendor: str, case: str) -> float:
    """Return the seconds from the new process's listing until all is reachable."""
    engine = EngineShape("e1", "a", vendor, 2, 160 * GIGABYTE)
    shape = Shape("return", "r", {"i1": "a", "i2": "a"}, (engine,), (), 7)
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(shape, Path(directory), SPEED)
        try:
            deployment.start()
            client = Client(deployment)
            client.apply("i1", json.dumps(_text()))
            _wait(client, True)
            deployment.members_by_id["e1"].process.kill()
            _wait(client, False)
            deployment.start_engine(engine, RESIDENTS_BY_CASE[case])
            listed_at = time.monotonic()
            _wait(client, True)
            return time.monotonic() - listed_at
        finally:
            deployment.stop()


def _wait(client: Client, resident: bool) -> None:
    """Wait until both instances route to all models, or to none."""
    units = {f"{model}@v1" for model in MODELS}

    def reached() -> bool:
        routed = [_routed(client, instance) & units for instance in ("i1", "i2")]
        return all(found == (units if resident else set()) for found in routed)

    client.wait_for(reached, f"resident: {resident}", PATIENCE_SECONDS)


def _routed(client: Client, instance: str) -> set[str]:
    models = client.operate(instance, "GET", "/models").document
    return {unit for unit, item in models.items() if item["engines"]}


def _text() -> dict[str, Any]:
    whole = json.loads(Path("examples/izmir.json").read_text())
    service = whole["services"]["listing-vetting"]
    needs = [d for d in service["depends_on"] if d["model"] in MODELS]
    models = {name: whole["models"][name] for name in MODELS}
    services = {"listing-vetting": service | {"depends_on": needs}}
    return whole | {"models": models, "services": services}


def _load_seconds(text: dict[str, Any]) -> float:
    """Return the time of the largest model's load; the loads of an engine run together."""
    sizes = [model["versions"]["v1"]["size_bytes"] for model in text["models"].values()]
    return float(max(sizes) / SPEED.weights_bytes_per_second)


if __name__ == "__main__":
    typer.run(main)
