"""Copies that are staged before traffic, kept by swaps and made again after losses."""

import time

import pytest
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_daemon._internal.swaps.copy_guard import CopyGuard
from redwingscale_daemon._internal.swaps.copy_map import CopyMap
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.planner import Planner
from redwingscale_daemon._internal.swaps.recent_evictions import RecentEvictions

from .conftest import update, view
from .copies_world import CEILING, SERVICE, Worker, World, engine_of

BEFORE_TRAFFIC_SECONDS = 16.0


@pytest.fixture
def clock(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    return now


def loads(world, since=0.0, purposes=("swap",)):
    return [swap for swap in world.swaps if swap.at >= since and swap.purpose in purposes]


def cold(swaps):
    return [swap for swap in swaps if swap.source == "store"]


@pytest.mark.parametrize("seed", [1, 3])
def test_every_model_is_at_hand_before_traffic_starts(clock, seed):
    # Guards against models that are at no worker when their first requests arrive, and against
    # copies that staging itself drives out.
    world = World(clock, seed=seed)
    absent = world.nowhere()
    assert len(absent) >= 26
    while world.seconds() < BEFORE_TRAFFIC_SECONDS:
        world.step()
        assert world.nowhere() <= absent
        absent = world.nowhere()
    assert not absent
    starts = world.cold_at
    window = CEILING.window_seconds
    for start in starts:
        in_window = sum(1 for one in starts if start <= one < start + window)
        assert in_window <= CEILING.per_second * window
    for name in world.busy:
        assert sum(name in worker.resident for worker in world.workers.values()) >= 2


def test_no_last_copy_is_driven_out_of_full_disks(clock):
    # All models are of the largest size: each load drives one of five copies out, and nobody knows
    # which one. Staging may take longer than the time before traffic here, but loses no copy.
    world = World(clock, smallest=72.7, absent=20)
    absent = world.nowhere()
    while world.seconds() < BEFORE_TRAFFIC_SECONDS:
        world.step()
        assert world.nowhere() <= absent
        absent = world.nowhere()
    assert loads(world, purposes=["protects"])
    assert cold(loads(world, purposes=["no_copy"]))


def _shifted_swaps(clock, mode):
    """Return the swaps after demand has moved to eight idle models, twice."""
    clock[0] = 1000.0
    world = World(clock, mode=mode)
    world.run(BEFORE_TRAFFIC_SECONDS)
    world.requests = dict.fromkeys(world.busy, 4.0)
    world.run(24.0)
    idle = sorted(world.engine.models_by_name.keys() - set(world.busy))
    for shift in range(2):
        world.requests = dict.fromkeys([*world.busy[:5], *idle[shift::12][:8]], 4.0)
        world.run(36.0 + 12.0 * shift)
    return loads(world, since=24.0)


def test_shifted_demand_needs_few_loads_from_the_weight_store(clock):
    before, after = (_shifted_swaps(clock, mode) for mode in (Mode.OFF, Mode.ON))
    assert len(cold(after)) < 0.2 * len(after)
    assert len(cold(before)) > 0.2 * len(before)


def test_new_leader_repeats_no_load(clock):
    # The loads that the former leader has started are in no report and not in the list yet.
    world = World(clock)
    world.run(5.0)
    world.leaderless(2.0)
    world.new_leader()
    world.run(30.0)
    models = [swap.model for swap in cold(world.swaps)]
    assert len(models) == len(set(models))
    assert not world.nowhere()


def test_last_copies_of_a_lost_worker_are_made_again(clock):
    world = World(clock)
    world.run(BEFORE_TRAFFIC_SECONDS)
    world.requests = dict.fromkeys(world.busy, 4.0)
    world.run(20.0)
    del world.workers["w7"]
    lost = world.nowhere()
    assert lost
    world.run(20.0 + 9.5 * len(lost))
    assert not world.nowhere()
    assert {swap.model for swap in cold(loads(world, 20.0, ["no_copy"]))} == lost
    for name, rate in world.requests.items():
        assert rate and any(name in worker.resident for worker in world.workers.values())


def test_new_worker_gets_copies(clock):
    world = World(clock)
    world.run(BEFORE_TRAFFIC_SECONDS)
    world.requests = dict.fromkeys(world.busy, 4.0)
    world.run(20.0)
    world.workers["w30"] = Worker("w30", "z0", [], [])
    world.run(50.0)
    assert len(world.workers["w30"].disk) >= 2


def test_waiting_model_is_not_delayed_by_staging(clock):
    # The first requests arrive while most models are still at no worker: these have to wait.
    world = World(clock)
    idle = [name for name in sorted(world.engine.models_by_name) if name not in world.busy]
    world.run(1.0)
    world.requests = dict.fromkeys([*world.busy, *idle[::9]], 4.0)
    while world.seconds() < BEFORE_TRAFFIC_SECONDS:
        awaited = {one.unit.model for one in world.waiting(world.views())}
        started = len(world.swaps)
        world.step()
        begun = world.swaps[started:]
        unasked = [swap for swap in begun if swap.model not in world.requests]
        assert not unasked or awaited <= {swap.model for swap in begun}


def test_models_do_not_evict_each_other(clock):
    # Twelve models are requested in bursts and six fit: each burst evicted a model whose next
    # burst brought it back within seconds.
    world = World(clock, workers=3, models=20, absent=0, smallest=72.7)
    names = sorted(world.engine.models_by_name)[:12]
    settled = {}
    while world.seconds() < 60.0:
        burst = int(world.seconds() / 2.0)
        world.requests = {name: 3.0 if (burst + n) % 3 else 0.5 for n, name in enumerate(names)}
        started = len(world.swaps)
        world.step()
        for swap in world.swaps[started:]:
            for name in set(swap.evicted) & set(names):
                assert world.seconds() - settled.get(name, 0.0) >= 8.0
            settled[swap.model] = world.seconds()
    assert len(loads(world)) < 60


def _planner(demand, engine, views):
    copies = CopyMap(engine, views, time.monotonic())
    guard = CopyGuard(SERVICE, engine, demand, RecentEvictions(), copies)
    return Planner(SERVICE, engine, demand, lambda _: guard)


def test_sudden_demand_gets_several_loads_at_once(clock):
    # Nothing shows the overload of a model before its first holder has loaded it.
    demand, engine = Demand(), engine_of(8)
    for _ in range(20):
        clock[0] += 0.25
        demand.receive(update(m1=5))
    views = [view("w0", loading="m1", free=False), view("w1"), view("w2"), view("w3")]
    swap = _planner(demand, engine, views).best_swap([], views, cold_allowed=True)
    assert swap.model.name == "m1"
    assert Planner(SERVICE, engine, demand).best_swap([], views, cold_allowed=True) is None
    full = [*views, *(view(f"w{n}", loading="m1", free=False) for n in range(4, 9))]
    assert _planner(demand, engine, full).best_swap([], full, cold_allowed=True) is None


def test_copy_at_a_worker_that_is_free_soon_precedes_the_weight_store(clock):
    demand, engine = Demand(), engine_of(8)
    for _ in range(20):
        clock[0] += 0.25
        demand.receive(update(m1=5))
    busy = view("w0", loading="m2", free=False, on_disk=["m1"])._replace(ready_in=1.0)
    waiting = World.waiting_units({"m1": 5.0}, [])
    views = [busy, view("w1")]
    assert _planner(demand, engine, views).best_swap(waiting, views, cold_allowed=True) is None
    views[0] = busy._replace(ready_in=8.0)
    assert _planner(demand, engine, views).best_swap(waiting, views, cold_allowed=True)
