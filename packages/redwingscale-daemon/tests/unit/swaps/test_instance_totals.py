"""Totals of upstreams that reject requests, over all instances."""

from redwingscale_daemon._internal.swaps.instance_totals import InstanceTotals
from redwingscale_daemon._internal.swaps.messages import InstanceUpdate, LoadEntry


def update(instance, *, rejecting=(), serving=()):
    loads = [LoadEntry(key, 1, 0) for key in serving]
    return InstanceUpdate(instance, [], loads, [], [], rejecting=list(rejecting))


def rejecting(*updates):
    totals = InstanceTotals()
    for one in updates:
        totals.receive(one)
    return totals.sum().rejecting


def test_upstream_that_rejects_the_few_instances_that_use_it_is_rejecting():
    # Guards against models that stay at an upstream which serves no instance, because most of
    # the instances never send it a request.
    others = [update(f"i{number}") for number in range(60)]
    assert rejecting(update("a", rejecting=["w"]), *others) == {"w"}


def test_upstream_that_has_just_served_others_is_not_rejecting_between_their_requests():
    # Guards against a plan that changes with each request for a rare model.
    assert rejecting(update("b", serving=["w"]), update("b"), update("a", rejecting=["w"])) == set()


def test_upstream_that_rejects_all_instances_that_it_served_is_rejecting():
    # Guards against models that stay at an upstream which has just begun to reject requests.
    served = update("a", serving=["w"])
    assert rejecting(served, update("a", rejecting=["w"])) == {"w"}


def test_upstream_that_serves_as_many_instances_as_it_rejects_is_not_rejecting():
    # Guards against loads elsewhere after one rejection by an upstream that is briefly full.
    assert rejecting(update("a", rejecting=["w"]), update("b", serving=["w"])) == set()
