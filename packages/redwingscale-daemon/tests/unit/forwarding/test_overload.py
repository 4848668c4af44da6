"""A request is refused for overload only if the best of all holders is too late."""

import time
from types import SimpleNamespace

import pytest
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.holder_wait import HolderWait
from redwingscale_daemon._internal.forwarding.stream_binding import StreamBinding
from redwingscale_daemon._internal.swaps.local_demand import LocalDemand

PROMPT = Prompt(Unit("m"), 1000, 10, ())


def holder(name, queue_ms):
    return Candidate(queue_ms, SimpleNamespace(id=name), queue_ms, queue_ms, queue_ms)


class Holders:
    """Replaces the chooser: the best of the sampled holders, and the best of all."""

    def __init__(self, sampled, best):
        self.sampled, self.best = sampled, best

    def choose_holder(self, service, prompt, tried, allows, *, compare_all=False):
        return self.best if compare_all else self.sampled


@pytest.fixture
def call():
    return SimpleNamespace(
        service="llm",
        route=SimpleNamespace(latency_target_seconds=0.8, first_event_seconds=4.0),
        attempts=SimpleNamespace(binding=StreamBinding(), tried=set(), count=0, last_event_at=None),
        request=SimpleNamespace(arrived_at=time.monotonic()),
        watch=SimpleNamespace(remaining=lambda: 10.0),
    )


def candidate(call, sampled, best, local_demand):
    wait = HolderWait(Holders(sampled, best), None, None, local_demand, None, None)
    return wait.choose_holder(call, PROMPT)


def test_lightly_loaded_holder_outside_the_sample_gets_the_request(call):
    # Guards against a refusal because the sampled holders have seconds of queue, while
    # others with the model resident are lightly loaded.
    local_demand = LocalDemand()
    found = candidate(call, holder("u0", 3000.0), holder("u7", 100.0), local_demand)
    assert found.upstream.id == "u7"
    assert local_demand.drain() == []


def test_request_is_refused_at_once_if_all_holders_are_too_late(call):
    local_demand = LocalDemand()
    with pytest.raises(Refusal) as raised:
        candidate(call, holder("u0", 5000.0), holder("u7", 3000.0), local_demand)
    assert (raised.value.status, raised.value.code) == (503, "overloaded")
    # The time until the best of all has caught up, not the sampled one.
    assert raised.value.retry_after_seconds == pytest.approx(1.4, abs=0.2)
    assert [entry.overloads for entry in local_demand.drain()] == [1]
