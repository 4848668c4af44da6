"""Fits the slopes of the recorded results and renders ``docs/CAPACITY.md``."""

from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path

import typer

from benchmarks.lib.design_size import BUDGET, DESIGN
from benchmarks.lib.plot import plot_slope
from benchmarks.lib.slope import Fitted, fit_slope, load_run, pick
from benchmarks.lib.slopes import SLOPES_BY_KEY
from benchmarks.lib.sums import (
    WRITES_A_CLAIM,
    Term,
    byte_terms,
    cpu_terms,
    digests_per_second,
    entry_bytes,
    read_terms,
    total,
    write_terms,
)

DOCS = Path(__file__).parents[1] / "docs"
TEMPLATE = Path(__file__).with_name("capacity_page.md")


def main() -> None:
    """Render the page and a plot for each slope."""
    fits = {key: fit_slope(slope) for key, slope in SLOPES_BY_KEY.items()}
    plots = DOCS / "capacity"
    plots.mkdir(exist_ok=True)
    for key, fitted in fits.items():
        plot_slope(fitted, plots / f"{key}.svg")
    page = TEMPLATE.read_text().format(**_values(fits))
    (DOCS / "CAPACITY.md").write_text(page)
    typer.echo(f"{DOCS / 'CAPACITY.md'}: {len(fits)} slopes")


def _values(fits: Mapping[str, Fitted]) -> dict[str, str]:
    cpu, sent = cpu_terms(fits), byte_terms(fits)
    reads, writes = read_terms(fits), write_terms(fits)
    memory = _memory_mb(fits)
    free_writes = max(0.0, BUDGET.writes_per_second - total(writes))
    relay = fits["relay_cpu"].line
    return {
        "slopes": _slope_table(fits),
        "runs": _run_table(),
        "cpu": _term_table(cpu, "% of a core", 3),
        "cpu_verdict": _verdict(total(cpu), BUDGET.cpu_percent, "% of a core"),
        "bytes": _term_table(sent, "B/s", 0),
        "bytes_verdict": _verdict(total(sent), BUDGET.bytes_per_second, "B/s"),
        "memory": f"{memory:.0f}",
        "memory_verdict": _verdict(memory, BUDGET.memory_mb, "MB"),
        "reads": _term_table(reads, "reads/s", 1),
        "reads_verdict": _verdict(total(reads), BUDGET.reads_per_second, "reads/s"),
        "writes": _term_table(writes, "writes/s", 2),
        "writes_verdict": _verdict(total(writes), BUDGET.writes_per_second, "writes/s"),
        "claims": f"{free_writes / WRITES_A_CLAIM:.0f}",
        "directory_mb": f"{pick('request_cost', 'directory_mb', engines=910):.1f}",
        "route_percent": _request_percent(fits["route_cpu"].line.at(DESIGN.engines)),
        "spans_percent": _request_percent(pick("request_cost", "spans_us", engines=910)),
        "owner_percent": f"{fits['owner_cpu'].line.slope * DESIGN.engines_per_node:.2f}",
        "planner_percent": f"{pick('placement_time', 'unchanged_s', models=860) / 2 * 100:.1f}",
        "member_percent": f"{sum(t.value for t in cpu if t.role.startswith('membership')):.2f}",
        "relay_cores": f"{relay.slope * DESIGN.tokens_per_node:.2f}",
        "relay_slope": f"{relay.slope * 1000:.4f}",
        "relay_streams": f"{DESIGN.streams_per_node:.0f}",
        "relay_memory": f"{fits['relay_memory'].line.at(DESIGN.streams_per_node):.0f}",
        "tokens_node": f"{DESIGN.tokens_per_node:,.0f}",
        "requests_node": f"{DESIGN.requests_per_node:.1f}",
        "engines_node": f"{DESIGN.engines_per_node:.2f}",
        "digests": f"{digests_per_second():.0f}",
        "entry_bytes": f"{entry_bytes():.0f}",
        "route_us": f"{fits['route_cpu'].line.at(DESIGN.engines):.0f}",
        "spans_us": f"{pick('request_cost', 'spans_us', engines=910):.0f}",
        "digest_us": f"{fits['digest_cpu'].line.at(DESIGN.engines):.0f}",
        "plan_first": f"{pick('placement_time', 'first_s', models=860):.1f}",
        "plan_tenfold": f"{pick('placement_time', 'tenfold_s', models=860):.2f}",
        "plan_same": f"{pick('placement_time', 'unchanged_s', models=860):.2f}",
        "force_median": f"{pick('configuration_spread', 'seconds_median', instances=60):.2f}",
        "force_worst": f"{pick('configuration_spread', 'seconds_worst', instances=60):.2f}",
        "force_back": f"{pick('configuration_spread', 'instances_that_went_back', instances=60):.0f}",
        "claims_rate": f"{pick('claims', 'claims_per_second', most_in_batch=64, table_ms=5.0):,.0f}",
        "claims_p95": f"{pick('claims', 'claim_p95_ms', most_in_batch=64, table_ms=5.0):.0f}",
        "claims_tx": f"{pick('claims', 'transactions_per_claim', most_in_batch=64, table_ms=5.0):.3f}",
    }


def _memory_mb(fits: Mapping[str, Fitted]) -> float:
    owner = fits["owner_memory"].line
    models = max(0.0, fits["model_memory"].line.slope) * DESIGN.models
    members = max(0.0, fits["member_memory"].line.slope) * DESIGN.nodes
    directory = pick("request_cost", "directory_mb", engines=910)
    return owner.at(DESIGN.engines_per_node) + models + members + directory


def _request_percent(microseconds: float) -> str:
    """Return what so much for each request is at a node's share, in percent of a core."""
    return f"{microseconds * DESIGN.requests_per_node / 1e6 * 100:.2f}"


def _verdict(value: float, budget: float, unit: str) -> str:
    if value <= budget:
        return f"**{value:,.2f} of {budget:,.1f} {unit}: within the budget.**"
    return f"**{value:,.2f} against {budget:,.1f} {unit}: misses the budget {value / budget:.1f} times.**"


def _term_table(terms: Sequence[Term], unit: str, digits: int) -> str:
    rows = [(t.role, t.how, f"{t.value:,.{digits}f}") for t in terms]
    return _table(("part", "how", unit), [*rows, ("sum", "", f"{total(list(terms)):,.{digits}f}")])


def _slope_table(fits: Mapping[str, Fitted]) -> str:
    header = ("slope", "points (x: y)", "base", "slope", "R²", "run")
    return _table(header, [_slope_row(key, fitted) for key, fitted in fits.items()])


def _slope_row(key: str, fitted: Fitted) -> tuple[str, ...]:
    points = ", ".join(f"{x:g}: {y:g}" for x, y in fitted.points)
    line = fitted.line
    return (
        f"[{fitted.slope.name}](capacity/{key}.svg) by {fitted.slope.x} ({fitted.slope.unit})",
        points,
        f"{line.base:.4g}",
        f"{line.slope:.4g}",
        f"{line.r_squared:.2f}",
        fitted.slope.benchmark,
    )


def _run_table() -> str:
    names = sorted({slope.benchmark for slope in SLOPES_BY_KEY.values()} | _OTHER_RUNS)
    runs = [(name, load_run(name)) for name in names]
    return _table(
        ("run", "command", "commit"),
        [(name, f"`{run['command']}`", run["commit"]) for name, run in runs],
    )


_OTHER_RUNS = {"configuration_spread", "claims"}


def _table(header: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


if __name__ == "__main__":
    typer.run(main)
