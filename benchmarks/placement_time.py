"""Planning time by size: ``python -m benchmarks.placement_time``.

Runs the plan maker at three sizes: the first plan, a plan in which nothing has
changed, and a plan after the demand for a twentieth of the models rose tenfold.
"""

import random
import time
from typing import NamedTuple

from redwingscale_common.configuration import Adapter, Configuration, Model, ModelVersion
from redwingscale_common.configuration.policy import Policy, WeightStore
from redwingscale_daemon._internal.configuration.accepted import Accepted, Pointer
from redwingscale_daemon._internal.models.report import ResidentUnit
from redwingscale_daemon._internal.placement.engine_room import EngineRoom
from redwingscale_daemon._internal.placement.model_number import model_number
from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.placement.plan_maker import PlanMaker
from redwingscale_daemon._internal.placement.planner import EMPTY_PLAN

from benchmarks.lib.points import write_points

GIGABYTE = 1_000_000_000
SIZES = ((47, 14), (200, 220), (860, 910))
ADAPTERS = 4
SLOTS = 32
SERVICE_SECONDS = 3.0
FILLED = 0.5


class Timed(NamedTuple):
    """One plan and the processor seconds that it took."""

    plan: Plan
    seconds: float


def make_configuration(models: int, rng: random.Random) -> Configuration:
    """Return ``models`` models of 8 to 32 GB with four adapters each."""
    adapters = {f"a{n}": Adapter(f"a{n}", 150_000_000) for n in range(ADAPTERS)}
    return Configuration(
        deployment="sized",
        policy=Policy(moves_weight=0.5, cache_share=0.1),
        weight_store=WeightStore(loads_per_second=1e6, concurrent_loads=1_000_000),
        callers_by_token={},
        callers_by_name={},
        models_by_name={
            f"model-{n}": Model(
                f"model-{n}",
                "v1",
                {"v1": ModelVersion("v1", rng.randrange(8, 32) * GIGABYTE)},
                adapters,
            )
            for n in range(models)
        },
        services_by_name={},
    )


def timed(maker: PlanMaker, old: Plan, accepted: Accepted, rooms: dict, rates: dict) -> Timed:
    """Make one plan."""
    begun = time.process_time()
    plan = maker.next_plan(old, accepted, rooms, rates, time.monotonic())
    return Timed(plan, time.process_time() - begun)


def main() -> None:
    """Write a point for each size."""
    points = []
    for models, engines in SIZES:
        rng = random.Random(1)
        accepted = Accepted(Pointer(1, "", "", ""), "", make_configuration(models, rng))
        rooms = {
            f"e{n}": EngineRoom(f"e{n}", "abcdef"[n % 6], 144 * GIGABYTE, SLOTS)
            for n in range(engines)
        }
        weights = [1 / (n + 1) ** 0.8 for n in range(models)]
        scale = FILLED * SLOTS * engines / SERVICE_SECONDS / sum(weights)
        rates = {model_number(f"model-{n}"): w * scale for n, w in enumerate(weights)}
        maker = PlanMaker()
        first = timed(maker, EMPTY_PLAN, accepted, rooms, rates)
        plan = first.plan
        for _ in range(40):
            residents = {
                e: tuple(ResidentUnit(p.unit, p.size_bytes, True) for p in units)
                for e, units in plan.units_by_engine.items()
            }
            rooms = {e: r._replace(residents=residents[e]) for e, r in rooms.items()}
            unchanged = timed(maker, plan, accepted, rooms, rates)
            if unchanged.plan._replace(sequence=0) == plan._replace(sequence=0):
                break
            plan = unchanged.plan
        for n in rng.sample(range(models // 4, models), models // 20):
            rates[model_number(f"model-{n}")] *= 10
        risen = timed(maker, plan, accepted, rooms, rates)
        changed = sum(
            keys != plan.target_by_engine[e] for e, keys in risen.plan.target_by_engine.items()
        )
        points.append(
            {
                "models": models,
                "engines": engines,
                "first_s": round(first.seconds, 4),
                "unchanged_s": round(unchanged.seconds, 4),
                "tenfold_s": round(risen.seconds, 4),
                "engines_changed": changed,
            }
        )
    write_points("placement_time", {"filled": FILLED, "adapters": ADAPTERS}, points)


if __name__ == "__main__":
    main()
