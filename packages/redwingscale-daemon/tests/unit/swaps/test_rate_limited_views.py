"""Planning for upstreams with a rate limit."""

import pytest
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.instance_totals import NO_TOTALS
from redwingscale_daemon._internal.swaps.messages import DemandEntry, InstanceUpdate
from redwingscale_daemon._internal.swaps.rate_limited_views import limit_resident_models
from redwingscale_daemon._internal.swaps.service_views import ServiceViews
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

RATES_BY_MODEL = {"busy": 4.0, "light": 0.5, "rare": 0.1, "shared": 2.0}


def view(name, **resident):
    upstream = Upstream(
        name, "llm", "127.0.0.1", 1, "z1", 64, False, None, {}, frozenset(), frozenset()
    )
    return WorkerView(upstream, resident, True, "", {}, 0, 0, {})


@pytest.fixture
def views():
    none = frozenset()
    return [
        view("unlimited", shared=none),
        view("w", busy=none, light=none, rare=none, shared=none),
    ]


def planned(views, rates_by_id, waiting=()):
    made = limit_resident_models(views, rates_by_id, RATES_BY_MODEL.__getitem__, waiting)
    return {one.upstream.id: (sorted(one.resident), one.free) for one in made}


def test_busy_models_of_a_rate_limited_upstream_count_as_missing(views):
    # Guards against a busy model that stays behind a limit within which a rare one could be
    # served.
    assert planned(views, {"w": 1.0}) == {
        "unlimited": (["shared"], True),
        "w": (["light", "rare"], False),
    }


def test_model_with_requests_waiting_for_its_adapter_counts_as_missing(views):
    # Guards against an adapter that is never loaded since its model's holder gets no orders.
    assert planned(views, {"w": 1.0}, [Unit("rare", "a1")])["w"] == (["light"], False)


def test_views_are_unchanged_if_all_upstreams_have_limits(views):
    # Guards against a service that is not planned for while all its upstreams have limits.
    rates = {"w": 1.0, "unlimited": 1.0}
    assert planned(views, rates)["w"] == (["busy", "light", "rare", "shared"], True)


def missing(rates_by_id, views, totals=NO_TOTALS):
    demand = Demand()
    refused = DemandEntry("llm", "busy", "", 8, 0, 0.0, overloads=8)
    demand.receive(InstanceUpdate("i0", [refused], [], [], []))
    engine = EngineRule(64, 100_000, 200.0, 8, 1.0, dict.fromkeys(RATES_BY_MODEL))
    found = ServiceViews(None, None, demand, lambda: rates_by_id).missing_models(
        "llm", engine, views, totals
    )
    return [one.unit.model for one in found]


def test_model_whose_requests_are_refused_at_once_counts_as_missing(views):
    # Guards against a model that is loaded nowhere since none of its requests wait.
    limited = limit_resident_models(views, {"w": 1.0}, RATES_BY_MODEL.__getitem__, ())
    assert missing({"w": 1.0}, limited) == ["busy"]
    assert missing({}, views) == []
    assert missing({}, views[:1], NO_TOTALS._replace(rejecting={"w"})) == ["busy"]
