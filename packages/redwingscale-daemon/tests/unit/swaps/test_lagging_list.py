"""Plans of a leader whose list of upstreams lags behind what the workers hold."""

import math

import pytest
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route, WeightedService
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import ServiceRule
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_daemon._internal.swaps import worker_orders
from redwingscale_daemon._internal.swaps.leader import Leader
from redwingscale_daemon._internal.swaps.load_rate import LoadCeiling
from redwingscale_daemon._internal.swaps.messages import DemandEntry, InstanceUpdate, StoreUpdate
from redwingscale_daemon._internal.swaps.order import Load
from redwingscale_daemon._internal.swaps.worker_orders import OrderAuthority

from .conftest import SERVICE, ScriptedWorker, Workers, until, upstream

NOTHING_READ = StoreUpdate(1, ListUpdate([], [], 0.0, 0, 0), 1, 0.0)


class Server:
    def publish(self, update):
        return 0


class Led:
    """A new leader, its three workers, and the updates that it has sent."""

    def __init__(self, engine, listed, resident):
        self.workers = {key: ScriptedWorker(models) for key, models in resident.items()}
        routes = CurrentRoutes()
        services = {SERVICE: ServiceRule(SERVICE, 100, engine)}
        shares = (WeightedService(SERVICE, 1.0),)
        route = Route("r", "h", "/", Idempotency.STREAM, 9.0, 1.0, 1, shares, 2, True, 4.0)
        routes.offer(RouteTable(1, [route], services, IngressLimits(1000, 1000, 1.0, 1.0)))
        fleet = new_fleet()
        fleet.directory.replace([upstream(key, *models) for key, models in listed.items()])
        self.leader = Leader(
            OrderAuthority("i0", lambda: 7), routes, fleet.directory, Workers(self.workers),
            Server(), LoadCeiling(0.0, 5.0), lambda _: NOTHING_READ, lost_swaps=Mode.ON,
        )  # fmt: skip
        self.updates = []

    def receive(self, waiting=(), **fields):
        demand = [DemandEntry(SERVICE, name, "", 1, 9, 20.0) for name in waiting]
        self.leader.receive(InstanceUpdate("i1", demand, [], [], [], **fields))

    def step(self):
        update = self.leader.step()
        if update is not None:
            self.updates.append(update)
        return update

    def orders(self):
        return {key: [one.action for one in w.orders] for key, w in self.workers.items()}

    def steps_until(self, condition, **update):
        def step():
            self.receive(**update)
            self.step()
            return condition()

        return until(step)


@pytest.fixture
def engine(engine):
    """A service whose weight store limits no load."""
    return engine._replace(cold_loads_per_second=math.inf)


LISTED = {"u0": "ab", "u1": "cd", "u2": "ef"}


def test_new_leader_plans_by_the_reports_of_its_workers(engine):
    # Since the list was written, u1 has unloaded the requested model for another one and u2 has
    # room. By the list, nothing is to be done, and no worker has room.
    led = Led(engine, LISTED, {"u0": "ab", "u1": "cg", "u2": "e"})
    assert led.steps_until(lambda: any(led.orders().values()), waiting=["d"])
    assert led.orders() == {"u0": [], "u1": [], "u2": [Load(Unit("d"))]}
    # The first update that instances receive has what was reported, not what is listed.
    resident = {one.upstream: set(one.adapters_by_model) for one in led.updates[0].residency}
    assert resident == {"u0": set("ab"), "u1": set("cg"), "u2": {"e"}}


def test_worker_that_refuses_a_request_is_read_again(engine):
    # A worker has lost a model that the leader believes to be resident there: its answer 421 is
    # the first evidence, and requests for the model would be sent there for ever.
    led = Led(engine, LISTED, {"u0": "ab", "u1": "cd", "u2": "ef"})
    assert led.steps_until(lambda: led.updates)
    del led.workers["u1"].resident["d"]
    led.receive(misdirected=["u1"])
    assert led.steps_until(lambda: any(led.orders().values()), waiting=["d"])
    assert led.orders() == {"u0": [], "u1": [Load(Unit("d"))], "u2": []}


def test_model_is_planned_elsewhere_once_its_worker_is_cut_off(engine, monkeypatch):
    # u2 has room, and is cut off just after it has accepted the load.
    monkeypatch.setattr(worker_orders, "LOAD_CHECK_SECONDS", 0.02)
    listed = {"u0": "ab", "u1": "ac", "u2": "e"}
    led = Led(engine, listed, listed)
    cut_off = led.workers["u2"]
    accept = cut_off.order

    def accept_and_vanish(upstream, order):
        cut_off.reachable = False
        return accept(upstream, order)

    cut_off.order = accept_and_vanish
    assert led.steps_until(lambda: cut_off.orders, waiting=["d"])
    others = [led.workers["u0"], led.workers["u1"]]
    assert led.steps_until(
        lambda: any(Load(Unit("d")) in [one.action for one in w.orders] for w in others),
        waiting=["d"],
    )
    assert [one.action for one in cut_off.orders] == [Load(Unit("d"))]
