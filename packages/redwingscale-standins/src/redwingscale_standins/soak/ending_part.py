"""Requests that share one part of their prompts, which ends each worker that begins their answer."""

import contextlib
import itertools
import random
import threading
import time

import urllib3

from redwingscale_standins.parts.rule import BAD_PREFIX, PAGES_ARRIVALS, PAGES_ENDS
from redwingscale_standins.soak.overlapping import run_overlapping
from redwingscale_standins.soak.world import STEADY_KEY, Node, World

MODEL = "m1"
PAUSE_SECONDS = 0.4
# How long such a part comes, and the pause before the next one.
LENGTH_SECONDS = (3.0, 6.0)
NEXT_SECONDS = (3.0, 6.0)
# In touch is who was not disturbed for this long; the rest allows for a busy machine.
IN_TOUCH_SECONDS = 4.0
REFUSED = 422
FIRST_PARTS = ("f0a0", "f0b0")
SECOND_PARTS = ("a1", "a2", "a3")


def prompt_header(drawn: random.Random, bad: str | None = None) -> str:
    """Return the parts of a prompt, the last of which is its own."""
    middle = drawn.choice(SECOND_PARTS) if bad is None else bad
    parts = (drawn.choice(FIRST_PARTS), middle, f"e{drawn.getrandbits(48):012x}")
    return ",".join(f"{part}:10" for part in parts)


class EndingPart:
    """Sends requests with one bad part through all instances, and remembers under which ids."""

    def __init__(self, world: World, number: int) -> None:
        self._world = world
        self.part = f"{BAD_PREFIX}{number}"
        self._drawn = random.Random(f"part {world.seed} {number}")
        self._prefix = f"dddd{number:04x}"
        # When nothing had disturbed the instance for the last time, by request.
        self.undisturbed_since: dict[str, float] = {}
        world.ending_parts.append(self)

    def send(self, seconds: float) -> None:
        """Send for ``seconds``, each time through another instance."""
        end = time.monotonic() + seconds
        for number in itertools.count():
            if time.monotonic() > end:
                return
            node = self._world.nodes[number % len(self._world.nodes)]
            request = f"{self._prefix}{number:04x}"
            self._world.ledger.probes.add(request)
            thread = threading.Thread(target=self._send, args=(node, request), daemon=True)
            thread.start()
            time.sleep(PAUSE_SECONDS)

    def _send(self, node: Node, request: str) -> None:
        self.undisturbed_since[request] = max(
            node.disturbance.last_at, self._world.disturbance.last_at
        )
        parts = prompt_header(self._drawn, self.part)
        # An instance that is down, or cuts the answer, is checked by what the workers ran.
        with contextlib.suppress(urllib3.exceptions.HTTPError, IndexError):
            node.process.request_stream(
                MODEL,
                3,
                request=request,
                key=STEADY_KEY,
                body=request.encode(),
                timeout=8.0,
                parts=parts,
            )


def send_ending_parts(world: World, seconds: float) -> None:
    """Send one part after another, which may overlap, for ``seconds``."""
    run_overlapping(
        seconds,
        random.Random(f"parts {world.seed}"),
        lambda: EndingPart(world, len(world.ending_parts)).send,
        LENGTH_SECONDS,
        NEXT_SECONDS,
    )


def check_ending_parts(world: World) -> None:
    """Add a finding for a part that ran long after it was known, and for sound ones refused."""
    for ending in world.ending_parts:
        late = [
            run.request
            for run in world.parts.late_runs(ending.part, PAGES_ENDS, IN_TOUCH_SECONDS)
            if run.at > ending.undisturbed_since[run.request] + IN_TOUCH_SECONDS
        ]
        if len(late) > PAGES_ARRIVALS:
            ends = len(world.parts.ends_of(ending.part))
            detail = f"{ending.part} ended {ends} workers, and reached others late: {late}"
            world.ledger.add_finding("parts", detail)
    refused = [
        one.request
        for one in world.ledger.results
        if one.kind == "stream" and one.status == REFUSED
    ]
    if refused:
        world.ledger.add_finding("parts", f"sound requests were refused: {refused}")
