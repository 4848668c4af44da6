"""An instance that is suspended between choosing an upstream and sending there."""

import time

import pytest

from .conftest import events, sized

SUSPENDED_SECONDS = 60.0
PATHS = pytest.mark.parametrize(
    ("path", "service", "model"), [("/once/", "plain", None), ("/stream/", "llm", "m")]
)


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that lets time pass on the clocks that count suspended time."""
    passed = [0.0]
    real = time.clock_gettime

    def clock_gettime(clock):
        return real(clock) + (passed[0] if clock == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", clock_gettime)
    return lambda seconds: passed.__setitem__(0, passed[0] + seconds)


def before_sending(world, monkeypatch, action):
    """Run ``action`` when the connection for the next request has been chosen."""
    take_idle = world.pool.take_idle

    def act_and_take(upstream, request_id):
        action()
        return take_idle(upstream, request_id)

    monkeypatch.setattr(world.pool, "take_idle", act_and_take)


def start_upstream(world, service):
    return world.add(service, sized(b"yes") if service == "plain" else events(1))


@PATHS
def test_request_whose_deadline_passed_while_suspended_is_not_sent(
    world, monkeypatch, suspend, path, service, model
):
    # Guards against a request that reaches an upstream seconds after its caller's deadline:
    # the monotonic clock shows no time passed, and the thread goes on where it was.
    start_upstream(world, service)
    before_sending(world, monkeypatch, lambda: suspend(SUSPENDED_SECONDS))
    response = world.request(path, model=model)
    assert world.log == []
    assert (response.status, world.ended) == (503, ["time_limit"])


@PATHS
def test_time_left_for_the_upstream_does_not_include_suspended_time(
    world, monkeypatch, suspend, path, service, model
):
    # Guards against an upstream that runs a request beyond its caller's deadline.
    start_upstream(world, service)
    usable = world.directory.usable
    monkeypatch.setattr(world.directory, "usable", lambda s: (suspend(0.5), usable(s))[1])
    assert world.request(path, model=model).status == 200
    left_ms = float(world.log[0].header("X-Redwingscale-Deadline-Ms"))
    assert left_ms <= 3500


@PATHS
def test_request_of_a_caller_that_left_before_sending_is_not_sent(
    world, monkeypatch, path, service, model
):
    # A caller gives up and closes its connection while the instance is suspended.
    start_upstream(world, service)
    caller = world.connect()
    before_sending(world, monkeypatch, caller.close)
    world.send(path, model=model, caller=caller)
    deadline = time.monotonic() + 5.0
    while not world.ended and time.monotonic() < deadline:
        time.sleep(0.01)
    assert (world.log, world.ended) == ([], ["caller_left"])
