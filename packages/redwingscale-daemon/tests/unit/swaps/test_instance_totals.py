"""What instances tell of upstreams that turn requests away."""

from redwingscale_daemon._internal.swaps.instance_totals import InstanceTotals
from redwingscale_daemon._internal.swaps.messages import InstanceUpdate, LoadEntry


def update(instance, *, rejecting=(), serving=()):
    loads = [LoadEntry(key, 1, 0) for key in serving]
    return InstanceUpdate(instance, [], loads, [], [], rejecting=list(rejecting))


def rejecting(*told):
    totals = InstanceTotals()
    for one in told:
        totals.receive(one)
    return totals.sum().rejecting


def test_upstream_that_rejects_the_few_that_ask_it_counts_as_rejecting():
    # Guards against models that stay where nobody is served, as most of many instances never ask.
    others = [update(f"i{number}") for number in range(60)]
    assert rejecting(update("a", rejecting=["w"]), *others) == {"w"}


def test_upstream_that_has_just_served_others_does_not_count_between_their_requests():
    # Guards against a plan that changes its mind with each request of a rare model.
    assert rejecting(update("b", serving=["w"]), update("b"), update("a", rejecting=["w"])) == set()


def test_upstream_that_now_rejects_all_that_it_served_counts():
    # Guards against models that stay at an upstream which has just begun to reject.
    served = update("a", serving=["w"])
    assert rejecting(served, update("a", rejecting=["w"])) == {"w"}


def test_upstream_that_serves_more_instances_than_it_rejects_does_not_count():
    # Guards against loads elsewhere for one rejection of an upstream that is full for a moment.
    assert rejecting(update("a", rejecting=["w"]), update("b", serving=["w"])) == set()
