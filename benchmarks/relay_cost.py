"""Processor time of one instance per 1,000 tokens relayed, over real processes.

Run as ``python benchmarks/relay_cost.py [STREAMS] [TOKENS]``; one JSON line comes out.
The instance's user and system time come from ``/proc/PID/stat``.
"""

import json
import os
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from redwingscale_standins.launcher.client import Client
from redwingscale_standins.launcher.deployment import Deployment, Speed
from redwingscale_standins.launcher.shape import GIGABYTE, EngineShape, Shape

UNIT = "listing-vetter@v1"
SPEED = Speed(weights_bytes_per_second=400e9, token_gap_seconds=0.02, report_lag_seconds=0.1)
SHAPE = Shape(
    name="cost",
    region="aegean",
    instances_by_id={"cost-a1": "a"},
    engines=tuple(
        EngineShape(f"cost-engine-{n}", "a", vendor, 2, 1000 * GIGABYTE)
        for n, vendor in enumerate(("alder", "birch", "alder", "birch"))
    ),
    plain=(),
    full_speed_loads=7,
)


def processor_seconds(pid: int) -> float:
    """Return user and system time that process ``pid`` has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def main(streams: int = 60, tokens: int = 300) -> None:
    """Measure ``streams`` at once of ``tokens`` each."""
    text = (Path(__file__).parents[1] / "examples" / "izmir.json").read_text()
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(SHAPE, Path(directory), SPEED)
        deployment.start()
        try:
            _measure(deployment, text, streams, tokens)
        finally:
            deployment.stop()


def _measure(deployment: Deployment, text: str, streams: int, tokens: int) -> None:
    client = Client(deployment)
    client.apply("cost-a1", text)
    client.wait_until_resident("cost-a1", {UNIT})
    pid = deployment.members_by_id["cost-a1"].process.pid

    def ask(number: int) -> bool:
        answer = client.complete("cost-a1", "clerks", "listing-vetter", f"lot {number}", tokens)
        return answer.text is not None

    time.sleep(3.0)
    idle_before = processor_seconds(pid)
    time.sleep(3.0)
    idle = (processor_seconds(pid) - idle_before) / 3.0
    started, before = time.monotonic(), processor_seconds(pid)
    with ThreadPoolExecutor(streams) as pool:
        whole = sum(pool.map(ask, range(streams)))
    seconds = time.monotonic() - started
    used = processor_seconds(pid) - before - idle * seconds
    print(
        json.dumps(
            {
                "streams": streams,
                "whole": whole,
                "tokens_per_second": round(streams * tokens / seconds),
                "processor_seconds_per_1000_tokens": round(used / (streams * tokens / 1000), 4),
            }
        )
    )


if __name__ == "__main__":
    main(*(int(argument) for argument in sys.argv[1:]))
