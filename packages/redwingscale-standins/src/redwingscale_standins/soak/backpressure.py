"""Workers that announce in their responses that they are leaving, or when to retry."""

import random
import time
from collections import defaultdict
from collections.abc import Iterator

from redwingscale_standins.soak.ledger import RequestResult
from redwingscale_standins.soak.world import BackpressurePeriod, WorkerHost, World

# From the first response that announces leaving until the list does.
SHORTEST_UNLISTED_SECONDS = 4.0
LONGEST_UNLISTED_SECONDS = 7.0
SHORTEST_REJECTING_SECONDS = 3.0
LONGEST_REJECTING_SECONDS = 8.0
RETRY_SECONDS = (0.8, 1.5, 3.0)
# Bytes delayed on a link arrive when it heals.
UNDISTURBED_SECONDS = 4.0
# An instance stops sending within two seconds of a response; the rest allows for a busy machine.
LEAVING_SECONDS = 3.0
# Requests sent before the rejection may arrive for half a second.
SENT_BEFORE_SECONDS = 0.5
MAX_BEFORE_RETRY = 2


def announce_leaving(world: World, host: WorkerHost, rng: random.Random) -> None:
    """Make a worker announce only in its responses, for some seconds, that it is leaving."""
    begun_at = time.monotonic()
    host.worker.leaving = True
    time.sleep(rng.uniform(SHORTEST_UNLISTED_SECONDS, LONGEST_UNLISTED_SECONDS))
    _add_period(world, host, begun_at, None)


def reject(world: World, host: WorkerHost, rng: random.Random) -> None:
    """Make a worker reject its requests for some seconds."""
    begun_at = time.monotonic()
    retry_seconds = rng.choice(RETRY_SECONDS)
    host.worker.retry_after = retry_seconds
    time.sleep(rng.uniform(SHORTEST_REJECTING_SECONDS, LONGEST_REJECTING_SECONDS))
    host.worker.retry_after = None
    _add_period(world, host, begun_at, retry_seconds)


def _add_period(
    world: World, host: WorkerHost, begun_at: float, retry_seconds: float | None
) -> None:
    undisturbed = world.announced_late_at() < begun_at - UNDISTURBED_SECONDS
    period = BackpressurePeriod(host.worker, begun_at, time.monotonic(), undisturbed, retry_seconds)
    world.backpressure_periods.append(period)


def check_backpressure(world: World) -> None:
    """Add a finding for requests that an instance sent despite earlier backpressure."""
    result_by_request = {result.request: result for result in world.ledger.results}
    for period in world.backpressure_periods:
        if not period.undisturbed:
            continue
        find_violations = _after_leaving if period.retry_seconds is None else _before_retry
        for detail in find_violations(world, period, result_by_request):
            world.ledger.add_finding("notices", f"{period.worker.id} {detail}")


def _after_leaving(
    world: World, period: BackpressurePeriod, result_by_request: dict[str, RequestResult]
) -> Iterator[str]:
    runs = sorted(
        (run.at, result)
        for request, runs in world.ledger.runs.items()
        for run in runs
        if run.worker == period.worker.id and (result := result_by_request.get(request))
    )
    passed_on_at: dict[int, float] = {}
    for at, result in runs:
        if at > period.begun_at and result.status is not None:
            earliest = passed_on_at.get(result.process, float("inf"))
            passed_on_at[result.process] = min(earliest, result.ended_at)
    for at, result in runs:
        late = at - passed_on_at.get(result.process, float("inf"))
        if late > LEAVING_SECONDS:
            yield f"began {result.request} {late:.2f} s after {result.instance} saw it leaving"


def _before_retry(
    world: World, period: BackpressurePeriod, result_by_request: dict[str, RequestResult]
) -> Iterator[str]:
    arrived_at: dict[int, list[float]] = defaultdict(list)
    rejected = [
        (rejection.at, result)
        for rejection in period.worker.rejections
        if period.begun_at <= rejection.at <= period.ended_at
        and (result := result_by_request.get(rejection.request))
    ]
    for at, result in rejected:
        arrived_at[result.process].append(at)
    for at, result in rejected:
        first, last = at + SENT_BEFORE_SECONDS, at + (period.retry_seconds or 0.0)
        count = sum(first < other < last for other in arrived_at[result.process])
        if count > MAX_BEFORE_RETRY:
            yield f"rejected {result.instance} for {period.retry_seconds} s and got {count} calls"
