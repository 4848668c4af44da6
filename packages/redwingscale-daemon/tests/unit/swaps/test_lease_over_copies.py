"""At most one instance leads, also when the store comes back from an older copy."""

import pytest
from redwingscale_daemon._internal.store.rows import StoredRow
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.swaps.leader_lease import LeaderLease
from redwingscale_daemon._internal.swaps.lease_record import LEASE_ROW, LeaderRecord, LeaseTiming
from redwingscale_standins.histories.lease_history import run_lease_history

TIMING = LeaseTiming(
    lease_seconds=2.0, order_seconds=1.2, order_call_seconds=0.6, handover_pause_seconds=3.0
)
LONGEST_PAUSE_SECONDS = (
    TIMING.order_seconds + TIMING.order_call_seconds + TIMING.handover_pause_seconds
)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class Leases:
    """Leases of several instances at one store, all of which hear of each era at once."""

    def __init__(self, store):
        self.store, self.clock, self.eras = store, Clock(), StoreEras()
        self.eras.note(0, "store")

    def make(self, name):
        record = LeaderRecord(name, "127.0.0.1", 1, 2, name)
        return LeaderLease(self.store, name, lambda: record, TIMING, self.clock, eras=self.eras)

    def restore(self, row, number):
        """Let the store come back with ``row`` as it was at ``number``."""
        version = StoreVersion(self.store.version.era + 1, number)
        self.store.version = version
        self.store.row = row and StoredRow(LEASE_ROW, version, row.value)
        self.eras.note(version.era, "store")

    def seconds_until_orders(self, lease):
        begun_at = self.clock.now
        while lease.fence() is None and self.clock.now < begun_at + 20.0:
            self.clock.now += 0.1
            lease.step()
        return self.clock.now - begun_at


@pytest.fixture
def leases(store):
    return Leases(store)


def count(lease, leases, times):
    for _ in range(times):
        leases.clock.now += 0.5
        lease.step()


def test_leader_whose_lease_lasts_goes_on_after_one_write(leases):
    """Guards against an installation without orders after each copy."""
    one = leases.make("a")
    count(one, leases, 5)
    copy, fence = leases.store.row, one.fence()
    count(one, leases, 5)
    leases.restore(copy, 3)
    assert not one.is_leader
    assert one.fence() is None
    one.step()
    assert one.fence() > fence


def test_leader_whose_lease_has_ended_waits_for_one_that_may_have_followed(leases):
    """Guards against two holders: the copy has lost that another instance has led since."""
    one = leases.make("a")
    count(one, leases, 5)
    copy = leases.store.row
    leases.clock.now += TIMING.lease_seconds
    leases.restore(copy, 3)
    waited = leases.seconds_until_orders(one)
    assert LONGEST_PAUSE_SECONDS <= waited <= LONGEST_PAUSE_SECONDS + 1.0


@pytest.mark.parametrize("copy", ["without a row", "released"])
def test_successor_waits_for_a_leader_that_the_copy_does_not_know(leases, copy):
    """Guards against two holders where the row of the former leader is gone."""
    one, two, three = map(leases.make, "abc")
    one.step()
    if copy == "released":
        one.release()
    row = leases.store.row if copy == "released" else None
    count(two, leases, 8)
    assert two.is_leader
    leases.restore(row, 1)
    waited = leases.seconds_until_orders(three)
    assert LONGEST_PAUSE_SECONDS <= waited <= LONGEST_PAUSE_SECONDS + 1.0


def test_process_that_starts_on_a_copy_waits_as_well(store):
    """Guards against two holders: a process that starts does not know when the era began."""
    leases = Leases(store)
    leases.restore(None, 1)
    leases.eras = StoreEras()
    started = leases.make("a")
    leases.eras.note(1, "store")
    assert leases.seconds_until_orders(started) >= LONGEST_PAUSE_SECONDS


def test_own_row_that_a_late_write_brings_back_is_no_lease(leases):
    """Guards against a write of an earlier era that is done under a number given out again."""
    one, two = map(leases.make, "ab")
    one.step()
    own = leases.store.row
    leases.restore(None, 0)
    leases.clock.now += 10.0
    count(two, leases, 2)
    one.step()
    assert two.is_leader
    leases.store.row = StoredRow(LEASE_ROW, leases.store.version, own.value)
    one.step()
    assert not one.is_leader


@pytest.mark.parametrize("first", range(1, 81, 20))
def test_no_two_holders_in_random_histories(first):
    """Guards against two holders and lower fences over copies, cuts, kills and late writes."""
    outcomes = [run_lease_history(seed) for seed in range(first, first + 20)]
    assert sum(one.copies for one in outcomes) > len(outcomes)
    assert [one for one in outcomes if one.violations] == []
