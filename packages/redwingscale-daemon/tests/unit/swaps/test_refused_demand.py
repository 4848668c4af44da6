"""Requests that are refused at once still cause a load, and unserved units are announced."""

import threading

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

from .conftest import SERVICE, upstream, view


@pytest.fixture
def demand(clock):
    made = Demand()
    made._refused._clock = clock
    return made


def news(model, arrivals, *, waiting=0, refused=0, max_wait=5.0):
    entry = DemandEntry(
        SERVICE, model, "", arrivals, waiting, max_wait, refused=refused, refused_wait_seconds=max_wait
    )  # fmt: skip
    return InstanceUpdate("i1", [entry], [], [], [])


def best_swap(demand, engine, views):
    found = ServiceViews(None, None, demand, dict)
    missing = found.missing_models(SERVICE, engine, views, NO_TOTALS)
    return Planner(SERVICE, engine, demand).best_swap(missing, views, cold_allowed=True)


def test_load_is_planned_for_refused_requests_as_for_waiting_ones(demand, engine):
    # Guards against a model that never gets a holder because all its requests are refused.
    views, other = [view("u0", "a", "b", on_disk=("c",))], Demand()
    demand.receive(news("c", 2, refused=2))
    other.receive(news("c", 2, waiting=2))
    swap = best_swap(demand, engine, views)
    assert swap is not None
    assert swap == best_swap(other, engine, views)


def test_refused_demand_is_remembered_for_four_seconds(demand, clock):
    demand.receive(news("c", 2, refused=2))
    clock.now += 3.9
    [wanted] = demand.wanted()
    assert (wanted.unit, wanted.requests) == (Unit("c"), 2)
    assert wanted.max_wait_seconds == pytest.approx(1.1)
    clock.now += 0.2
    assert demand.wanted() == []


def test_rare_model_is_loaded_at_some_time(demand, engine, clock):
    # One request each three seconds, refused at once: the requests alone never pay off a load
    # from the weight store, and none of them waits.
    views, seconds = [view("u0", "a", "b")], 0
    while best_swap(demand, engine, views) is None:
        if seconds % 3 == 0:
            demand.receive(news("c", 1, refused=1))
        clock.now += 1.0
        seconds += 1
        assert seconds <= 30
    assert seconds > 1
    demand.note_resident(SERVICE, {"c"})
    assert demand.missing_seconds(SERVICE, "c", resident=False) == 0.0


def test_unserved_units_are_listed_until_a_load_is_planned(clock):
    unserved, views = UnservedUnits(clock), [view("u0", "a", "b", loading="e")]
    units = [Unit("c"), Unit("a", "x"), Unit("d", "y"), Unit("e")]
    wanted = [WaitingUnit(SERVICE, unit, 1, 5.0) for unit in units]
    unserved.note_plan(wanted, views, complete=False)
    assert unserved.listed(periodic=True) == []
    unserved.note_plan(wanted, views, complete=True)
    # The adapter of a resident model is loaded without a swap.
    assert sorted(unserved.listed(periodic=False)) == ["c", "d/y"]
    assert unserved.listed(periodic=False) == []
    clock.now += 0.9
    unserved.note_plan(wanted[:1], [view("u0", "a", loading="c")], complete=False)
    assert unserved.listed(periodic=True) == ["d/y"]
    clock.now += 0.2
    assert unserved.listed(periodic=True) == []


class Server:
    def publish(self, update):
        return 0


@pytest.fixture
def make_leader(engine, worker):
    """Return a function that makes the leader of one worker, whose report takes long."""
    ended = threading.Event()
    worker.report = lambda _: ended.wait(5.0) and None

    def make(**options):
        routes, fleet = CurrentRoutes(), new_fleet()
        route = Route("r", "h", "/", Idempotency.STREAM, 4.0, 0.5, 1, (), 2, False, 0.4)
        services = {SERVICE: ServiceRule(SERVICE, 100, engine)}
        routes.offer(RouteTable(1, [route], services, IngressLimits(1, 1, 1.0, 1.0)))
        fleet.directory.replace([upstream("u0", "a", "b")])
        read = StoreUpdate(1, ListUpdate([], [], 0.0, 0, 0), 1, 0.0)
        made = Leader(
            OrderAuthority("i0", lambda: 7), routes, fleet.directory, worker, Server(),
            LoadCeiling(0.0, 5.0), lambda _: read, **options,
        )  # fmt: skip
        # Busy models, so that a single request for another one does not pay off a cold load.
        made.receive(news("a", 80))
        made.receive(news("b", 80))
        made.receive(news("c", 1, waiting=1))
        return made

    yield make
    ended.set()


def test_unserved_unit_is_announced_until_refused_demand_causes_its_load(make_leader):
    leader = make_leader(ordered_return=lambda _: True)
    assert leader.step().unplanned == ["c"]
    leader.receive(news("c", 200, refused=200, max_wait=12.0))
    update = leader.step()
    assert (update.unplanned, list(update.ready_in)) == ([], ["c"])


def test_leader_announces_nothing_with_the_feature_off(make_leader):
    assert make_leader().step().unplanned == []
