"""Arrivals and report of the load tool."""

import itertools

from redwingscale_cli._internal.models.load_plan import LoadPlan
from redwingscale_cli._internal.models.load_result import RequestResult
from redwingscale_cli._internal.operations.load_arrivals import generate_arrivals
from redwingscale_cli._internal.operations.load_report import build_report
from redwingscale_cli._internal.operations.load_run import LoadRun

PLAN = LoadPlan(("u1", "u2"), "token", ("m1", "m2"), 50.0, 2.0, 8, 1.0, seed=7)


def test_arrivals_are_seeded_ordered_and_finite():
    first, second = list(generate_arrivals(PLAN)), list(generate_arrivals(PLAN))

    assert first == second
    assert all(a.at_seconds <= b.at_seconds for a, b in itertools.pairwise(first))
    assert 60 < len(first) < 150


def test_attainment_counts_only_complete_responses_within_the_deadline():
    results = [
        RequestResult("whole", 0.1, (0.01, 0.02), 0.2, True),
        RequestResult("whole", 0.1, (0.01,), 2.0, False),
        RequestResult("cut", 0.0, (), 0.5, False),
        RequestResult("overloaded", 0.0, (), 0.003, False),
    ]

    report = build_report(LoadRun(results, 2.0))

    assert report.attainment == 0.25
    assert report.count_by_outcome == {"whole": 2, "cut": 1, "overloaded": 1}
    assert report.tokens == 5
    assert report.refusal_ms.p50 == 3.001
