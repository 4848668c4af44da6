"""Upstreams in need that name how many requests they take of all instances together."""

import itertools
import time
from concurrent.futures import ThreadPoolExecutor

from redwingscale_standins.named_rates.rule import (
    NOTICE_SECONDS,
    WINDOW_SECONDS,
    most_allowed,
    most_in_window,
)

RATE = 1.0
LOAD_SECONDS = NOTICE_SECONDS + WINDOW_SECONDS
CALLERS_EACH = 2


def ask_until(instance, end, ids):
    while time.monotonic() < end:
        instance.ask("m1", request=f"{instance.name}-{next(ids)}")


def test_all_instances_together_keep_the_rate_that_an_upstream_names(deployment):
    # Guards against instances that each send an upstream in need as much as before.
    worker = deployment.worker("w1", "m1")
    instances = [deployment.instance(name) for name in ("one", "two", "three")]
    worker.named_rate = RATE
    for instance in instances:
        assert instance.ask("m1", request=f"{instance.name}-first")[0] == 200
    named_at = time.monotonic()
    ids = itertools.count()
    with ThreadPoolExecutor(len(instances) * CALLERS_EACH) as pool:
        for instance in instances * CALLERS_EACH:
            pool.submit(ask_until, instance, named_at + LOAD_SECONDS, ids)
    assert most_in_window(worker.called_at, named_at) <= most_allowed(RATE)
