"""The number of instances that share the limits of the deployment."""

from redwingscale_daemon._internal.swaps.instance_count import DEFAULT_INSTANCES, InstanceCount


def test_count_in_the_row_applies_as_soon_as_it_is_read():
    """Guards against shares for six instances in a process that has just started among many."""
    recorded = [0]
    count = InstanceCount(lambda: recorded[0])
    assert count() == DEFAULT_INSTANCES
    recorded[0] = 67
    assert count() == 67


def test_count_never_decreases():
    count = InstanceCount(lambda: 0)
    count.receive(80)
    count.receive(20)
    assert count() == 80
