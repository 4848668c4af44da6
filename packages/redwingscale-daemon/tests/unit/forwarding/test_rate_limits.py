"""Requests for upstreams with a rate limit."""

import threading

import pytest
from redwingscale_daemon._internal.fleet.rate_limit_messages import PermitEntry

from .conftest import events, head, sized


def advertising(rate):
    """Return a script that sends a complete response with the rate limit ``rate``."""

    def script(connection, received):
        lines = ("Content-Length: 2", f"Server-Limit: {rate}")
        connection.sendall(head(received, "200 OK", *lines) + b"ok")

    return script


def issue(world, upstream, waiting=0, permits=0):
    world.rates.receive([PermitEntry(upstream, 1.0, 0.0, waiting, {"": permits})])
    world.changes.notify()


def test_limit_in_a_response_is_stored_and_passed_on(world):
    world.add("plain", advertising(2.5))
    assert world.request("/safe/").headers["Server-Limit"] == "2.5"
    assert world.rates.per_second("u0") == 2.5


@pytest.mark.parametrize("malformed", ["many", "-1", "nan", ""])
def test_malformed_limit_is_ignored(world, malformed):
    # Guards against a header that takes an upstream out of use forever.
    world.add("plain", advertising(malformed))
    assert world.request("/safe/").status == 200
    assert world.rates.per_second("u0") is None


def test_request_goes_to_an_upstream_without_a_limit(world):
    # Guards against requests that wait for a limited upstream while another one is free.
    world.add("plain", sized(b"first"))
    world.add("plain", sized(b"second"))
    world.rates.note_limit("u0", 1.0, "answer")
    assert {world.request("/safe/").body for _ in range(5)} == {b"second"}


@pytest.mark.parametrize(("path", "model"), [("/safe/", None), ("/stream/", "m")])
def test_request_waits_for_its_turn(world, path, model):
    # Guards against refusing requests that a limited upstream accepts in time.
    world.add("plain", sized(b"ok"))
    world.add("llm", events(1, 2))
    for upstream in ("u0", "u1"):
        world.rates.note_limit(upstream, 1.0, "answer")
    issued = threading.Timer(0.3, lambda: [issue(world, key, permits=1) for key in ("u0", "u1")])
    issued.start()
    assert world.request(path, model=model).status == 200
    assert len(world.log) == 1


@pytest.mark.parametrize(("path", "model"), [("/safe/", None), ("/stream/", "m")])
def test_request_behind_a_queue_that_takes_too_long_is_refused_at_once(world, path, model):
    # Guards against requests that wait until their deadline and are then refused.
    world.add("plain", sized(b"ok"))
    world.add("llm", events(1, 2))
    for upstream in ("u0", "u1"):
        world.rates.note_limit(upstream, 1.0, "answer")
        issue(world, upstream, waiting=30)
    response = world.request(path, model=model)
    assert response.status == 503
    assert float(response.headers["Retry-After"]) == 30.0
    assert b"upstream_rate_limited" in response.body
    assert not world.log


def test_one_permit_allows_one_request(world):
    # Guards against two requests that use the same permit.
    world.add("plain", advertising(1.0))
    world.rates.note_limit("u0", 1.0, "answer")
    issue(world, "u0", permits=1)
    statuses = []
    callers = [
        threading.Thread(target=lambda: statuses.append(world.request("/brief/").status))
        for _ in range(4)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert sorted(statuses) == [200, 503, 503, 503]
    assert len(world.log) == 1
