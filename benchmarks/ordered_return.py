"""Refused callers that return, with and without order: ``python -m benchmarks.ordered_return``.

Callers of three routes compete for three holders through twenty instances, on a simulated
clock with the daemon's own code. Each line has a load, and by mode the served requests, the
served ones of those that came twice, those whose first event was within the latency target
of their first and of their last sending.
"""

import random
import sys
from unittest.mock import patch

from loguru import logger
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_standins.returns.caller import Caller, Outcome, burst
from redwingscale_standins.returns.world import World

# Of a drawing summary, an operation plan and a bulk re-quote: target, limit, rank, tokens.
ROUTES = ((1.211, 6.054, 1, 2368), (1.009, 15.13, 0, 1460), (10.0, 15.0, 2, 2368))
ROUTE_WEIGHTS = (88, 26, 19)
PLAN = (1.009, 15.13, 0, 2368)


class SimulatedClock:
    """Replaces `time.monotonic`."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        """Return the simulated time."""
        return self.now


def mixed(per_second: int, seconds: int) -> list[Caller]:
    """Return callers of the three routes."""
    drawn = random.Random(3).choices(ROUTES, ROUTE_WEIGHTS, k=per_second * seconds)
    return [Caller(f"n{n}", n / per_second, *route) for n, route in enumerate(drawn)]


def loads() -> dict[str, list[Caller]]:
    """Return the callers by load."""
    plans = [Caller(f"p{n}", n / 200, *PLAN) for n in range(200)]
    return {
        "200 in 1 s": burst(200, 1.0),
        "200 in 2 s": burst(200, 2.0),
        "200 in 3 s": burst(200, 3.0),
        "200 plans in 1 s, then 25/s": plans
        + [Caller(f"n{n}", 1 + n / 25, *PLAN) for n in range(240)],
        "450 at 35/s": burst(450, 450 / 35),
        "450 at 45/s": burst(450, 10.0),
        "three routes at 40/s": mixed(40, 10),
        "three routes at 60/s": mixed(60, 10),
    }


def play(mode: Mode, callers: list[Caller]) -> list[Outcome]:
    """Return the outcomes of one load."""
    clock = SimulatedClock()
    with patch("time.monotonic", clock):
        return World(clock, mode).run(callers)


def summary(outcomes: list[Outcome]) -> str:
    """Return the numbers of one load and mode."""
    served = [(one, one.first_event_at) for one in outcomes if one.first_event_at is not None]
    returned = sum(one.returned for one in outcomes)
    served_again = sum(one.returned for one, _ in served)
    first = sum(at - one.sent_at[0] <= one.caller.target for one, at in served)
    last = sum(at - one.sent_at[-1] <= one.caller.target for one, at in served)
    return f"{len(served)} served, {served_again} of {returned} returned; {first}/{last} in time"


def main() -> None:
    """Print one line for each load and mode."""
    logger.remove()
    for name, callers in loads().items():
        for mode in (Mode.OFF, Mode.ON):
            sys.stdout.write(f"{name:28} {mode.value:3} {summary(play(mode, callers))}\n")


if __name__ == "__main__":
    main()
