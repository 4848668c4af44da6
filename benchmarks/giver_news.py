"""Size of the order giver's news and time of its plans: ``python -m benchmarks.giver_news``.

At three sizes: bytes of the regular news, of the news that tell one change, and of
what an instance tells; processor time of a plan with a tenth of the models waited for.
"""

import random
import time

import msgspec
from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule
from redwingscale_daemon._internal.swaps.demand import Demand, WaitingUnit
from redwingscale_daemon._internal.swaps.messages import (
    DemandEntry,
    InstanceUpdate,
    LeaderUpdate,
    LoadEntry,
    ResidencyEntry,
    StoreUpdate,
    UseEntry,
)
from redwingscale_daemon._internal.swaps.planner import Planner
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

from benchmarks.lib.points import write_points

# Instances, model workers, models: a deployment of today, a grown one, the design size.
SIZES = ((6, 9, 31), (69, 45, 107), (370, 910, 860))
SERVICE = "service01"
WORKER_MB = 200_000.0
MODELS_MB = (34_300.0, 65_100.0, 65_500.0, 72_700.0)
PLANS = 5
ASKED_PART, WAITING_PART = 0.5, 0.1
# Upstreams at which one instance has requests open, and units that it was asked for.
OPEN_EACH = 20


def make_engine(models: int, rng: random.Random) -> EngineRule:
    """Return a service with ``models`` models of a few sizes."""
    rules = {
        f"model{n:05}": ModelRule(f"model{n:05}", rng.choice(MODELS_MB), 40.0, 4, 6.0, 1.2, 0.6)
        for n in range(models)
    }
    return EngineRule(64, 150_000, WORKER_MB, 5, 1e6, rules)


def make_views(workers: int, engine: EngineRule, rng: random.Random) -> list[WorkerView]:
    """Return workers that hold two models each."""
    names = list(engine.models_by_name)
    views = []
    for number in range(workers):
        held = {name: frozenset({"a1"}) for name in rng.sample(names, 2)}
        resident = {name: ResidentModel(name, 1, held[name]) for name in held}
        upstream = Upstream(
            f"i-{number:010x}", SERVICE, "10.0.0.1", 8000, "zone-a", 64, False, None, resident,
            frozenset(), frozenset(),
        )  # fmt: skip
        views.append(WorkerView(upstream, held, True, "", {}, 3, 2000, {}))
    return views


def news_bytes(instances: int, views: list[WorkerView]) -> dict[str, int]:
    """Return the sizes of the messages, encoded as they are sent."""
    encode = msgspec.msgpack.Encoder().encode
    held = [
        ResidencyEntry(view.upstream.id, {name: sorted(one) for name, one in view.resident.items()})
        for view in views
    ]
    loads = [LoadEntry(view.upstream.id, 7, 12_000) for view in views]
    store = StoreUpdate(123_456, ListUpdate([], [], 0.31, 2**63, 123_456), 42, 0.72)

    def leader(entries: list[ResidencyEntry], sums: list[LoadEntry] | None) -> LeaderUpdate:
        return LeaderUpdate(
            "edge-zone-a-1", 123, entries, sums is not None, {}, sums, instances, store
        )

    some = views[:OPEN_EACH]
    demand = [DemandEntry(SERVICE, f"model{n:05}", "", 1, 0, 0.0) for n in range(4)]
    own_loads = [LoadEntry(view.upstream.id, 1, 1800) for view in some]
    uses = [UseEntry(view.upstream.id, next(iter(view.resident)), "a1", 1) for view in some]
    return {
        "all_held_bytes": len(encode(leader(held, loads))),
        "regular_bytes": len(encode(leader([], loads))),
        "change_bytes": len(encode(leader(held[:1], None))),
        "instance_bytes": len(encode(InstanceUpdate("edge-zone-a-1", demand, own_loads, uses, []))),
    }


def plan_seconds(engine: EngineRule, views: list[WorkerView], rng: random.Random) -> float:
    """Return the processor time of one plan."""
    names = list(engine.models_by_name)
    demand = Demand()
    asked = rng.sample(names, int(len(names) * ASKED_PART))
    entries = [DemandEntry(SERVICE, name, "", rng.randint(1, 5), 0, 0.0) for name in asked]
    demand.receive(InstanceUpdate("i", entries, [], [], []))
    waiting = [
        WaitingUnit(SERVICE, Unit(name), 2, 5.0)
        for name in rng.sample(names, max(1, int(len(names) * WAITING_PART)))
    ]
    planner = Planner(SERVICE, engine, demand)
    begun = time.process_time()
    for _ in range(PLANS):
        planner.best_swap(waiting, views, cold_allowed=True)
    return (time.process_time() - begun) / PLANS


def main() -> None:
    """Write a point for each size."""
    points = []
    for instances, workers, models in SIZES:
        rng = random.Random(1)
        engine = make_engine(models, rng)
        views = make_views(workers, engine, rng)
        points.append(
            {
                "instances": instances,
                "workers": workers,
                "models": models,
                **news_bytes(instances, views),
                "plan_ms": round(plan_seconds(engine, views, rng) * 1000, 2),
            }
        )
    write_points("giver_news", {"plans": PLANS, "seed": 1}, points)


if __name__ == "__main__":
    main()
