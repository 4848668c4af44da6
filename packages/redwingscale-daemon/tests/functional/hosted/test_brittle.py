"""Upstreams that fall over if they have to reject too many requests in a second."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from redwingscale_standins.hosted.model_worker import WorkerTiming
from redwingscale_standins.hosted.waiting import until

INSTANCES = ("one", "two", "three")
WORKERS = 3
# Requests that a worker runs at once, and rejections in a second that it bears.
ROOM = 6
BRITTLE = 4
CALLERS_EACH = 10
EVENTS = 10
# From the notice until workers may let fewer wait.
NOTICE_SECONDS = 3.0
LOAD_SECONDS = 6.0
# Of the workers that announce it, two and a tenth of them may fall over.
MOST_FALLS = 2 + WORKERS // 10


def send_until(instance, end, caller):
    statuses = []
    while time.monotonic() < end:
        request = f"{instance.name}-{caller}-{len(statuses)}"
        try:
            statuses.append(instance.request_stream("m1", EVENTS, request=request)[0])
        except urllib3.exceptions.HTTPError:
            statuses.append(0)
        if statuses[-1] != 200:
            time.sleep(0.2)
    return statuses


def send_from_all(instances, seconds):
    end = time.monotonic() + seconds
    with ThreadPoolExecutor(len(instances) * CALLERS_EACH) as pool:
        sent = [
            pool.submit(send_until, instance, end, caller)
            for instance in instances
            for caller in range(CALLERS_EACH)
        ]
        return [status for one in sent for status in one.result()]


@pytest.fixture
def fleet(deployment):
    """Three instances and three workers with little room, for more callers than that."""
    for number in range(WORKERS):
        worker = deployment.worker(f"w{number}", "m1", timing=WorkerTiming(gap=0.02), slots=ROOM)
        worker.room = ROOM
    for name in INSTANCES:
        deployment.instance(name)
    until(lambda: deployment.leader() in INSTANCES, "a leader")
    return deployment


def falls(fleet):
    return sum(len(worker.falls) for worker in fleet.workers.values())


def test_brittle_upstreams_do_not_fall_over_under_load(fleet):
    """Guards against instances that together send a full upstream more than it may reject."""
    send_from_all(fleet.instances, 1.0)
    for worker in fleet.workers.values():
        worker.rejections.clear()
        worker.brittle = BRITTLE
    send_from_all(fleet.instances, NOTICE_SECONDS)
    for worker in fleet.workers.values():
        worker.falls.clear()
        worker.room = ROOM // 2
    runs = sum(len(worker.runs) for worker in fleet.workers.values())
    send_from_all(fleet.instances, LOAD_SECONDS)
    assert falls(fleet) <= MOST_FALLS
    # The workers are still used: each could run some 90 requests in this time.
    assert sum(len(worker.runs) for worker in fleet.workers.values()) - runs > 30 * WORKERS
