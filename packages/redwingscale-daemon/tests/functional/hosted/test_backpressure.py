"""Upstreams whose answers say that they leave, or when requests may be retried."""

import time
from concurrent.futures import ThreadPoolExecutor

from redwingscale_standins.hosted.waiting import until

INSTANCES = ("one", "two", "three")
CALLERS_EACH = 2
LEAVE_SECONDS = 2.0
RETRY_AFTER_SECONDS = 3.0
# Longer than any request of these tests can wait.
LONG_RETRY_AFTER_SECONDS = 60.0
# Requests may have been in flight when the upstream rejected one.
IN_FLIGHT_SECONDS = 0.5
MAX_WITHIN_RETRY_TIME = 2


def send_until(instance, end, caller):
    answered = []
    while time.monotonic() < end:
        answered.append(
            instance.request_stream("m1", request=f"{instance.name}-{caller}-{len(answered)}")[0]
        )
    return answered


def send_from_all(instances, seconds):
    """Send from several callers of each instance; return the statuses."""
    end = time.monotonic() + seconds
    with ThreadPoolExecutor(len(instances) * CALLERS_EACH) as pool:
        sent = [
            pool.submit(send_until, instance, end, caller)
            for instance in instances
            for caller in range(CALLERS_EACH)
        ]
        return [status for one in sent for status in one.result()]


def test_upstream_that_leaves_while_the_store_is_down_gets_no_more_requests(deployment):
    # Guards against requests that are lost with a leaving upstream: while the store is down,
    # the list cannot show that it leaves.
    leaving = deployment.worker("w1", "m1")
    deployment.worker("w2", "m1")
    instances = [deployment.instance(name) for name in INSTANCES]
    deployment.rows.down = True
    until(lambda: b"event=store_lost" in instances[0].log.read_bytes(), "the loss of the store")
    leaving.leaving = True
    send_from_all(instances, LEAVE_SECONDS)
    begun = len(leaving.runs)
    statuses = send_from_all(instances, LEAVE_SECONDS)
    assert set(statuses) == {200}
    assert len(leaving.runs) == begun


def test_instance_sends_nothing_to_an_upstream_before_its_retry_time(deployment):
    # Guards against retries that pile up at an upstream that has requested a pause.
    rejecting = deployment.worker("w1", "m1")
    deployment.worker("w2", "m1")
    one = deployment.instance("one")
    rejecting.retry_after = RETRY_AFTER_SECONDS
    statuses = send_from_all([one], 2 * RETRY_AFTER_SECONDS)
    assert set(statuses) == {200}
    assert rejecting.rejections
    for rejected in (one.at for one in rejecting.rejections):
        within = [
            at
            for at in rejecting.called_at
            if rejected + IN_FLIGHT_SECONDS < at < rejected + RETRY_AFTER_SECONDS
        ]
        assert len(within) <= MAX_WITHIN_RETRY_TIME


def test_leaving_received_by_one_instance_is_announced_to_all(deployment):
    # Guards against instances that each find out only by a request of their own.
    leaving = deployment.worker("w1", "m1")
    deployment.worker("w2", "m2")
    instances = [deployment.instance(name) for name in INSTANCES]
    leaving.leaving = True
    assert instances[0].request_stream("m1")[0] == 200
    for instance in instances:
        until(lambda log=instance.log: b"event=upstream_leaving" in log.read_bytes(), "the update")
    assert instances[2].request_stream("m1", request="later")[0] == 200
    assert leaving.runs == ["r1"]


def test_models_of_a_rejecting_upstream_are_served_by_another(deployment):
    # Guards against refused callers for as long as the only holder rejects requests.
    rejecting = deployment.worker("w1", "m1")
    others = [deployment.worker("w2", "m2"), deployment.worker("w3", "m3", "m4")]
    one = deployment.instance("one")
    until(lambda: b"event=giver_begins" in one.log.read_bytes(), "a leader")
    rejecting.retry_after = LONG_RETRY_AFTER_SECONDS
    assert one.request_stream("m1")[0] == 200
    assert any("m1" in other.models for other in others)
    assert not rejecting.runs
