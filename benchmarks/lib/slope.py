"""One slope of the capacity page: which points it is fitted through."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.lib.fit import Line, fit_line
from benchmarks.lib.points import RESULTS


class Slope(NamedTuple):
    """``y`` over ``x`` of the points of ``benchmark`` where all of ``where`` holds."""

    name: str
    benchmark: str
    x: str
    y: str
    unit: str
    where: dict[str, Any] = {}
    y_scale: float = 1.0


class Fitted(NamedTuple):
    """A slope with its points, its line, and the run that gave them."""

    slope: Slope
    points: list[tuple[float, float]]
    line: Line
    command: str
    commit: str


def fit_slope(slope: Slope) -> Fitted:
    """Return the fitted slope; raise OSError when its benchmark has no result."""
    run = load_run(slope.benchmark)
    chosen = [p for p in run["points"] if _matches(p, slope.where)]
    points = [(float(p[slope.x]), float(p[slope.y]) * slope.y_scale) for p in chosen]
    line = fit_line([x for x, _ in points], [y for _, y in points])
    return Fitted(slope, points, line, run["command"], run["commit"])


def load_run(benchmark: str) -> dict[str, Any]:
    """Return the recorded result of ``benchmark``."""
    run: dict[str, Any] = json.loads((Path(RESULTS) / f"{benchmark}.json").read_text())
    return run


def pick(benchmark: str, field: str, **where: Any) -> float:
    """Return one field of the one point where all of ``where`` holds."""
    found = [p for p in load_run(benchmark)["points"] if _matches(p, where)]
    if len(found) != 1:
        raise LookupError(f"{len(found)} points of {benchmark} for {where}")
    return float(found[0][field])


def _matches(point: Mapping[str, Any], where: Mapping[str, Any]) -> bool:
    return all(point.get(key) == value for key, value in where.items())
