"""What must hold of all that workers ran and callers were told."""

from collections.abc import Iterator
from itertools import pairwise

from redwingscale_standins.rate_limits.rule import most_allowed, most_in_window
from redwingscale_standins.soak.ledger import Ledger, Run, Told
from redwingscale_standins.soak.world import MOST_AT_ONCE, MOST_PER_SECOND, Place, World

PROMISES = frozenset({408, 421, 429, 503})
# New work reaches a leaving worker for two seconds; the rest is for a busy machine.
LEAVING_SECONDS = 3.0
# An instance that was disturbed knows the list again after three seconds; the rest is
# for a busy machine.
IN_TOUCH_SECONDS = 4.0
# Work ends half a second after its caller has left; a repeat may be under way.
LEFT_SECONDS = 2.0
MOST_AFTER_LEAVING = 3
MOST_CUT = 3
# Of a rate limit all instances have heard after this.
TOLD_SECONDS = 1.0
# The limit counts in windows of this length; a tenth and some requests may go beyond it.
LIMIT_WINDOW_SECONDS = 8.0
OVERSHOOT, SLACK_REQUESTS = 1.1, 15


def check_requests(world: World) -> None:
    """Add a finding for each promise to a caller that was broken."""
    ledger = world.ledger
    known = ledger.probes | {told.request for told in ledger.told}
    for request in ledger.runs.keys() - known:
        if request:
            ledger.finding("unasked", f"{request} was run and never sent")
    after_leaving = 0
    for told in ledger.told:
        runs = ledger.runs.get(told.request, [])
        _check_runs(ledger, told, runs)
        if told.left:
            after_leaving += sum(run.at > told.ended_at + LEFT_SECONDS for run in runs)
    if after_leaving > MOST_AFTER_LEAVING:
        ledger.finding("left", f"{after_leaving} runs began long after their callers had left")


def _check_runs(ledger: Ledger, told: Told, runs: list[Run]) -> None:
    place = f"request {told.request} ({told.kind}) at {told.instance}, status {told.status}"
    workers = [run.worker for run in runs]
    if told.kind == "once" and len(runs) > 1:
        ledger.finding("twice", f"{place} ran at {workers}")
    if told.status in PROMISES and runs and told.kind == "once":
        ledger.finding("refused", f"{place} ran at {workers}")
    for run in runs:
        if told.kind != "stream" and (run.body != told.body or run.path not in told.path):
            ledger.finding("unasked", f"{place}: {run.worker} ran {run.path}")


def check_cuts(world: World, *, planned_only: bool) -> None:
    """Add a finding for requests that ended without an answer and may not have."""
    cut = [
        told
        for told in world.ledger.told
        if told.status is None and not told.left and world.ledger.runs.get(told.request)
    ]
    if planned_only and cut:
        world.ledger.finding("cut", f"by planned work: {[told.request for told in cut]}")


def check_limit(world: World) -> None:
    """Add a finding for a window in which the limited workspace ran too many requests."""
    runs = sorted(
        run.at
        for told in world.ledger.told
        if told.kind == "limited"
        for run in world.ledger.runs.get(told.request, [])[:1]
    )
    in_window = MOST_PER_SECOND * LIMIT_WINDOW_SECONDS + MOST_AT_ONCE
    most = int(in_window * OVERSHOOT + SLACK_REQUESTS)
    for first, last in zip(runs, runs[most:], strict=False):
        if last - first < LIMIT_WINDOW_SECONDS:
            detail = f"more than {most} requests in {last - first:.2f} s"
            world.ledger.finding("limit", detail)
            return


def check_rate_limits(world: World) -> None:
    """Add a finding for each worker that got more than its rate limit allows."""
    for limited in world.limited:
        told_at = limited.named_at + TOLD_SECONDS
        called_at = [at for at in limited.worker.called_at if told_at <= at <= limited.ended_at]
        most = most_in_window(called_at, limited.named_at)
        if limited.calm and most > most_allowed(limited.per_second):
            place = f"{limited.worker.id} took {limited.per_second} a second"
            world.ledger.finding("rate limit", f"{place} and got {most} calls in 4 s")


def check_orders(world: World, quiet_seconds: float) -> None:
    """Add a finding where two holders gave orders by turns, or with a lower number."""
    for orders in world.ledger.orders.values():
        for before, after in pairwise(orders):
            place = f"{after.worker}: {before} then {after}"
            if after.fence < before.fence:
                world.ledger.finding("order givers", place)
            if after.holder != before.holder and after.at - before.at < quiet_seconds:
                world.ledger.finding("order givers", place)


def check_leaving(world: World, left: list[Place], *, planned_only: bool) -> None:
    """Add a finding for each run that a worker began long after it said that it leaves.

    Beside unplanned faults only instances in touch with the store are judged.
    """
    told_by_request = {told.request: told for told in world.ledger.told}
    for place in left:
        for request, run in _runs_of(world, place.worker.id):
            told = told_by_request.get(request)
            in_touch = told is not None and run.at > told.calm_since + IN_TOUCH_SECONDS
            if run.at > place.left_at + LEAVING_SECONDS and (planned_only or in_touch):
                late = run.at - place.left_at
                at = f"{told.instance}, request {request}" if told else request
                detail = f"{place.worker.id} began {run.path} {late:.2f} s late, from {at}"
                world.ledger.finding("leaving", detail)


def _runs_of(world: World, worker: str) -> Iterator[tuple[str, Run]]:
    return (
        (request, run)
        for request, runs in world.ledger.runs.items()
        for run in runs
        if run.worker == worker
    )
