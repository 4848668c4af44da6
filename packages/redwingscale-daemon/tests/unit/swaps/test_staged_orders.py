"""The leader's staged loads, from the upstream list to the orders."""

import pytest
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route, WeightedService
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import ServiceRule
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_daemon._internal.swaps.copy_plans import CopySettings
from redwingscale_daemon._internal.swaps.leader import Leader
from redwingscale_daemon._internal.swaps.load_rate import LoadCeiling
from redwingscale_daemon._internal.swaps.messages import (
    DemandEntry,
    InstanceUpdate,
    StoreUpdate,
)
from redwingscale_daemon._internal.swaps.worker_orders import OrderAuthority

from .conftest import SERVICE, until, upstream
from .test_leader_updates import Server

COLD_SECONDS = 9.0


@pytest.fixture
def staged():
    return []


@pytest.fixture
def slow_engine(engine):
    """Loads from the weight store outlast demand."""
    models = {
        name: rule._replace(cold_seconds=COLD_SECONDS)
        for name, rule in engine.models_by_name.items()
    }
    return engine._replace(models_by_name=models, disk_copies_mb=500.0, memory_copies_mb=70.0)


def new_leader(engine, worker, staged, mode=Mode.AUTO):
    routes, fleet = CurrentRoutes(), new_fleet()
    route = Route(
        "r", "h", "/", Idempotency.STREAM, 5.0, 1.0, 0, (WeightedService(SERVICE, 1.0),),
        2, False, 0.4,
    )  # fmt: skip
    services = {SERVICE: ServiceRule(SERVICE, 100, engine)}
    routes.offer(RouteTable(1, (route,), services, IngressLimits(1000, 1000, 1.0, 1.0)))
    fleet.directory.replace([upstream("u0", "a")])
    return Leader(
        OrderAuthority("i0", lambda: 7),
        routes,
        fleet.directory,
        worker,
        Server(),
        LoadCeiling(0.0, 5.0),
        lambda changes: StoreUpdate(1, changes.make_update(fleet.directory, 0.1), 1, 0.1),
        copies=CopySettings(mode, mode, staged.append),
    )


def test_model_at_no_worker_is_loaded_before_traffic(slow_engine, worker, staged):
    leader = new_leader(slow_engine, worker, staged)
    leader.step()
    assert staged == ["no_copy"]
    assert until(lambda: worker.orders)
    leader.step()
    assert staged == ["no_copy"]


@pytest.mark.parametrize("mode", [Mode.OFF, Mode.AUTO])
def test_nothing_is_staged_where_the_feature_is_off(engine, slow_engine, worker, staged, mode):
    # In mode AUTO, loads of this engine are short enough for the demand that causes them.
    leader = new_leader(engine if mode is Mode.AUTO else slow_engine, worker, staged, mode)
    leader.step()
    assert not staged
    assert not worker.orders


def test_no_other_model_is_staged_while_one_is_awaited(slow_engine, worker, staged):
    # Guards against a load for nobody that occupies the worker while a request waits.
    leader = new_leader(slow_engine, worker, staged)
    entry = DemandEntry(SERVICE, "h", "", 1, 1, 5.0)
    leader.receive(InstanceUpdate("i1", [entry], [], [], []))
    leader.step()
    assert until(lambda: worker.orders)
    assert worker.orders[0].action.unit.model == "h"


def test_requested_model_is_loaded_although_nobody_waits(slow_engine, worker, staged):
    # Requests for a model without a holder and without a planned load are refused at once.
    leader = new_leader(slow_engine, worker, staged)
    for _ in range(4):
        entry = DemandEntry(SERVICE, "h", "", 5, 0, 0.0)
        leader.receive(InstanceUpdate("i1", [entry], [], [], []))
    leader.step()
    assert not staged
    assert until(lambda: worker.orders)
    assert worker.orders[0].action.unit.model == "h"
