"""Callers of three routes, in bursts or from a workspace that sends too much."""

import random

from redwingscale_standins.returns.caller import Caller

# Of an operation plan, a drawing summary and a bulk re-quote: target, limit, rank, tokens.
ROUTES = ((1.009, 15.13, 0, 1460), (1.211, 6.054, 1, 2368), (10.011, 15.016, 2, 2368))
ROUTE_WEIGHTS = (26.3, 88.3, 18.6)
# Value of an answer in time and of a late one, by rank.
VALUES = ((3.8, 0.46), (1.6, 0.46), (0.78, 0.35))
BULK = 2
BURST_FACTOR = 4
BURST_SECONDS, BURST_INTERVAL_SECONDS = 5.0, 15.0
WORKSPACES = 16


def bursts(per_second: float, seconds: float) -> list[Caller]:
    """Return callers of three routes, the bulk ones in bursts of four times their rate."""
    rates = [per_second * weight / sum(ROUTE_WEIGHTS) for weight in ROUTE_WEIGHTS]
    callers = [one for rank, rate in enumerate(rates) for one in _arrivals(rank, rate, seconds)]
    return sorted(callers, key=lambda one: one.at)


def _arrivals(rank: int, per_second: float, seconds: float) -> list[Caller]:
    draws, at = random.Random(rank), 0.0
    callers: list[Caller] = []
    while at < seconds:
        busy = rank == BULK and at % BURST_INTERVAL_SECONDS < BURST_SECONDS
        at += draws.expovariate(per_second * (BURST_FACTOR if busy else 1))
        callers.append(Caller(f"r{rank}-{len(callers)}", at, *ROUTES[rank]))
    return callers


def flood(
    per_second: float, seconds: float, factor: float, begins_at: float, seed: int = 5
) -> list[Caller]:
    """Return callers of sixteen workspaces; ``w0`` sends ``factor`` times its load from then on.

    Workspace ``w0`` usually sends a tenth of all requests.
    """
    callers: list[Caller] = []
    names = [f"w{number}" for number in range(WORKSPACES)]
    rates = dict.fromkeys(names, per_second * 0.9 / (WORKSPACES - 1)) | {"w0": per_second * 0.1}
    for name, rate in rates.items():
        # The requests of the others do not depend on the factor.
        draws, at = random.Random(f"{seed} {name}"), 0.0
        while at < seconds:
            more = factor if name == "w0" and at >= begins_at else 1.0
            at += draws.expovariate(rate * more)
            route = draws.choices(ROUTES, ROUTE_WEIGHTS)[0]
            callers.append(Caller(f"{name}-{len(callers)}", at, *route, workspace=name))
    return sorted(callers, key=lambda one: one.at)


def value(caller: Caller, first_event_at: float | None, sent_at: float) -> float:
    """Return the value of an answer, 0 for none; in time counts from ``sent_at``."""
    if first_event_at is None:
        return 0.0
    in_time, late = VALUES[caller.rank]
    return in_time if first_event_at - sent_at <= caller.target else late
