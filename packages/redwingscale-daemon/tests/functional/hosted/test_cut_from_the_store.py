"""An instance that is cut off from the store while the list changes."""

import signal
import time

import pytest
from redwingscale_standins.hosted.documents import keyed_document
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.faulty_link import FaultyLink

from .test_lost_path import knows_its_peers

# The leader announces a change of the list for 3 s; after this time no longer.
ANNOUNCEMENTS_END_SECONDS = 3.5
# 2 s for entries that may have lapsed, 1 s for the next read, the rest for a busy machine.
# An instance that does not know that it lost a change reads the list only after 20 s.
DROP_TIMEOUT_SECONDS = 10.0


@pytest.fixture
def store_link(deployment):
    made = FaultyLink(deployment.store_port)
    yield made
    made.close()


def test_upstream_that_left_during_a_cut_is_dropped_after_it(deployment, store_link):
    # Guards against requests that are sent to an upstream up to 18 s after it has left, by
    # an instance that was cut off from the store meanwhile. After the cut it read a list
    # without the entry and kept it as one that may have lapsed. Then the updates of a new
    # leader replaced its own reads, and these did not include earlier changes.
    deployment.worker("w1", "m1")
    deployment.worker("w2", "m2")
    one, two = deployment.instance("one"), deployment.instance("two", store_port=store_link.port)
    until(lambda: deployment.leader() == "one", "the first leader")
    store_link.refuse = True
    store_link.reset()
    until(lambda: b"what=upstreams" in two.log.read_bytes(), "the loss of the store")
    one.end(signal.SIGTERM)
    # Started only now: instance two would learn of the next leader from a known peer.
    three = deployment.instance("three")
    until(lambda: deployment.leader() == "three", "the next leader")
    deployment.rows.remove("servers", "w2")
    until(lambda: b"event=upstream_gone" in three.log.read_bytes(), "the removal at the others")
    time.sleep(ANNOUNCEMENTS_END_SECONDS)
    assert b"event=upstream_gone" not in two.log.read_bytes()
    store_link.heal()
    until(
        lambda: b"event=upstream_gone" in two.log.read_bytes(), "the removal", DROP_TIMEOUT_SECONDS
    )


def test_upstream_listed_during_a_cut_is_reached_through_another_instance(deployment, store_link):
    # Guards against refusals by an instance that gets the list neither from the store nor from
    # a leader, while another one knows an upstream.
    deployment.worker("w1", "m1")
    one, two = deployment.instance("one"), deployment.instance("two", store_port=store_link.port)
    until(lambda: deployment.leader() == "one", "the first leader")
    three = deployment.instance("three")
    until(lambda: knows_its_peers(two), "the peers of the instance that is cut off")
    store_link.refuse = True
    store_link.reset()
    until(lambda: b"what=upstreams" in two.log.read_bytes(), "the loss of the store")
    lease = deployment.rows.value("redwingscale", "order-giver")
    one.end(signal.SIGKILL)
    deployment.worker("w2", "m4")

    def serves(instance):
        # Renewed, so that no other instance leads and announces the list.
        deployment.rows.put("redwingscale", "order-giver", lease)
        return instance.request_stream("m4")[0] == 200

    until(lambda: serves(three), "the upstream at the other instance")
    until(lambda: serves(two), "an answer through the other instance")
    assert b"event=passed_on" in two.log.read_bytes()


def test_unknown_route_is_not_refused_for_good_by_an_instance_that_hears_nobody(
    deployment, store_link
):
    """Guards against a 404 for a route that was confirmed after this instance heard last."""
    deployment.worker("w1", "m1")
    one, two = deployment.instance("one"), deployment.instance("two", store_port=store_link.port)
    until(lambda: deployment.leader() == "one", "the leader")
    until(lambda: b"source=order_giver" in two.log.read_bytes(), "the leader's updates")
    assert two.request_stream(path="/new/x")[0] == 404
    store_link.hold_from = True
    one.end(signal.SIGKILL)
    until(lambda: two.request_stream(path="/new/x")[0] == 503, "a refusal that allows a retry")
    assert two.request_stream(path="/live/x")[0] == 200


def test_key_withdrawn_during_a_cut_is_refused_at_once(deployment, store_link):
    """Guards against a withdrawn key that still works at an instance cut off from the store."""
    deployment.rows.put("op", "config", keyed_document(2, "k1", "k2"))
    deployment.worker("w1", "m1")
    one, two = deployment.instance("one"), deployment.instance("two", store_port=store_link.port)
    three = deployment.instance("three")
    until(lambda: deployment.leader() == "one", "the first leader")
    assert two.request_stream(key="k1")[0] == 200
    time.sleep(ANNOUNCEMENTS_END_SECONDS)
    store_link.refuse = True
    store_link.reset()
    until(lambda: b"event=store_lost" in two.log.read_bytes(), "the loss of the store")
    one.end(signal.SIGTERM)
    deployment.rows.put("op", "config", keyed_document(3, "k2"))
    until(lambda: two.request_stream(key="k1")[0] == 401, "the end of the key")
    assert two.request_stream(key="k2")[0] == 200
    assert three.request_stream(key="k1")[0] == 401
    until(lambda: deployment.leader() == "three", "the next leader")
    until(lambda: b"giver=three" in two.log.read_bytes(), "the next leader at the cut instance")
