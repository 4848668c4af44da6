"""Requests are not sent to a process that has replaced their upstream."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from redwingscale_daemon._internal.fleet.replaced_upstreams import ReplacedUpstreams
from redwingscale_daemon._internal.forwarding.process_check import ProcessCheck
from redwingscale_daemon._internal.platform import exchange, names

from .conftest import breaks, events


@pytest.fixture
def listed(world):
    """Add an upstream; return it as it is listed."""
    world.add("llm", events(1))
    return world.upstreams[0][1]


def make_check(**options):
    return ProcessCheck(names.HEALTH_PATH, exchange.answering_upstream, **options)


def replace(world, number=0):
    """Let another process listen at the address of an upstream."""
    world.upstreams[number][0].name = "another"


def test_process_is_asked_after_a_connection_broke(world, listed):
    check = make_check()
    replace(world)
    assert not check.finds_another(listed)
    check.note_broken(listed.id)
    assert check.finds_another(listed)


def test_upstream_that_still_listens_is_asked_once(world, listed):
    check = make_check()
    check.note_broken(listed.id)
    assert not check.finds_another(listed)
    replace(world)
    assert not check.finds_another(listed)


def test_upstreams_not_heard_are_asked_while_others_are_replaced(world, listed):
    """Guards against a first request to each upstream of a fleet that is restarted in turn."""
    check = make_check(lately_replaced=lambda: True)
    check.note_heard(listed.id, time.monotonic())
    replace(world)
    assert not check.finds_another(listed)
    check.forget({listed.id})
    assert check.finds_another(listed)


def test_nothing_is_known_of_a_process_that_does_not_answer(world, listed):
    check = make_check()
    check.note_broken(listed.id)
    world.upstreams[0][0].close()
    assert not check.finds_another(listed)


def test_upstream_with_a_rate_limit_is_not_asked(world, listed):
    """Guards against a call that the upstream's rate limit has no room for."""
    check = make_check(may_ask=lambda upstream_id: False)
    check.note_broken(listed.id)
    replace(world)
    assert not check.finds_another(listed)


def test_request_goes_elsewhere_without_arriving_at_another_process(world):
    """Guards against arrivals at processes that refuse them, which count as repeats' causes."""
    world.add("llm", breaks)
    world.request("/stream/x", model="m")
    replace(world)
    world.add("llm", events(1, 2))
    arrived = len(world.log)
    for _ in range(3):
        assert world.request("/stream/x", model="m").status == 200
    assert [one.upstream for one in world.log[arrived:]] == ["u1"] * 3


def test_requests_do_not_wait_for_a_silent_process_one_after_another(world, listed):
    """Guards against a queue of requests that each ask an upstream whose path holds all bytes."""
    check, silent = make_check(), socket.create_server(("127.0.0.1", 0))
    listed = listed._replace(port=silent.getsockname()[1])
    check.note_broken(listed.id)
    with ThreadPoolExecutor(8) as pool:
        assert not any(pool.map(check.finds_another, [listed] * 8))
    silent.settimeout(0.0)
    silent.accept()
    with pytest.raises(BlockingIOError):
        silent.accept()
    silent.close()


def test_told_replacement_counts_at_the_address_where_it_was_found(world, listed):
    """Guards against an upstream that is avoided since its former address has another process."""
    replaced = ReplacedUpstreams(world.directory, world.health)
    replaced.receive({listed.id: "10.0.0.1:80"}, "instance")
    assert not world.health.is_replaced(listed.id)
    address = f"{listed.host}:{listed.port}"
    replaced.receive({listed.id: address, "gone": address}, "instance")
    assert replaced.addresses() == {listed.id: address}
