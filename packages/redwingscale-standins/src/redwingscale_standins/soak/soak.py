"""Runs one seed: starts a world and callers, injects faults, and checks recovery and results."""

import contextlib
import threading
import time
from pathlib import Path
from typing import NamedTuple

import urllib3

from redwingscale_standins.hosted.documents import MODELS
from redwingscale_standins.soak.backpressure import check_backpressure
from redwingscale_standins.soak.brittle import check_brittle
from redwingscale_standins.soak.caller import Caller
from redwingscale_standins.soak.checks import (
    check_cuts,
    check_leaving,
    check_limit,
    check_orders,
    check_rate_limits,
    check_requests,
)
from redwingscale_standins.soak.ending_body import check_ending_bodies
from redwingscale_standins.soak.ending_part import check_ending_parts
from redwingscale_standins.soak.faults import Faults
from redwingscale_standins.soak.late_callers import LateCaller
from redwingscale_standins.soak.lost_path import check_path_cuts
from redwingscale_standins.soak.replacements import check_repeats
from redwingscale_standins.soak.served import count_served, is_answered
from redwingscale_standins.soak.stop_answers import check_stop_answers
from redwingscale_standins.soak.versions import Takers
from redwingscale_standins.soak.whole_answers import check_whole_answers
from redwingscale_standins.soak.world import STEADY_KEY, WorkerHost, World
from redwingscale_standins.versions.world import FIRST, OTHER

CALLERS_EACH, LATE_CALLERS_EACH = 4, 8
HEARTBEAT_SECONDS = 0.4
# One seed in this many has planned work only, in which no request may be cut.
PLANNED_EVERY = 4
# Every instance serves every model within this time after the last fault.
RECOVERY_SECONDS = 30.0
# The instances' setting. Checks use half of it, to allow for the transit time of orders.
HANDOVER_PAUSE_SECONDS = 0.3


class Outcome(NamedTuple):
    """The outcome of a seed; ``findings`` is empty for a valid run.

    Of the ``servable`` requests, which undisturbed instances received while their service had a
    worker, ``served`` were answered.
    """

    seed: int
    requests: int
    answered: int
    servable: int
    served: int
    faults: int
    findings: list[str]


def play(
    seed: int,
    seconds: float,
    instances: int,
    directory: Path,
    *,
    ending_bodies: bool = True,
    ending_parts: bool = True,
    stalls: bool = True,
    replacements: bool = True,
    versions: bool = True,
    copies: bool = True,
    late: bool = True,
) -> Outcome:
    """Run one seed and return its outcome; logs are kept in ``directory``.

    With ``ending_bodies``, seeds with unplanned faults have bodies that end their workers, and
    with ``ending_parts`` requests that share one part of their prompts, which ends them.
    With ``stalls``, all seeds have sound workers that pause, slow paths and slow callers.
    With ``replacements``, seeds with unplanned faults have workers that come back with another id.
    With ``copies``, the store comes back from older copies in seeds with unplanned faults.
    With ``late``, all seeds have callers that send late on open connections, and seeds of planned
    work have stops in series.
    With ``versions``, workers are started with two software versions in no order, and callers take
    streams up at other instances.
    """
    planned_only = seed % PLANNED_EVERY == 0
    software = (FIRST, OTHER) if versions else (FIRST,)
    world = World(directory, instances, seed, software, planned_only)
    callers = [
        Caller(world, number, seed, stalls=stalls) for number in range(instances * CALLERS_EACH)
    ]
    late_callers = [
        LateCaller(world, number) for number in range(instances * LATE_CALLERS_EACH * late)
    ]
    faults = Faults(
        world,
        planned_only=planned_only,
        ending_bodies=ending_bodies and not planned_only,
        ending_parts=ending_parts and not planned_only,
        stalls=stalls,
        replacements=replacements and not planned_only,
        copies=copies and not planned_only,
        stops=late and planned_only,
    )
    takers = Takers(world) if versions else None
    ended = threading.Event()
    history = _WorkerHistory(world)
    heartbeats = threading.Thread(
        target=_write_heartbeats, args=(world, history, ended), daemon=True
    )
    try:
        heartbeats.start()
        for caller in (*callers, *late_callers):
            caller.start()
        if takers is not None:
            takers.start()
        faults.run(seconds)
        for caller in callers:
            caller.stopped = True
        for late_caller in late_callers:
            late_caller.stop()
        for caller in (*callers, *late_callers):
            caller.join()
        if takers is not None:
            takers.stop()
            takers.check()
        _check_recovery(world)
        check_requests(world)
        check_cuts(world, planned_only=planned_only)
        check_whole_answers(world)
        check_stop_answers(world.ledger)
        check_orders(world, HANDOVER_PAUSE_SECONDS / 2)
        check_limit(world)
        check_rate_limits(world)
        check_repeats(world)
        check_backpressure(world)
        check_ending_bodies(world)
        check_ending_parts(world)
        check_path_cuts(world)
        check_brittle(world)
        check_leaving(world, history.leaving(), planned_only=planned_only)
    finally:
        for caller in callers:
            caller.stopped = True
        for late_caller in late_callers:
            late_caller.stop()
        if takers is not None:
            takers.stop()
        ended.set()
        # A fault in progress would restart an instance after the cleanup.
        faults.wait()
        world.stop()
        (directory / "faults.log").write_text("\n".join(faults.log) + "\n")
        (directory / "findings.log").write_text("\n".join(world.ledger.findings) + "\n")
    results = world.ledger.results
    return Outcome(
        seed,
        len(results),
        sum(map(is_answered, results)),
        *count_served(world),
        len(faults.log),
        world.ledger.findings,
    )


class _WorkerHistory:
    """Remembers every worker that was listed during the run."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._seen: dict[str, WorkerHost] = {}

    def record(self) -> None:
        self._seen.update(self._world.worker_hosts)

    def leaving(self) -> list[WorkerHost]:
        return [host for host in self._seen.values() if host.left_at < float("inf")]


def _write_heartbeats(world: World, history: _WorkerHistory, ended: threading.Event) -> None:
    while not ended.wait(HEARTBEAT_SECONDS):
        history.record()
        world.heartbeat()


def _check_recovery(world: World) -> None:
    """Add a finding for each instance and model that is not served again in time."""
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
        world.ledger.add_finding("recovery", f"{node.name} does not serve {model}")
