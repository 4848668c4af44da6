"""Requests for upstreams with a rate limit."""

import threading

import pytest
from redwingscale_daemon._internal.fleet.rate_limit_messages import PermitEntry

from .conftest import events, head, sized


def advertising(rate):
    """A script: a whole answer that names ``rate``."""

    def script(connection, received):
        lines = ("Content-Length: 2", f"Server-Limit: {rate}")
        connection.sendall(head(received, "200 OK", *lines) + b"ok")

    return script


def issue(world, upstream, waiting=0, permits=0):
    world.rates.receive([PermitEntry(upstream, 1.0, 0.0, waiting, {"": permits})])
    world.changes.notify()


def test_limit_that_an_answer_advertises_is_kept_and_passed_on(world):
    world.add("plain", advertising(2.5))
    assert world.ask("/safe/").headers["Server-Limit"] == "2.5"
    assert world.rates.per_second("u0") == 2.5


@pytest.mark.parametrize("malformed", ["many", "-1", "nan", ""])
def test_malformed_limit_is_none(world, malformed):
    # Guards against a header that takes an upstream out of use for ever.
    world.add("plain", advertising(malformed))
    assert world.ask("/safe/").status == 200
    assert world.rates.per_second("u0") is None


def test_request_goes_to_an_upstream_without_a_limit(world):
    # Guards against requests that wait for an upstream with a limit beside a free one.
    world.add("plain", sized(b"first"))
    world.add("plain", sized(b"second"))
    world.rates.note_limit("u0", 1.0, "answer")
    assert {world.ask("/safe/").body for _ in range(5)} == {b"second"}


@pytest.mark.parametrize(("path", "model"), [("/safe/", None), ("/stream/", "m")])
def test_request_waits_for_its_turn(world, path, model):
    # Guards against requests that are refused although an upstream with a limit takes them in time.
    world.add("plain", sized(b"ok"))
    world.add("llm", events(1, 2))
    for upstream in ("u0", "u1"):
        world.rates.note_limit(upstream, 1.0, "answer")
    issued = threading.Timer(0.3, lambda: [issue(world, key, permits=1) for key in ("u0", "u1")])
    issued.start()
    assert world.ask(path, model=model).status == 200
    assert len(world.log) == 1


@pytest.mark.parametrize(("path", "model"), [("/safe/", None), ("/stream/", "m")])
def test_request_behind_a_queue_that_takes_too_long_is_refused_at_once(world, path, model):
    # Guards against callers that are held until their deadline and then refused.
    world.add("plain", sized(b"ok"))
    world.add("llm", events(1, 2))
    for upstream in ("u0", "u1"):
        world.rates.note_limit(upstream, 1.0, "answer")
        issue(world, upstream, waiting=30)
    answer = world.ask(path, model=model)
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) == 30.0
    assert b"upstream_rate_limited" in answer.body
    assert not world.log


def test_one_permit_takes_one_request(world):
    # Guards against two requests that both use what was issued for one.
    world.add("plain", advertising(1.0))
    world.rates.note_limit("u0", 1.0, "answer")
    issue(world, "u0", permits=1)
    statuses = []
    callers = [
        threading.Thread(target=lambda: statuses.append(world.ask("/brief/").status))
        for _ in range(4)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert sorted(statuses) == [200, 503, 503, 503]
    assert len(world.log) == 1
