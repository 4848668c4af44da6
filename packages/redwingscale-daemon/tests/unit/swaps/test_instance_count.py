"""How many instances share what is allowed to all of them."""

from redwingscale_daemon._internal.swaps.instance_count import DEFAULT_INSTANCES, InstanceCount


def test_row_counts_from_the_moment_at_which_it_is_read():
    """Guards against shares of six for a process that has just begun among many."""
    recorded = [0]
    count = InstanceCount(lambda: recorded[0])
    assert count() == DEFAULT_INSTANCES
    recorded[0] = 67
    assert count() == 67


def test_count_never_falls():
    count = InstanceCount(lambda: 0)
    count.receive(80)
    count.receive(20)
    assert count() == 80
