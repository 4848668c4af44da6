"""Which route a request takes, and which version of the table is in force."""

import random

import pytest
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route, WeightedService
from redwingscale_daemon._internal.routes.route_table import (
    IngressLimits,
    RouteTable,
    draw_service,
)

LIMITS = IngressLimits(1000, 1000, 1.0, 1.0)


def route(prefix, **changes):
    base = Route(
        prefix, "a.example", prefix, Idempotency.IDEMPOTENT, 1.0, 0.1, 0,
        (WeightedService("s", 1.0),), 1, False, 0.0,
    )  # fmt: skip
    return base._replace(**changes)


def table(version, *prefixes):
    return RouteTable(version, [route(prefix) for prefix in prefixes], {}, LIMITS)


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/a/b/c", "/a/b/"),
        ("/a/b/", "/a/b/"),
        ("/a/b", "/a/"),
        ("/x", "/"),
        ("/a//b/", "/a/"),
        ("/a/%62/", "/a/"),
    ],
)
def test_longest_prefix_wins(path, name):
    assert table(1, "/", "/a/", "/a/b/").find("a.example", path).name == name


def test_other_host_has_no_route():
    assert table(1, "/").find("b.example", "/") is None


def test_older_version_is_ignored():
    # Guards against a read that began before a change of a route and is answered late: the
    # old table would return, and requests would reach the former service.
    current = CurrentRoutes()
    assert current.offer(table(7, "/"))
    assert not current.offer(table(6, "/"))
    assert current.get().version == 7


def test_services_are_drawn_by_weight():
    split = route("/", services=(WeightedService("a", 90), WeightedService("b", 10)))
    source = random.Random(1)
    drawn = [draw_service(split, source) for _ in range(2000)]
    assert 150 < drawn.count("b") < 250


@pytest.mark.parametrize(
    ("kind", "resumable", "repeatable"),
    [
        (Idempotency.IDEMPOTENT, False, True),
        (Idempotency.AT_MOST_ONCE, True, False),
        (Idempotency.STREAM, False, False),
        (Idempotency.STREAM, True, True),
    ],
)
def test_repeatable_requests(kind, resumable, repeatable):
    assert route("/", idempotency=kind, resumable=resumable).repeatable is repeatable
