"""Which model is loaded, and which models are evicted for it."""

import time

import pytest
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.adapter_choice import choose_worker
from redwingscale_daemon._internal.swaps.demand import Demand, WaitingUnit
from redwingscale_daemon._internal.swaps.planner import Planner
from redwingscale_daemon._internal.swaps.room import load_time, used_mb

from .conftest import SERVICE, overload_update, update, view


@pytest.fixture
def demand():
    return Demand()


@pytest.fixture
def planner(engine, demand):
    return Planner(SERVICE, engine, demand)


def waiting(name, requests=1, max_wait=11.0):
    return WaitingUnit(SERVICE, Unit(name), requests, max_wait)


def test_free_room_is_used_first(planner):
    swap = planner.swap_for(
        waiting("c", 9), [view("u0", "a", "b"), view("u1", "a")], cold_allowed=True
    )
    assert (swap.view.upstream.id, swap.evicted) == ("u1", ())


def test_spare_copy_is_evicted_before_the_only_one(planner, demand):
    demand.receive(update(a=1, b=1))
    views = [view("u0", "a", "b"), view("u1", "a", "d")]
    swap = planner.swap_for(waiting("c", 9), views, cold_allowed=True)
    assert swap.evicted == ("a",)


def test_local_copy_is_loaded_before_one_from_the_weight_store(planner):
    views = [view("u0", "a"), view("u1", "a", on_disk=["c"]), view("u2", "a", in_memory=["c"])]
    swap = planner.swap_for(waiting("c", 3), views, cold_allowed=False)
    assert (swap.view.upstream.id, swap.cold) == ("u2", False)


def test_busy_model_is_never_dropped_for_a_rare_one(planner, demand):
    # Guards against one request for a rare model that evicts a model with several requests per
    # second: all its callers would wait for its load.
    for _ in range(8):
        demand.receive(update(a=10, b=10))
    assert planner.swap_for(waiting("c"), [view("u0", "a", "b")], cold_allowed=True) is None


def test_idle_rare_model_is_evicted(planner, demand):
    demand.receive(update(a=1))
    demand.receive(update(b=40))
    swap = planner.swap_for(waiting("c", 8), [view("u0", "a", "b")], cold_allowed=True)
    assert swap.evicted == ("a",)


def test_load_that_ends_after_the_max_wait_gains_nothing(planner):
    hopeless = waiting("c", 2, max_wait=2.0)
    assert planner.swap_for(hopeless, [view("u0", "a", "b")], cold_allowed=True) is None


def test_worker_with_an_order_in_flight_gets_no_swap(planner):
    assert (
        planner.swap_for(waiting("c", 9), [view("u0", "a", free=False)], cold_allowed=True) is None
    )


def test_ceiling_of_the_weight_store_is_respected(planner):
    assert planner.swap_for(waiting("c", 9), [view("u0", "a")], cold_allowed=False) is None


def test_model_without_requests_is_evicted_in_time(planner, demand, monkeypatch):
    # Two models without requests fill the worker, and a third is requested now and then: it would
    # wait for ever if demand for the others were always expected.
    views = [view("u0", "a", "b")]
    demand.receive(update(c=1))
    assert planner.swap_for(waiting("c", 3), views, cold_allowed=True) is None
    real = time.monotonic
    monkeypatch.setattr(time, "monotonic", lambda: real() + 60.0)
    demand.receive(update(c=1))
    assert planner.swap_for(waiting("c", 5), views, cold_allowed=True) is not None


def test_rare_model_is_not_starved(planner, demand, monkeypatch):
    # A model is requested once in ten seconds, and no worker has a local copy: by its requests
    # alone its load never pays off, and its callers would never be served.
    views = [view("u0", "a", "b")]
    demand.receive(update(a=1, b=1))
    real = time.monotonic
    for later, served in ((0.0, False), (10.0, False), (30.0, True)):
        monkeypatch.setattr(time, "monotonic", lambda later=later: real() + later)
        demand.receive(update(c=1))
        assert (planner.swap_for(waiting("c"), views, cold_allowed=True) is not None) is served


def test_memory_is_never_overfilled(planner, engine):
    swap = planner.swap_for(waiting("c", 20), [view("u0", "a", "b")], cold_allowed=True)
    stay = {name: frozenset() for name in ("a", "b") if name not in swap.evicted}
    assert used_mb(engine, stay) + 70.0 <= engine.weights_mb


def test_unknown_model_in_memory_counts_as_the_largest(engine):
    assert used_mb(engine, {"from-elsewhere": frozenset()}) == 70.0


