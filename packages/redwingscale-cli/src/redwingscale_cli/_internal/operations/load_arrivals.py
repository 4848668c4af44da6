"""Generates the requests of a load run from a seed.

The gaps between requests are exponentially distributed; instance and model are drawn
uniformly.
"""

import itertools
import random
from collections.abc import Iterator

from redwingscale_cli._internal.models.load_plan import Arrival, LoadPlan

PROMPT_FAMILIES = 8
PROMPT_PREFIX = "The following lot is to be described for the public register. " * 4


def generate_arrivals(plan: LoadPlan) -> Iterator[Arrival]:
    """Yield the arrivals of ``plan`` in order of time; equal plans give equal arrivals."""
    rng = random.Random(plan.seed)
    at_seconds = 0.0
    for number in itertools.count():
        at_seconds += rng.expovariate(plan.rate)
        if at_seconds >= plan.seconds:
            return
        family = rng.randrange(PROMPT_FAMILIES)
        prompt = f"family {family}. {PROMPT_PREFIX} lot {number}"
        yield Arrival(at_seconds, rng.choice(plan.urls), rng.choice(plan.models), prompt)
