"""Workers that say in their answers that they leave, or when they may be asked again."""

import random
import time
from collections import defaultdict
from collections.abc import Iterator

from redwingscale_standins.soak.ledger import Told
from redwingscale_standins.soak.world import Noticed, Place, World

# From the first answer that says so until the list does.
SHORTEST_UNLISTED_SECONDS = 4.0
LONGEST_UNLISTED_SECONDS = 7.0
SHORTEST_REJECTING_SECONDS = 3.0
LONGEST_REJECTING_SECONDS = 8.0
RETRY_SECONDS = (0.8, 1.5, 3.0)
# What is held up on a link comes when it heals.
CALM_SECONDS = 4.0
# An instance stops within two seconds of an answer; the rest is for a busy machine.
LEAVING_SECONDS = 3.0
# What was sent before the rejection may arrive for half a second.
SENT_BEFORE_SECONDS = 0.5
MOST_BEFORE_RETRY = 2


def say_leaving(world: World, place: Place, drawn: random.Random) -> None:
    """Let a worker say in its answers alone that it leaves, for some seconds."""
    begun_at = time.monotonic()
    place.worker.leaving = True
    time.sleep(drawn.uniform(SHORTEST_UNLISTED_SECONDS, LONGEST_UNLISTED_SECONDS))
    _note(world, place, begun_at, None)


def reject(world: World, place: Place, drawn: random.Random) -> None:
    """Let a worker reject what it gets, for some seconds."""
    begun_at = time.monotonic()
    retry_seconds = drawn.choice(RETRY_SECONDS)
    place.worker.retry_after = retry_seconds
    time.sleep(drawn.uniform(SHORTEST_REJECTING_SECONDS, LONGEST_REJECTING_SECONDS))
    place.worker.retry_after = None
    _note(world, place, begun_at, retry_seconds)


def _note(world: World, place: Place, begun_at: float, retry_seconds: float | None) -> None:
    calm = world.disturbance.at < begun_at - CALM_SECONDS
    noticed = Noticed(place.worker, begun_at, time.monotonic(), calm, retry_seconds)
    world.noticed.append(noticed)


def check_notices(world: World) -> None:
    """Add a finding for requests that an instance sent against an answer that it had passed on."""
    told_by_request = {told.request: told for told in world.ledger.told}
    for noticed in world.noticed:
        if not noticed.calm:
            continue
        found = _after_leaving if noticed.retry_seconds is None else _before_retry
        for detail in found(world, noticed, told_by_request):
            world.ledger.finding("notices", f"{noticed.worker.id} {detail}")


def _after_leaving(
    world: World, noticed: Noticed, told_by_request: dict[str, Told]
) -> Iterator[str]:
    runs = sorted(
        (run.at, told)
        for request, runs in world.ledger.runs.items()
        for run in runs
        if run.worker == noticed.worker.id and (told := told_by_request.get(request))
    )
    passed_on_at: dict[int, float] = {}
    for at, told in runs:
        if at > noticed.begun_at and told.status is not None:
            known = passed_on_at.get(told.process, float("inf"))
            passed_on_at[told.process] = min(known, told.ended_at)
    for at, told in runs:
        late = at - passed_on_at.get(told.process, float("inf"))
        if late > LEAVING_SECONDS:
            yield f"began {told.request} {late:.2f} s after {told.instance} knew that it leaves"


def _before_retry(
    world: World, noticed: Noticed, told_by_request: dict[str, Told]
) -> Iterator[str]:
    arrived_at: dict[int, list[float]] = defaultdict(list)
    rejected = [
        (one.at, told)
        for one in noticed.worker.rejections
        if noticed.begun_at <= one.at <= noticed.ended_at
        and (told := told_by_request.get(one.request))
    ]
    for at, told in rejected:
        arrived_at[told.process].append(at)
    for at, told in rejected:
        first, last = at + SENT_BEFORE_SECONDS, at + (noticed.retry_seconds or 0.0)
        count = sum(first < other < last for other in arrived_at[told.process])
        if count > MOST_BEFORE_RETRY:
            yield f"rejected {told.instance} for {noticed.retry_seconds} s and got {count} requests"
