"""One instance gives orders at any time, whatever happens to it or to the store."""

import msgspec
import pytest
from redwingscale_daemon._internal.exceptions import PlatformUnavailable, WriteUnknown
from redwingscale_daemon._internal.swaps.giver_lease import GiverLease, GiverRecord, LeaseTiming
from redwingscale_daemon._internal.swaps.pledges import PLEDGE_SECONDS, Pledges

TIMING = LeaseTiming(lease_seconds=2.0, order_seconds=1.2, quiet_seconds=3.0)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def make_lease(store, clock):
    def make(name, start="1", timing=TIMING, pledged=lambda: False):
        record = GiverRecord(name, "127.0.0.1", 1, 2, f"{name}-{start}")
        return GiverLease(store, record.start, lambda: record, timing, clock, pledged)

    return make


def test_first_instance_gives_orders_at_once(make_lease):
    lease = make_lease("a")
    lease.step()
    assert lease.fence() == 1


def test_second_instance_waits_for_the_end_of_the_lease(make_lease, clock):
    first, second = make_lease("a"), make_lease("b")
    first.step()
    for _ in range(20):
        clock.now += 0.5
        first.step()
        second.step()
        assert first.fence() is not None
        assert second.fence() is None


def test_orders_of_two_givers_never_take_turns(make_lease, clock):
    # The first giver is cut off from the store but not from the workers: its last
    # order may go out just before it stops, and the second one's must come later
    # by the whole quiet time.
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    last_of_first = first_of_second = None
    for _ in range(100):
        clock.now += 0.1
        second.step()
        if first.fence() is not None:
            last_of_first = clock.now
        if first_of_second is None and second.fence() is not None:
            first_of_second = clock.now
    assert first_of_second - last_of_first >= TIMING.quiet_seconds
    assert second.fence() > 1


def test_frozen_giver_sends_nothing_when_it_wakes(make_lease, clock):
    # The process stands still past its lease and wakes right before an order: the
    # clock also counts the freeze, and the right is asked for at each order.
    lease = make_lease("a")
    lease.step()
    clock.now += TIMING.order_seconds
    assert lease.fence() is None


def test_giver_that_lost_its_row_stops(make_lease, clock):
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    clock.now += 3.0
    second.step()
    first.step()
    assert first.fence() is None
    assert not first.holds


def test_lost_answer_to_a_renewal_keeps_the_lease(make_lease, clock, store):
    lease = make_lease("a")
    lease.step()
    clock.now += 0.5
    store.lose_answer = WriteUnknown("no answer")
    with pytest.raises(WriteUnknown):
        lease.step()
    store.lose_answer = None
    clock.now += 0.5
    lease.step()
    lease.step()
    assert lease.holds
    assert lease.fence() == 1


def test_lost_answer_to_the_first_write_is_found_out(make_lease, clock, store):
    lease = make_lease("a")
    store.lose_answer = WriteUnknown("no answer")
    with pytest.raises(WriteUnknown):
        lease.step()
    store.lose_answer = None
    lease.step()
    assert lease.fence() is not None


def test_orders_end_while_the_store_is_away(make_lease, clock, store):
    lease = make_lease("a")
    lease.step()
    store.fail = PlatformUnavailable("down")
    clock.now += 1.3
    with pytest.raises(PlatformUnavailable):
        lease.step()
    assert lease.fence() is None
    store.fail = None
    lease.step()
    assert lease.fence() is not None


def test_released_lease_is_taken_without_waiting_for_its_end(make_lease, clock):
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    first.release()
    assert first.fence() is None
    clock.now += 0.1
    second.step()
    assert second.holds
    assert second.fence() is None


def test_restarted_instance_is_another_holder(make_lease, clock):
    # The giver's process is killed and comes back under the same name: orders of
    # its former life may still be on their way.
    make_lease("a", "1").step()
    again = make_lease("a", "2")
    again.step()
    assert again.fence() is None
    assert not again.holds


def test_row_that_cannot_be_read_is_no_holder(make_lease, store):
    lease = make_lease("a")
    lease.step()
    store.row = store.row._replace(value=msgspec.json.encode("nonsense"))
    other = make_lease("b")
    other.step()
    assert other.holds


def test_giver_that_has_released_takes_nothing_again(make_lease, clock):
    # A planned stop releases the lease, and the process goes on for some seconds to
    # finish its requests: taking the free row again, it would give orders and end.
    lease = make_lease("a")
    lease.step()
    lease.release()
    for _ in range(10):
        clock.now += 0.5
        lease.step()
        assert not lease.holds
        assert lease.fence() is None


def test_quiet_time_outlasts_a_lapse_of_the_own_lease(make_lease, clock, store):
    # A giver has just taken over and must be silent yet; the store is away for a
    # moment, its own lease lapses, and it takes its own row again. The former
    # giver's last order is no older for that.
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    first.release()
    clock.now += 0.1
    second.step()
    assert second.holds
    store.fail = PlatformUnavailable("down")
    clock.now += TIMING.lease_seconds + 0.1
    with pytest.raises(PlatformUnavailable):
        second.step()
    store.fail = None
    second.step()
    assert second.holds
    while second.fence() is None:
        clock.now += 0.1
        second.step()
    since_release = clock.now - 100.0
    assert TIMING.quiet_seconds <= since_release <= TIMING.quiet_seconds + 0.5


