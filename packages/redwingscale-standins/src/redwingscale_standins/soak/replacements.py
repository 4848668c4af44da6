"""Workers that come back at their address under another id, and the repeats of all instances."""

import random
import time
from collections.abc import Callable
from functools import partial
from itertools import chain

from redwingscale_standins.hosted.instance_process import REPEAT_RULE
from redwingscale_standins.repeats.rule import worst_window
from redwingscale_standins.soak.world import MODEL_SERVICE, PLAIN_SERVICE, WorkerHost, World

# How long workers are replaced one after another, and the time until the next such period.
SHORTEST_SECONDS, LONGEST_SECONDS = 2.0, 5.0
SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS = 1.0, 4.0
# Between two replacements of one worker, and of all at once.
PAUSE_SECONDS, WAVE_PAUSE_SECONDS = (0.3, 1.5), (3.0, 5.0)
# From a replacement until the list names the new process.
SHORTEST_LATE_SECONDS, LONGEST_LATE_SECONDS = 0.0, 3.0
# Instances are killed in series beside one such period in so many.
KILLS_EVERY = 2

Begin = Callable[[str, Callable[[], None]], None]


def play_replacements(
    world: World,
    seconds: float,
    begin: Begin,
    replaceable: Callable[[WorkerHost], bool],
    kill: Callable[[random.Random], None],
) -> None:
    """Begin one period after another, which may overlap, for ``seconds``.

    Drawn apart from the other faults, so that those of a seed stay the same. ``replaceable``
    tells whether no other fault has replaced a worker, ``kill`` kills an instance.
    """
    drawn = random.Random(f"replacements {world.seed}")
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        period_end = time.monotonic() + drawn.uniform(SHORTEST_SECONDS, LONGEST_SECONDS)
        kills = not drawn.randrange(KILLS_EVERY)
        all_at_once = drawn.random() < 0.5
        while time.monotonic() < period_end:
            hosts = [*world.worker_hosts.values()]
            for host in hosts if all_at_once else drawn.sample(hosts, min(1, len(hosts))):
                late_seconds = drawn.uniform(SHORTEST_LATE_SECONDS, LONGEST_LATE_SECONDS)
                if replaceable(host):
                    what = f"{host.worker.id} comes back, listed {late_seconds:.2f} s later"
                    begin(what, partial(_replace, world, host, late_seconds))
            if kills:
                kill(drawn)
            time.sleep(drawn.uniform(*(WAVE_PAUSE_SECONDS if all_at_once else PAUSE_SECONDS)))
        time.sleep(drawn.uniform(SHORTEST_GAP_SECONDS, LONGEST_GAP_SECONDS))


def _replace(world: World, host: WorkerHost, late_seconds: float) -> None:
    with world.disturbance.during():
        follow = world.replace_in_place(host)
        time.sleep(late_seconds)
        follow()


def check_repeats(world: World) -> None:
    """Add a finding for each service whose workers received more repeats than are allowed."""
    ledger = world.ledger
    for service in (MODEL_SERVICE, PLAIN_SERVICE):
        arrivals = [
            arrival
            for host in world.all_hosts
            if host.service == service
            for arrival in list(host.worker.arrivals)
        ]
        sent_at = [
            result.sent_at
            for result in ledger.results
            if (result.kind == "stream") == (service == MODEL_SERVICE)
        ]
        # The soak's own requests, of which only the arrival is known.
        first_at = {one.request: one.at for one in sorted(arrivals, key=lambda one: -one.at)}
        probes = (at for request, at in first_at.items() if request in ledger.probes)
        window = worst_window(arrivals, chain(sent_at, probes), REPEAT_RULE)
        if window.excess > 0:
            detail = f"{window.repeats} of {window.allowed:.1f} repeats at {service}"
            ledger.add_finding("repeats", f"{detail} in 10 s until {window.end:.2f}")
