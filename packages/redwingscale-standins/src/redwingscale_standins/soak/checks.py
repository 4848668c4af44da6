"""Checks of the promises to callers against what workers ran and callers received."""

from collections.abc import Iterator
from itertools import pairwise

from redwingscale_standins.leaving.rule import late_arrivals
from redwingscale_standins.rate_limits.rule import most_allowed, most_in_window
from redwingscale_standins.soak.ledger import Ledger, RequestResult, Run
from redwingscale_standins.soak.stop_answers import worked_until_the_end
from redwingscale_standins.soak.world import MAX_BURST, MAX_PER_SECOND, WorkerHost, World

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# A disturbed instance has the current list after three seconds; the rest allows for a
# busy machine.
IN_TOUCH_SECONDS = 4.0
# Work ends half a second after its caller disconnects; a retry may be in flight.
DISCONNECTED_SECONDS = 2.0
MAX_RUNS_AFTER_DISCONNECT = 3
MOST_CUT = 3
# All instances have received a rate limit after this time.
RATE_LIMIT_APPLIES_SECONDS = 1.0
# The limit applies to windows of this length, with a tolerance of a tenth plus some requests.
LIMIT_WINDOW_SECONDS = 8.0
OVERSHOOT, SLACK_REQUESTS = 1.1, 15


def check_requests(world: World) -> None:
    """Add a finding for each broken promise to a caller."""
    ledger = world.ledger
    results = ledger.results + ledger.late_results
    known = ledger.probes | {result.request for result in results}
    for request in ledger.runs.keys() - known:
        if request:
            ledger.add_finding("unasked", f"{request} was run but never sent")
    after_disconnect = 0
    for result in results:
        runs = ledger.runs.get(result.request, [])
        _check_runs(ledger, result, runs)
        if result.disconnected:
            after_disconnect += sum(run.at > result.ended_at + DISCONNECTED_SECONDS for run in runs)
    if after_disconnect > MAX_RUNS_AFTER_DISCONNECT:
        ledger.add_finding(
            "left", f"{after_disconnect} runs began long after their callers disconnected"
        )


def _check_runs(ledger: Ledger, result: RequestResult, runs: list[Run]) -> None:
    context = (
        f"request {result.request} ({result.kind}) at {result.instance}, status {result.status}"
    )
    workers = [run.worker for run in runs]
    if result.kind == "once" and len(runs) > 1:
        ledger.add_finding("twice", f"{context} ran at {workers}")
    if result.status in NOT_EXECUTED_STATUSES and runs and result.kind == "once":
        ledger.add_finding("refused", f"{context} ran at {workers}")
    for run in runs:
        if result.kind != "stream" and (run.body != result.body or run.path not in result.path):
            ledger.add_finding("unasked", f"{context}: {run.worker} ran {run.path}")


def check_cuts(world: World, *, planned_only: bool) -> None:
    """Add a finding for requests that were run but cut off during planned work."""
    cut = [
        result
        for result in world.ledger.results
        if result.status is None
        and not result.disconnected
        and (runs := world.ledger.runs.get(result.request))
        and not worked_until_the_end(world.ledger, result, runs[-1])
    ]
    if planned_only and cut:
        world.ledger.add_finding("cut", f"by planned work: {[result.request for result in cut]}")


def check_limit(world: World) -> None:
    """Add a finding for a window in which the limited workspace ran too many requests."""
    runs = sorted(
        run.at
        for result in world.ledger.results
        if result.kind == "limited"
        for run in world.ledger.runs.get(result.request, [])[:1]
    )
    in_window = MAX_PER_SECOND * LIMIT_WINDOW_SECONDS + MAX_BURST
    most = int(in_window * OVERSHOOT + SLACK_REQUESTS)
    for first, last in zip(runs, runs[most:], strict=False):
        if last - first < LIMIT_WINDOW_SECONDS:
            detail = f"more than {most} requests in {last - first:.2f} s"
            world.ledger.add_finding("limit", detail)
            return


def check_rate_limits(world: World) -> None:
    """Add a finding for each worker that received more calls than its rate limit allows."""
    for period in world.rate_limit_periods:
        applies_at = period.begun_at + RATE_LIMIT_APPLIES_SECONDS
        called_at = [at for at in period.worker.called_at if applies_at <= at <= period.ended_at]
        most = most_in_window(called_at, period.begun_at)
        if period.undisturbed and most > most_allowed(period.per_second):
            context = f"{period.worker.id} advertised {period.per_second} a second"
            world.ledger.add_finding("rate limit", f"{context} and received {most} calls in 4 s")


def check_orders(world: World, handover_pause_seconds: float) -> None:
    """Add a finding where a fence decreases or two leaders send orders without a pause."""
    for orders in world.ledger.orders.values():
        for before, after in pairwise(orders):
            context = f"{after.worker}: {before} then {after}"
            if after.fence < before.fence:
                world.ledger.add_finding("order givers", context)
            if after.holder != before.holder and after.at - before.at < handover_pause_seconds:
                world.ledger.add_finding("order givers", context)


def check_leaving(world: World, left: list[WorkerHost], *, planned_only: bool) -> None:
    """Add a finding for each run that a worker began long after it was listed as leaving.

    With unplanned faults, only instances in contact with the store are checked.
    """
    result_by_request = {result.request: result for result in world.ledger.results}
    for host in left:
        runs = list(_runs_of(world, host.worker.id))
        for late in late_arrivals(((request, run.at) for request, run in runs), host.left_at):
            result = result_by_request.get(late.request)
            ran_at = host.left_at + late.late_seconds
            in_touch = result is not None and ran_at > result.undisturbed_since + IN_TOUCH_SECONDS
            if planned_only or in_touch:
                at = f"{result.instance}, request {late.request}" if result else late.request
                path = next(run.path for request, run in runs if request == late.request)
                detail = f"{host.worker.id} began {path} {late.late_seconds:.2f} s late, from {at}"
                world.ledger.add_finding("leaving", detail)


def _runs_of(world: World, worker: str) -> Iterator[tuple[str, Run]]:
    return (
        (request, run)
        for request, runs in world.ledger.runs.items()
        for run in runs
        if run.worker == worker
    )
