"""Requests that are refused at once still cause a load, and unserved units are announced."""

import threading
import time

import pytest
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import ServiceRule
from redwingscale_daemon._internal.swaps.demand import Demand, WaitingUnit
from redwingscale_daemon._internal.swaps.instance_totals import NO_TOTALS
from redwingscale_daemon._internal.swaps.leader import Leader
from redwingscale_daemon._internal.swaps.load_rate import LoadCeiling
from redwingscale_daemon._internal.swaps.messages import DemandEntry, InstanceUpdate, StoreUpdate
from redwingscale_daemon._internal.swaps.planner import Planner
from redwingscale_daemon._internal.swaps.service_views import ServiceViews
from redwingscale_daemon._internal.swaps.unserved_units import UnservedUnits
from redwingscale_daemon._internal.swaps.worker_orders import OrderAuthority

from .conftest import COLD, SERVICE, upstream, view


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(time, "monotonic", made)
    return made


@pytest.fixture
def demand(clock):
    made = Demand()
    made._refused._clock = clock
    return made


def refused(model, count=1, max_wait=5.0):
    entry = DemandEntry(SERVICE, model, "", count, 0, 0.0, 0, 1.0, count, max_wait)
    return InstanceUpdate("i1", [entry], [], [], [])


def waiting(model):
    return InstanceUpdate("i1", [DemandEntry(SERVICE, model, "", 1, 1, 5.0)], [], [], [])


def best_swap(demand, engine, views):
    missing = ServiceViews(None, None, demand, dict).missing_models(
        SERVICE, engine, views, NO_TOTALS
    )
    return Planner(SERVICE, engine, demand).best_swap(missing, views, cold_allowed=True)


def test_load_is_planned_for_refused_requests_as_for_waiting_ones(demand, engine, clock):
    # Guards against a model that never gets a holder because all its requests are refused.
    views = [view("u0", "a", "b", on_disk=("c",))]
    demand.receive(refused("c", 2))
    swap = best_swap(demand, engine, views)
    other = Demand()
    entry = DemandEntry(SERVICE, "c", "", 2, 2, 5.0)
    other.receive(InstanceUpdate("i1", [entry], [], [], []))
    assert swap is not None
    assert swap == best_swap(other, engine, views)


def test_refused_demand_is_remembered_for_four_seconds(demand, clock):
    demand.receive(refused("c", 2))
    clock.now += 3.9
    [wanted] = demand.wanted()
    assert (wanted.unit, wanted.requests) == (Unit("c"), 2)
    assert wanted.max_wait_seconds == pytest.approx(1.1)
    clock.now += 0.2
    assert demand.wanted() == []


def test_rare_model_is_loaded_at_some_time(demand, engine, clock):
    # One request each three seconds, refused at once: the requests alone never pay off a load
    # from the weight store, and none of them waits.
    views = [view("u0", "a", "b")]
    planned_after = None
    for second in range(60):
        if second % 3 == 0:
            demand.receive(refused("c"))
        demand.receive(InstanceUpdate("i2", [], [], [], []))
        if best_swap(demand, engine, views) is not None:
            planned_after = second
            break
        clock.now += 1.0
    assert planned_after is not None
    assert 0 < planned_after <= 30
    demand.note_resident(SERVICE, {"c"})
    assert demand.missing_seconds(SERVICE, "c", resident=False) == 0.0


def wanted(name):
    unit = Unit(*name.split("/"))
    return WaitingUnit(SERVICE, unit, 1, 5.0)


def test_unserved_units_are_listed_until_a_load_is_planned(clock):
    unserved = UnservedUnits(clock)
    units = [wanted("c"), wanted("a/x"), wanted("d/y"), wanted("e")]
    views = [view("u0", "a", "b", loading="e")]
    unserved.note_plan(units, views, complete=False)
    assert unserved.listed(periodic=True) == []
    unserved.note_plan(units, views, complete=True)
    # The adapter of a resident model is loaded without a swap.
    assert sorted(unserved.listed(periodic=False)) == ["c", "d/y"]
    assert unserved.listed(periodic=False) == []
    clock.now += 0.9
    unserved.note_plan([wanted("c")], [view("u0", "a", loading="c")], complete=False)
    assert unserved.listed(periodic=True) == ["d/y"]
    clock.now += 0.2
    assert unserved.listed(periodic=True) == []


@pytest.fixture
def make_leader(engine, worker):
    """Return a function that makes the leader of one worker, whose report takes long."""
    ended = threading.Event()
    worker.report = lambda _: ended.wait(5.0) and None

    def make(**options):
        routes = CurrentRoutes()
        route = Route("r", "h", "/", Idempotency.STREAM, 4.0, 0.5, 1, (), 2, False, 0.4)
        services = {SERVICE: ServiceRule(SERVICE, 100, engine)}
        routes.offer(RouteTable(1, [route], services, IngressLimits(1, 1, 1.0, 1.0)))
        fleet = new_fleet()
        fleet.directory.replace([upstream("u0", "a", "b")])
        nothing_read = StoreUpdate(1, ListUpdate([], [], 0.0, 0, 0), 1, 0.0)
        made = Leader(
            OrderAuthority("i0", lambda: 7), routes, fleet.directory, worker, Server(),
            LoadCeiling(0.0, 5.0), lambda _: nothing_read, **options,
        )  # fmt: skip
        # Busy models, so that a single request for another one does not pay off a cold load.
        entries = [DemandEntry(SERVICE, name, "", 80, 0, 0.0) for name in "ab"]
        made.receive(InstanceUpdate("i1", entries, [], [], []))
        return made

    yield make
    ended.set()


class Server:
    def publish(self, update):
        return 0


def test_leader_announces_units_without_a_planned_load(make_leader):
    leader = make_leader(ordered_return=lambda _: True)
    leader.receive(waiting("c"))
    assert leader.step().unplanned == ["c"]
    # Its next request is refused at once, and still counts as demand.
    leader.receive(refused("c"))
    assert [one.requests for one in leader._demand.wanted()] == [1.0]


def test_leader_announces_nothing_with_the_feature_off(make_leader):
    leader = make_leader()
    leader.receive(waiting("c"))
    assert leader.step().unplanned == []


def test_load_for_refused_demand_takes_the_unit_off_the_list(make_leader):
    leader = make_leader(ordered_return=lambda _: True)
    leader.receive(waiting("c"))
    assert leader.step().unplanned == ["c"]
    leader.receive(refused("c", 200, COLD * 2))
    update = leader.step()
    assert (update.unplanned, list(update.ready_in)) == ([], ["c"])
