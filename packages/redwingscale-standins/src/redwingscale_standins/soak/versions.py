"""Workers of two software versions, and callers that take streams up at other instances."""

import itertools
import random
import threading

from redwingscale_standins.soak.world import STEADY_KEY, World
from redwingscale_standins.versions.caller import Habits, Held, hold_stream
from redwingscale_standins.versions.rule import has_gap, mixed_streams

# Allowed over a whole run.
MOST_MIXED = 2
TAKERS = 3
EVENTS = 20
# Callers leave an instance after so many events, or stay.
LEAVES_AFTER = (None, 4, 8)
PAUSES_SECONDS = (0.0, 0.2)


class Takers:
    """Callers that hold streams over several tries; the worlds of a seed draw alike."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._ended = threading.Event()
        self._numbers = itertools.count()
        self.held: list[Held] = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,), name=f"taker-{number}", daemon=True)
            for number in range(TAKERS)
        ]

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the streams that are held now; a second call does nothing."""
        self._ended.set()
        for thread in self._threads:
            if thread.is_alive():
                thread.join()

    def _run(self, number: int) -> None:
        drawn = random.Random(f"takers {self._world.seed} {number}")
        while not self._ended.is_set():
            habits = Habits(
                events=EVENTS,
                leave_after=drawn.choice(LEAVES_AFTER),
                pause_seconds=drawn.choice(PAUSES_SECONDS),
                model=drawn.choice(("m1", "m2", "m3")),
            )
            name = f"eeee{number:02x}{next(self._numbers):06x}"
            instances = [node.process for node in self._world.nodes]
            held = hold_stream(name, drawn.randrange(len(instances)), instances, habits, STEADY_KEY)
            self.held.append(held)
            self._world.ledger.probes.update(one.request for one in held.tries)

    def check(self) -> None:
        """Add a finding for streams of two versions, and for each with a gap."""
        ledger = self._world.ledger
        mixed = mixed_streams(one.pieces for one in self.held)
        mixed += mixed_streams(ledger.pieces_by_request.values())
        if len(mixed) > MOST_MIXED:
            detail = [[*dict.fromkeys(piece.software for piece in one)] for one in mixed[:5]]
            ledger.add_finding("versions", f"{len(mixed)} streams of several versions: {detail}")
        for held in self.held:
            if has_gap(held.pieces):
                numbers = [piece.number for piece in held.pieces]
                ledger.add_finding("order", f"tries {held.tries[0].request}: events {numbers}")
