"""The form of every benchmark's output: machine, commit, parameters, points."""

import json
import os
import platform
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

RESULTS = Path(__file__).parents[1] / "results"


def write_points(name: str, parameters: Mapping[str, Any], points: Sequence[Any]) -> None:
    """Write ``results/NAME.json`` and print it."""
    value = {
        "benchmark": name,
        "command": " ".join(["python", "-m", f"benchmarks.{name}", *sys.argv[1:]]),
        "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
        "commit": _commit(),
        "parameters": dict(parameters),
        "points": list(points),
    }
    text = json.dumps(value, indent=2)
    RESULTS.mkdir(exist_ok=True)
    (RESULTS / f"{name}.json").write_text(text + "\n")
    print(text)


def _commit() -> str:
    shown = subprocess.run(
        ["git", "describe", "--always", "--dirty"], capture_output=True, text=True, check=False
    )
    return shown.stdout.strip()
