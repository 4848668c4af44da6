"""Requests of several ranks and workspaces at few holders: ``python -m benchmarks.fair_places``.

Three holders that read 19.2 tokens per ms, twenty instances, loads announced four times a
second, on a simulated clock with the daemon's own code. Each line has a load, the feature off
or on, and by rank the requests, their shares in time and served, and their value.
"""

import sys
from collections.abc import Callable, Iterable
from unittest.mock import patch

from loguru import logger
from redwingscale_standins.places.load import bursts, flood, value
from redwingscale_standins.places.world import PlacesWorld
from redwingscale_standins.returns.caller import Caller, Outcome

from benchmarks.ordered_return import SimulatedClock

SECONDS = 60.0


def play(callers: list[Caller], *, fair: bool, **faults: float) -> list[Outcome]:
    """Return the outcomes of one load."""
    clock = SimulatedClock()
    with patch("time.monotonic", clock):
        return PlacesWorld(clock, fair=fair, **faults).run(callers)


def summary(outcomes: Iterable[Outcome]) -> str:
    """Return the number of requests, the shares in time and served, and the mean value."""
    chosen = list(outcomes)
    count = max(1, len(chosen))
    served = [one for one in chosen if one.first_event_at is not None]
    in_time = [one for one in served if one.first_event_at - one.sent_at[0] <= one.caller.target]
    worth = sum(value(one.caller, one.first_event_at, one.sent_at[0]) for one in chosen)
    return f"{count:5} {len(in_time) / count:.2f} {len(served) / count:.2f} {worth:7.1f}"


def loads() -> dict[str, list[Caller]]:
    """Return the callers by load."""
    return {
        "bursts at 16/s": bursts(16, SECONDS),
        "bursts at 20/s": bursts(20, SECONDS),
        "bursts at 24/s": bursts(24, SECONDS),
        "bursts at 40/s": bursts(40, SECONDS),
        "flood at 20/s, off": flood(20, SECONDS, 1.0, 20.0),
        "flood at 20/s, five times": flood(20, SECONDS, 5.0, 20.0),
    }


def main() -> None:
    """Print one line for each load and mode."""
    logger.remove()
    for name, callers in loads().items():
        for fair in (False, True):
            outcomes = play(callers, fair=fair)
            ranks = " | ".join(
                summary(o for o in outcomes if o.caller.rank == rank) for rank in range(3)
            )
            sys.stdout.write(f"{name:26} {'on' if fair else 'off':3} {ranks}")
            if any(one.caller.workspace for one in outcomes):
                by: list[Callable[[Outcome], bool]] = [
                    lambda o: o.caller.workspace == "w0",
                    lambda o: o.caller.workspace != "w0",
                ]
                sys.stdout.write(" || " + " | ".join(summary(filter(one, outcomes)) for one in by))
            sys.stdout.write("\n")


if __name__ == "__main__":
    main()
