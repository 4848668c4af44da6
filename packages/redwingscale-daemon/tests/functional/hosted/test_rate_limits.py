"""Upstreams with a limit on the requests of all instances together."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.rate_limits.rule import (
    NOTICE_SECONDS,
    WINDOW_SECONDS,
    most_allowed,
    most_in_window,
)

RATE = 1.0
LOAD_SECONDS = NOTICE_SECONDS + WINDOW_SECONDS
CALLERS_EACH = 2
BUSY_REQUESTS = 150
RARE_EVERY = 50


def send_until(instance, end, ids):
    while time.monotonic() < end:
        instance.request_stream("m1", request=f"{instance.name}-{next(ids)}")


def test_all_instances_together_keep_the_rate_limit_of_an_upstream(deployment):
    # Guards against instances that each send as many requests as without a limit.
    worker = deployment.worker("w1", "m1")
    instances = [deployment.instance(name) for name in ("one", "two", "three")]
    worker.rate_limit = RATE
    for instance in instances:
        assert instance.request_stream("m1", request=f"{instance.name}-first")[0] == 200
    named_at = time.monotonic()
    ids = itertools.count()
    with ThreadPoolExecutor(len(instances) * CALLERS_EACH) as pool:
        for instance in instances * CALLERS_EACH:
            pool.submit(send_until, instance, named_at + LOAD_SECONDS, ids)
    assert most_in_window(worker.called_at, named_at) <= most_allowed(RATE)


def test_models_of_an_upstream_with_a_limit_are_served(deployment):
    # Guards against callers that lose all models of an upstream with a low limit.
    limited = deployment.worker("w1", "m1", "m2")
    deployment.worker("w2", "m3")
    instances = [deployment.instance(name) for name in ("one", "two")]
    limited.rate_limit = RATE
    for instance in instances:
        assert instance.request_stream("m1", request=f"{instance.name}-first")[0] == 200
    named_at = time.monotonic()
    busy, rare = [], []
    for number in range(BUSY_REQUESTS):
        instance = instances[number % len(instances)]
        busy.append(instance.request_stream("m1", request=f"busy-{number}")[0])
        if number % RARE_EVERY == 0:
            rare.append(instance.request_stream("m2", request=f"rare-{number}")[0])
    assert set(busy) == {200}
    assert set(rare) == {200}
    assert "m1" in deployment.workers["w2"].models
    assert "m2" in limited.models
    assert most_in_window(limited.called_at, named_at) <= most_allowed(RATE)


def test_end_of_a_limit_is_detected(deployment):
    # Guards against an upstream that gets no more requests after its limit has ended.
    worker = deployment.worker("w1", "m1")
    one = deployment.instance("one")
    worker.rate_limit = RATE
    assert one.request_stream("m1", request="first")[0] == 200
    worker.rate_limit = None
    assert one.request_stream("m1", request="second")[0] == 200
    until(lambda: b"upstream_rate_limit" in one.log.read_bytes(), "the log line of the limit")
    until(lambda: b"per_second=- before=1.0" in one.log.read_bytes(), "the end of the limit")
    assert all(one.request_stream("m1", request=f"r{n}")[0] == 200 for n in range(20))
