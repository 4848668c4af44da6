"""Summarizes the results of a load run; percentiles come from HDR histograms."""

from collections import Counter
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from redwingscale_cli._internal.models.load_result import LoadReport, Percentiles
from redwingscale_cli._internal.operations.load_run import LoadRun

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1000


def build_report(run: LoadRun) -> LoadReport:
    """Return the summary of ``run``."""
    results = run.results
    complete = [r for r in results if r.outcome == "whole"]
    refused = [r for r in results if r.outcome not in ("whole", "cut")]
    tokens = sum(len(r.gaps_seconds) + bool(r.first_token_seconds) for r in results)
    return LoadReport(
        requests=len(results),
        attainment=sum(r.in_time for r in results) / max(1, len(results)),
        count_by_outcome=dict(Counter(r.outcome for r in results)),
        tokens=tokens,
        tokens_per_second=round(tokens / max(run.seconds, 1e-9), 1),
        first_token_ms=_percentiles(r.first_token_seconds for r in complete),
        token_gap_ms=_percentiles(gap for r in complete for gap in r.gaps_seconds),
        refusal_ms=_percentiles(r.total_seconds for r in refused),
    )


def _percentiles(seconds: Iterable[float]) -> Percentiles:
    histogram = HdrHistogram(MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
    for value in seconds:
        histogram.record_value(max(MIN_MICROSECONDS, int(value * MICROSECONDS_PER_SECOND)))
    points = [histogram.get_value_at_percentile(p) for p in (50.0, 95.0, 99.0, 100.0)]
    return Percentiles(*(point / MICROSECONDS_PER_MILLISECOND for point in points))
