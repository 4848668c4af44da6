"""One seed: a world, callers, faults, recovery, checks."""

import contextlib
import threading
import time
from pathlib import Path
from typing import NamedTuple

import urllib3

from redwingscale_standins.hosted.documents import MODELS
from redwingscale_standins.soak.caller import Caller
from redwingscale_standins.soak.checks import (
    check_cuts,
    check_leaving,
    check_limit,
    check_orders,
    check_rate_limits,
    check_requests,
)
from redwingscale_standins.soak.faults import Faults
from redwingscale_standins.soak.notices import check_notices
from redwingscale_standins.soak.world import STEADY_KEY, Place, World

CALLERS_EACH = 4
HEARTBEAT_SECONDS = 0.4
# Of the seeds, one in this many plays planned work only: nothing may be cut then.
PLANNED_EVERY = 4
# After the last fault everything is served again within this.
RECOVERY_SECONDS = 30.0
# The instances' setting; half of it allows for the ways that orders take.
ORDER_QUIET_SECONDS = 0.3


class Outcome(NamedTuple):
    """What a seed showed; ``findings`` are empty for a sound run."""

    seed: int
    requests: int
    answered: int
    faults: int
    findings: list[str]


def play(seed: int, seconds: float, instances: int, directory: Path) -> Outcome:
    """Run one seed and return its outcome; the logs stay in ``directory``."""
    planned_only = seed % PLANNED_EVERY == 0
    world = World(directory, instances, seed)
    callers = [Caller(world, number, seed) for number in range(instances * CALLERS_EACH)]
    faults = Faults(world, planned_only=planned_only)
    ended = threading.Event()
    places = _Places(world)
    heartbeats = threading.Thread(target=_beat, args=(world, places, ended), daemon=True)
    try:
        heartbeats.start()
        for caller in callers:
            caller.start()
        faults.run(seconds)
        for caller in callers:
            caller.stopped = True
        for caller in callers:
            caller.join()
        _check_recovery(world)
        check_requests(world)
        check_cuts(world, planned_only=planned_only)
        check_orders(world, ORDER_QUIET_SECONDS / 2)
        check_limit(world)
        check_rate_limits(world)
        check_notices(world)
        check_leaving(world, places.left(), planned_only=planned_only)
    finally:
        for caller in callers:
            caller.stopped = True
        ended.set()
        # A fault under way would start an instance again after the end of all.
        faults.wait()
        world.stop()
        (directory / "faults.log").write_text("\n".join(faults.log) + "\n")
    told = world.ledger.told
    answered = sum(one.status is not None and one.status < 300 for one in told)
    return Outcome(seed, len(told), answered, len(faults.log), world.ledger.findings)


class _Places:
    """All workers that there ever were."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._seen: dict[str, Place] = {}

    def look(self) -> None:
        self._seen.update(self._world.places)

    def left(self) -> list[Place]:
        return [place for place in self._seen.values() if place.left_at < float("inf")]


def _beat(world: World, places: _Places, ended: threading.Event) -> None:
    while not ended.wait(HEARTBEAT_SECONDS):
        places.look()
        world.heartbeat()


def _check_recovery(world: World) -> None:
    """Add a finding unless each instance serves each model again."""
    wanted = [(node, str(model["Name"])) for node in world.nodes for model in MODELS]
    end = time.monotonic() + RECOVERY_SECONDS
    number = 0
    while wanted and time.monotonic() < end:
        node, model = wanted.pop(0)
        number += 1
        request = f"ffff{number:08x}"
        world.ledger.probes.add(request)
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if node.process.request_stream(model, 2, request=request, key=STEADY_KEY)[0] == 200:
                continue
        wanted.append((node, model))
        time.sleep(0.1)
    for node, model in wanted:
        world.ledger.finding("recovery", f"{node.name} does not serve {model}")