def test_coverage_evicts_spare_copies_only(planner):
    spare = [view("u0", "a", "b"), view("u1", "a", "c"), view("u2", "a", "d", on_disk=["e"])]
    assert planner.coverage_swap(spare, cold_allowed=True).evicted == ("a",)
    single = [view("u0", "a", "b"), view("u1", "c", "d", on_disk=["e"])]
    assert planner.coverage_swap(single, cold_allowed=True) is None


def test_initial_copies_are_kept_until_demand_is_observed(planner, demand):
    demand.note_initial_copies(SERVICE, {"a": 2, "b": 1, "c": 1})
    views = [view("u0", "a", "b"), view("u1", "a", "c", on_disk=["e"])]
    assert planner.coverage_swap(views, cold_allowed=True) is None


def test_overloaded_model_gets_another_copy(planner, demand):
    for _ in range(10):
        demand.receive(update(a=10))
    views = [view("u0", "a", "b", prompt_tokens=20_000), view("u1", "c")]
    swap = planner.extra_copy_swap(views, cold_allowed=True)
    assert (swap.model.name, swap.view.upstream.id) == ("a", "u1")


def test_load_time_depends_on_local_copies(engine):
    rule = engine.models_by_name["a"]
    assert load_time(rule, view("u", in_memory=["a"], on_disk=["a"])) == (0.5, False)
    assert load_time(rule, view("u", on_disk=["a"])) == (1.2, False)
    assert load_time(rule, view("u")) == (6.0, True)


def test_adapter_is_loaded_where_a_slot_is_free(engine):
    full = view("u0", "a")._replace(resident={"a": frozenset({"x", "y"})})
    chosen = choose_worker(Unit("a", "z"), [full, view("u1", "a")], engine.adapter_slots)
    assert chosen.upstream.id == "u1"


def test_adapter_in_use_is_never_evicted(engine):
    # An order to unload an adapter in use is accepted and waits for the end of its requests: the
    # worker accepts no other order for seconds, while new requests arrive.
    used = {Unit("a", "x"): 1, Unit("a", "y"): 2}
    full = view("u0", "a")._replace(resident={"a": frozenset({"x", "y"})}, open_by_unit=used)
    assert choose_worker(Unit("a", "z"), [full], engine.adapter_slots) is None
    idle = full._replace(open_by_unit={Unit("a", "x"): 1})
    assert choose_worker(Unit("a", "z"), [idle], engine.adapter_slots) is idle
    assert idle.idle_adapters() == [Unit("a", "y")]


def test_model_with_running_requests_is_evicted_last(planner):
    views = [view("u0", "a", "b")._replace(open_by_unit={Unit("a", "x"): 20})]
    assert planner.swap_for(waiting("c", 12), views, cold_allowed=True).evicted == ("b",)


def test_extra_copy_of_an_overloaded_model_precedes_a_rare_one(planner, demand):
    # A model has twenty requests per second and most are refused, since its one holder is full. If
    # one request for a rare model came first each time a worker is free, the busy model would keep
    # one holder for as long as that lasts.
    for _ in range(10):
        demand.receive(overload_update("a", arrivals=5, overloads=4))
    views = [view("u0", "a", "b", free=False), view("u1", "c", "d")]
    swap = planner.best_swap([waiting("e")], views, cold_allowed=True)
    assert swap.model.name == "a"
    assert planner.best_swap([waiting("e", 9)], views[:1], cold_allowed=True) is None


def test_model_that_a_request_waits_for_precedes_one_without_requests(planner):
    # The process has just started, and all models are equally likely to be requested. The free
    # room must go to the one that a request waits for already.
    swap = planner.best_swap(
        [waiting("f")], [view("u0", "a", in_memory=["c", "f"])], cold_allowed=True
    )
    assert swap.model.name == "f"


def test_model_without_overload_gets_no_extra_copy(planner, demand):
    for _ in range(10):
        demand.receive(update(a=2, b=2))
    views = [view("u0", "a", "b"), view("u1", "a", "b"), view("u2", "c", "d")]
    assert planner.best_swap([], views, cold_allowed=True) is None


def test_rate_falls_as_soon_as_requests_end(demand, monkeypatch):
    # Guards against a load for demand that has moved away: it takes six seconds, and no request is
    # left to be served.
    for _ in range(10):
        demand.receive(update(a=10))
    busy = demand.model_rate(SERVICE, "a")
    real = time.monotonic
    monkeypatch.setattr(time, "monotonic", lambda: real() + 4.0)
    assert demand.model_rate(SERVICE, "a") < busy / 2
    demand.receive(update(a=10))
    assert demand.model_rate(SERVICE, "b") == 0.0
