"""A body that ends each worker that begins it, sent again under new ids by every instance."""

import contextlib
import itertools
import random
import time
from typing import NamedTuple

import urllib3

from redwingscale_standins.soak.overlapping import run_overlapping
from redwingscale_standins.soak.soak_worker import ENDING_MARK
from redwingscale_standins.soak.world import STEADY_KEY, Node, World

MODEL = "m1"
PAUSE_SECONDS = 0.15
# How long a body comes again, and the pause before the next body.
LENGTH_SECONDS = (4.0, 8.0)
NEXT_SECONDS = (2.0, 6.0)
# Workers may end under such a body before all instances in touch must refuse it.
MOST_ENDS = 3
# In touch is who was not disturbed for this long; the rest allows for a busy machine.
IN_TOUCH_SECONDS = 4.0
MOST_LATE_RUNS = 3


class Sent(NamedTuple):
    """One sending of such a body; nothing has disturbed its instance since then."""

    request: str
    undisturbed_since: float


class EndingBody:
    """Sends one body through all instances, and remembers under which ids."""

    def __init__(self, world: World, number: int) -> None:
        self._world = world
        self.body = ENDING_MARK + str(number).encode()
        self._prefix = f"eeee{number:04x}"
        self.sent: list[Sent] = []
        world.ending_bodies.append(self)

    def send(self, seconds: float) -> None:
        """Send for ``seconds``, each time through another instance."""
        end = time.monotonic() + seconds
        for number in itertools.count():
            if time.monotonic() > end:
                return
            node = self._world.nodes[number % len(self._world.nodes)]
            request = f"{self._prefix}{number:04x}"
            self._world.ledger.probes.add(request)
            self._send(node, request)
            time.sleep(PAUSE_SECONDS)

    def _send(self, node: Node, request: str) -> None:
        disturbed_at = max(node.disturbance.last_at, self._world.disturbance.last_at)
        self.sent.append(Sent(request, disturbed_at))
        # An instance that is down, or cuts the answer, is checked by what the workers ran.
        with contextlib.suppress(urllib3.exceptions.HTTPError, IndexError):
            node.process.request_stream(
                MODEL, 3, request=request, key=STEADY_KEY, body=self.body, timeout=8.0
            )


def send_ending_bodies(world: World, seconds: float) -> None:
    """Send one body after another, which may overlap, for ``seconds``.

    Drawn apart from the other faults, so that those of a seed stay the same.
    """
    run_overlapping(
        seconds,
        random.Random(world.seed),
        lambda: EndingBody(world, len(world.ending_bodies)).send,
        LENGTH_SECONDS,
        NEXT_SECONDS,
    )


def check_ending_bodies(world: World) -> None:
    """Add a finding for each body that still ran long after it had ended enough workers."""
    for ending in world.ending_bodies:
        undisturbed_since = {sent.request: sent.undisturbed_since for sent in ending.sent}
        runs = sorted(
            (run.at, request)
            for request in undisturbed_since
            for run in world.ledger.runs.get(request, [])
        )
        if len(runs) <= MOST_ENDS:
            continue
        third_at = runs[MOST_ENDS - 1][0]
        late = [
            request
            for at, request in runs
            if at > max(third_at, undisturbed_since[request]) + IN_TOUCH_SECONDS
        ]
        if len(late) > MOST_LATE_RUNS:
            detail = f"{ending.body!r} ended {len(runs)} workers, {len(late)} of them late: {late}"
            world.ledger.add_finding("crashes", detail)
