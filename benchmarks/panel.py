"""Plays a panel of days on users' deployments: ``python -m benchmarks.panel BENCH SITE...``.

One play of a day differs from the next by up to 0.05 of worth, so that a change of
policy is judged by days times seeds: means and standard deviations of the worth, of
its parts and of its prices. The bench writes an entry a play into ``journal/``; the
figures are read from these.
"""

import argparse
import json
import re
import statistics
import subprocess
import time
from collections import defaultdict
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

# A calm day, one with trouble and one of high load: what a site's score is made of.
DAYS = "quiet-1,trouble-2,scale-1"
# Other seeds than the days' own: what is chosen must hold on days not seen.
SEEDS = "101,202,303"
# Prices below this part of the worth are not printed.
LEAST_PRICE = 0.0005
SLOTS = ("quiet", "trouble", "scale")


class Play(NamedTuple):
    """One day with one seed on one deployment."""

    site: Path
    day: str
    seed: int


class Played(NamedTuple):
    """Figures of a play, as the bench's journal has them."""

    play: Play
    worth: float
    served: float
    refused: float
    failed: float
    slot: str
    parts_by_name: dict[str, float]
    prices_by_name: dict[str, float]
    worth_by_class: list[float]
    broken_rules: dict[str, Any]


def main() -> None:
    """Play the panel and print its tables."""
    options = _options()
    plays = [
        Play(site, day, seed)
        for site in options.sites
        for day in options.days.split(",")
        for seed in map(int, options.seeds.split(","))
    ]
    with ThreadPoolExecutor(options.jobs) as pool:
        played = [one for one in pool.map(lambda play: _run(options, play), plays) if one]
    for site in options.sites:
        _print_site(site, [one for one in played if one.play.site == site])
    print(f"{len(played)} of {len(plays)} days played")


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("sites", type=Path, nargs="+")
    parser.add_argument("--days", default=DAYS)
    parser.add_argument("--seeds", default=SEEDS)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--repository", type=Path, default=Path.cwd())
    parser.add_argument("--why", default="panel")
    parser.add_argument("--vary", action="store_true", help="times and figures of a day vary")
    parser.add_argument("--cpu", action="store_true", help="charge processor time")
    parser.add_argument("--small", action="store_true", help="small twins of large days")
    parser.add_argument("--day-seconds", type=float, default=300.0)
    return parser.parse_args()


def _run(options: argparse.Namespace, play: Play) -> Played | None:
    """Play one day; None, with a printed reason, where there is no result."""
    flags = [
        *(["--vary"] if options.vary else []),
        *(["--small"] if options.small else []),
        *([] if options.cpu else ["--no-cpu"]),
    ]
    command = [
        str(options.bench.resolve()),
        "run",
        str(play.site.resolve()),
        play.day,
        "--seed",
        str(play.seed),
        *flags,
        "--why",
        options.why,
    ]
    started = time.time()
    try:
        done = subprocess.run(
            command,
            cwd=options.repository,
            capture_output=True,
            text=True,
            timeout=options.day_seconds,
        )
    except subprocess.TimeoutExpired:
        print(f"{play.day} {play.seed}: no result in {options.day_seconds} s")
        return None
    entry = _entry(options.repository / "journal", play, started)
    if entry is None:
        print(f"{play.day} {play.seed}: no journal entry: {done.stdout[-300:]}{done.stderr[-300:]}")
        return None
    return _played(play, entry)


def _entry(journal: Path, play: Play, since: float) -> dict[str, Any] | None:
    """Return the day's figures from the newest entry of ``play`` that began after ``since``."""
    for path in sorted(journal.glob("*.json"), reverse=True):
        if path.stat().st_mtime < since - 1:
            continue
        entry = json.loads(path.read_text())
        argv = " ".join(map(str, entry.get("argv", [])))
        days = entry.get("days") or []
        seeded = re.search(rf"--seed {play.seed}\b", argv)
        if days and play.site.name in argv and f" {play.day} " in f"{argv} " and seeded:
            return dict(days[0])
    return None


def _played(play: Play, day: dict[str, Any]) -> Played:
    return Played(
        play,
        day["G"],
        day["served"],
        day["refused"],
        day["failed"],
        day["slot"],
        {name: value for name, _, value in day["parts"]},
        {name: value for name, _, value in day["prices"]},
        [value for value in day["by_class"] if value is not None],
        day["rules"],
    )


def _print_site(site: Path, played: list[Played]) -> None:
    print(f"\n{site.stem}: worth {_figure(one.worth for one in played)}")
    by_day: dict[str, list[Played]] = defaultdict(list)
    for one in played:
        by_day[one.play.day].append(one)
    for day, plays in by_day.items():
        print(f"  {day}: {_figure(one.worth for one in plays)}", _shares(plays))
        print("    parts:", _named(one.parts_by_name for one in plays))
        print("    prices:", _named((one.prices_by_name for one in plays), LEAST_PRICE))
        kinds = zip(*(one.worth_by_class for one in plays), strict=False)
        print("    kinds:", " ".join(f"{statistics.mean(kind):.3f}" for kind in kinds))
    rows = " ".join(f"{one.play.day}/{one.play.seed}={one.worth:.3f}" for one in played)
    print(f"  plays: {rows}")
    for one in played:
        if one.broken_rules:
            print(f"  BROKEN {one.play.day} seed {one.play.seed}: {one.broken_rules}")


def _shares(plays: list[Played]) -> str:
    return " ".join(
        f"{name} {statistics.mean(getattr(one, name) for one in plays):.3f}"
        for name in ("served", "refused", "failed")
    )


def _named(tables: Iterable[dict[str, float]], least: float = -1.0) -> str:
    values_by_name: dict[str, list[float]] = defaultdict(list)
    for table in tables:
        for name, value in table.items():
            values_by_name[name].append(value)
    means = {name: statistics.mean(values) for name, values in values_by_name.items()}
    return "; ".join(f"{name} {mean:.4f}" for name, mean in means.items() if mean > least)


def _figure(values: Iterable[float]) -> str:
    known = list(values)
    if not known:
        return "no figure"
    spread = statistics.stdev(known) if len(known) > 1 else 0.0
    return f"{statistics.mean(known):.4f} (standard deviation {spread:.4f}, {len(known)} plays)"


if __name__ == "__main__":
    main()
