"""Instances whose store comes back from an older copy."""

import itertools
import signal
import threading
import time

import pytest
from redwingscale_standins.hosted.documents import keyed_document
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.leaving.rule import LEAVE_SECONDS, late_arrivals

# Far more than the store counts during a test: its versions stay below the former ones.
LOST_VERSIONS = 1000
COPY_SECONDS = 4.0
WATCHED_SECONDS = 6.0


class Callers:
    """Sends short streams to all instances in turn."""

    def __init__(self, instances, key=None):
        self._instances, self._key = itertools.cycle(instances), key
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.statuses = []
        self._thread.start()

    def _run(self):
        while not self._stopped.wait(0.05):
            request = f"c{next(self._numbers)}"
            status, _ = next(self._instances).request_stream(request=request, key=self._key)
            self.statuses.append(status)

    def stop(self):
        self._stopped.set()
        self._thread.join()


@pytest.fixture
def two_instances(deployment):
    for name in ("w1", "w2"):
        deployment.worker(name, "m1")
    return [deployment.instance("one"), deployment.instance("two")]


@pytest.fixture
def callers(two_instances):
    made = Callers(two_instances)
    yield made
    made.stop()


def count_versions(deployment, count=LOST_VERSIONS):
    for number in range(count):
        deployment.rows.put("other", "counter", number)


def go_back(deployment, seconds=COPY_SECONDS):
    """Lose ``seconds`` of the store, and many versions."""
    time.sleep(seconds)
    count_versions(deployment)
    # A list of the last version is known to all.
    time.sleep(LEAVE_SECONDS)
    deployment.rows.down = True
    time.sleep(0.5)
    lost = deployment.rows.restore(seconds + LEAVE_SECONDS)
    deployment.rows.down = False
    return lost


def entry_of(deployment, name):
    return deployment.rows.value("servers", name)


def late(deployment, name, left_at):
    return late_arrivals(deployment.workers[name].arrivals, left_at)


def test_worker_that_drains_after_a_copy_gets_no_request(deployment, callers):
    """Guards against a list that is refused until the store has passed its former version."""
    go_back(deployment)
    entry = entry_of(deployment, "w1")
    deployment.rows.put("servers", "w1", entry | {"State": "draining"})
    left_at = time.monotonic()
    time.sleep(WATCHED_SECONDS)
    assert len(deployment.workers["w2"].arrivals) > 0
    assert late(deployment, "w1", left_at) == []


def test_worker_that_is_removed_after_a_copy_gets_no_request(deployment, callers):
    """Guards against the same for a worker that says nothing before it is removed."""
    go_back(deployment)
    deployment.rows.remove("servers", "w1")
    left_at = time.monotonic()
    time.sleep(WATCHED_SECONDS)
    assert late(deployment, "w1", left_at) == []


@pytest.mark.parametrize("leaves", ["draining", "removed"])
def test_worker_that_a_copy_shows_as_ready_again_gets_no_request(deployment, callers, leaves):
    """Guards against a copy that undoes what the store has acknowledged about a worker."""
    time.sleep(COPY_SECONDS)
    entry = entry_of(deployment, "w1")
    if leaves == "draining":
        deployment.rows.put("servers", "w1", entry | {"State": "draining"})
    else:
        deployment.rows.remove("servers", "w1")
    left_at = time.monotonic()
    time.sleep(LEAVE_SECONDS)
    deployment.rows.restore(LEAVE_SECONDS + 1.0)
    assert entry_of(deployment, "w1")["State"] == "ready"
    time.sleep(WATCHED_SECONDS)
    assert late(deployment, "w1", left_at) == []


def test_fences_rise_over_a_copy(deployment, two_instances):
    """Guards against orders with a lower fence than the worker has seen."""
    workers = deployment.workers.values()
    one, two = two_instances
    until(lambda: deployment.leader() == "one", "the first leader")
    copied_at = time.monotonic()
    count_versions(deployment, 100)
    one.end(signal.SIGTERM)
    until(lambda: deployment.leader() == "two", "the second leader")
    assert two.request_stream("m1/a1", request="before")[0] == 200
    before = [int(order["Fence"]) for worker in workers for order in worker.orders]
    deployment.rows.down = True
    # The lease ends meanwhile.
    time.sleep(3.0)
    deployment.rows.restore(time.monotonic() - copied_at)
    deployment.rows.down = False
    until(lambda: two.log.read_bytes().count(b"event=giver_taken") == 2, "its return")
    until(lambda: two.request_stream("m1/a2", request="after")[0] == 200, "an order")
    for worker in workers:
        fences = [int(order["Fence"]) for order in worker.orders]
        assert fences == sorted(fences)
    assert max(int(order["Fence"]) for worker in workers for order in worker.orders) > max(before)


def test_new_version_after_a_copy_comes_into_force(deployment, two_instances):
    """Guards against a feed that skips what is written under versions given out again."""
    deployment.rows.put("op", "config", keyed_document(2, "k1", "k2"))
    for instance in two_instances:
        until(lambda one=instance: one.request_stream(key="k1")[0] == 200, "the first version")
    time.sleep(COPY_SECONDS)
    count_versions(deployment, 100)
    time.sleep(LEAVE_SECONDS)
    deployment.rows.restore(COPY_SECONDS)
    deployment.rows.put("op", "config", keyed_document(3, "k2"))
    # The counter has passed the former version before anyone asks: no read gets 410.
    count_versions(deployment, 200)
    for instance in two_instances:
        until(lambda one=instance: one.request_stream(key="k1")[0] == 401, "the end of the key")


@pytest.fixture
def withdrawn(deployment, two_instances):
    """Withdraw a key, and let the store come back from a copy that knows it."""
    deployment.rows.put("op", "config", keyed_document(2, "k1", "k2"))
    for instance in two_instances:
        until(lambda one=instance: one.request_stream(key="k1")[0] == 200, "the first version")
    time.sleep(COPY_SECONDS)
    deployment.rows.put("op", "config", keyed_document(3, "k2"))
    for instance in two_instances:
        until(lambda one=instance: one.request_stream(key="k1")[0] == 401, "the end of the key")
    deployment.rows.restore(COPY_SECONDS)
    return two_instances


def test_key_that_a_copy_knows_again_stays_withdrawn(deployment, withdrawn):
    """Guards against an older configuration at a process that starts on the copy."""
    started = deployment.instance("three")
    for instance in (*withdrawn, started):
        assert instance.request_stream(key="k1")[0] == 401
        assert instance.request_stream(key="k2")[0] == 200


def test_key_stays_withdrawn_if_the_leader_starts_on_the_copy(deployment, withdrawn):
    """Guards against an older configuration at the only peer that the store names."""
    one, two = withdrawn
    assert deployment.leader() == "one"
    one.end()
    one.start()
    until(lambda: one.status() == 200, "its readiness")
    for instance in (one, two):
        until(lambda here=instance: here.request_stream(key="k1")[0] == 401, "the end of the key")
        assert instance.request_stream(key="k2")[0] == 200