def test_lease_counts_from_the_holders_last_news(make_lease, clock):
    # The giver's news come, so nobody reads its row. It dies; the others first read
    # the row when the news have been missing for a while. The version there is the
    # one that the news told: the lease is as old as that, not as that first read.
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    clock.now += 0.5
    first.step()
    second.heard(first.row_version)
    heard_at = clock.now
    clock.now += 2.4
    second.step()
    assert not second.holds
    clock.now += 0.2
    second.step()
    assert second.holds
    while second.fence() is None:
        clock.now += 0.1
        second.step()
    longest = TIMING.order_seconds + TIMING.quiet_seconds
    assert longest <= clock.now - heard_at <= longest + 0.2


def test_renewal_after_the_last_news_starts_the_count_anew(make_lease, clock):
    # Only the link between the two has gone silent: the giver goes on renewing.
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    second.heard(first.row_version)
    for _ in range(12):
        clock.now += 0.5
        first.step()
        if clock.now > 102.0:
            second.step()
        assert first.fence() is not None
        assert second.fence() is None


def test_small_machine_leaves_the_lease_to_others_for_a_while(make_lease, clock):
    # The order giver tells its news to all instances: on a machine with a link of
    # 10 Mbit/s the requests that pass through it waited behind them for seconds.
    small = make_lease("a", timing=TIMING._replace(standby_seconds=0.75))
    large = make_lease("b")
    small.step()
    assert not small.holds
    clock.now += 0.3
    large.step()
    assert large.holds
    large.release()
    clock.now += 0.3
    small.step()
    assert not small.holds
    clock.now += 0.8
    small.step()
    assert small.holds


def step_without_store(lease):
    with pytest.raises(PlatformUnavailable):
        lease.step()


def test_giver_goes_on_while_all_others_have_lost_the_store(make_lease, clock, store):
    # The store is away for eight seconds, and demand moves meanwhile: without orders
    # the models that are asked for now would be nowhere until it is back.
    pledged = [True]
    lease = make_lease("a", pledged=lambda: pledged[0])
    lease.step()
    store.fail = PlatformUnavailable("down")
    for _ in range(16):
        clock.now += 0.5
        step_without_store(lease)
        assert lease.fence() == 1
    pledged[0] = False
    assert lease.fence() is None
    assert not lease.gives


def test_pledges_are_no_right_for_an_instance_that_never_gave_orders(make_lease, store):
    other = make_lease("b", pledged=lambda: True)
    store.fail = PlatformUnavailable("down")
    step_without_store(other)
    assert other.fence() is None


def test_pledges_do_not_outlast_the_loss_of_the_row(make_lease, clock):
    # The giver was cut off from the store and another instance took the lease; then
    # the store goes away for all. Pledges for the new giver are none for the old one.
    first, second = make_lease("a", pledged=lambda: True), make_lease("b")
    first.step()
    second.step()
    clock.now += 3.0
    second.step()
    first.step()
    assert second.holds
    assert first.fence() is None


def test_who_has_pledged_gives_no_order_close_to_the_last_one_of_the_giver(
    make_lease, clock, store
):
    # The store is back for one instance only, and its link to the giver has gone
    # silent just before: the giver may send orders until its pledge is too old.
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    store.fail = PlatformUnavailable("down")
    clock.now += 6.0
    step_without_store(second)
    second.pledge(clock.now)
    last_order_of_first = clock.now + PLEDGE_SECONDS
    store.fail = None
    while second.fence() is None:
        clock.now += 0.1
        second.step()
    assert clock.now - last_order_of_first >= TIMING.quiet_seconds - 0.001


@pytest.fixture
def pledges(clock):
    return Pledges(clock)


def test_all_that_are_known_must_have_pledged(pledges, clock):
    assert not pledges.complete()
    pledges.heard("b", clock.now, True)
    pledges.heard("c", clock.now, True)
    assert pledges.complete()
    pledges.heard("c", clock.now, False)
    assert not pledges.complete()


def test_instance_that_is_silent_ends_the_right(pledges, clock):
    pledges.heard("b", clock.now, True)
    pledges.heard("c", clock.now, True)
    for _ in range(10):
        clock.now += 0.25
        pledges.heard("b", clock.now, True)
    assert not pledges.complete()


def test_word_that_waited_while_the_giver_stood_still_is_as_old_as_it_is(pledges, clock):
    # The giver's machine is frozen for five seconds, and another instance takes over.
    # When it wakes it first reads what had come before: pledges that were true then.
    answers = clock.now
    clock.now += 5.0
    pledges.heard("b", answers, True)
    assert not pledges.complete()


def test_giver_renews_first_when_the_store_is_back(make_lease, clock, store):
    # The giver has gone on by pledges for eight seconds. The others' first read after
    # the outage finds a row that nobody has renewed for as long: taken then, nobody
    # would give orders for the quiet time.
    first, second = make_lease("a", pledged=lambda: True), make_lease("b")
    first.step()
    second.step()
    store.fail = PlatformUnavailable("down")
    clock.now += 8.0
    second.pledge(clock.now)
    store.fail = None
    second.step()
    assert not second.holds
    clock.now += 0.5
    first.step()
    assert first.holds
    assert first.fence() is not None
    clock.now += 3.5
    second.step()
    clock.now += 2.6
    second.step()
    assert second.holds
