"""At most one instance leads at any time, whatever happens to it or to the store."""

import msgspec
import pytest
from redwingscale_daemon._internal.exceptions import PlatformUnavailable, WriteUnknown
from redwingscale_daemon._internal.swaps.leader_lease import LeaderLease, LeaderRecord, LeaseTiming

TIMING = LeaseTiming(
    lease_seconds=2.0, order_seconds=1.2, order_call_seconds=0.6, handover_pause_seconds=3.0
)
# From the sending of a leader's last order to the first order of its successor.
PAUSE_SECONDS = TIMING.order_call_seconds + TIMING.handover_pause_seconds


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
    def make(name, start="1", timing=TIMING):
        record = LeaderRecord(name, "127.0.0.1", 1, 2, f"{name}-{start}")
        return LeaderLease(store, record.start, lambda: record, timing, clock)

    return make


def test_first_instance_may_send_orders_at_once(make_lease):
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


def test_orders_of_two_leaders_never_interleave(make_lease, clock):
    # The first leader is cut off from the store but not from the workers: it may send its
    # last order right before it stops, and the first order of its successor must come later
    # by the whole handover pause.
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
    assert first_of_second - last_of_first >= TIMING.handover_pause_seconds
    assert second.fence() > 1


@pytest.mark.parametrize("end", ["cut from the store", "released"])
def test_order_that_arrives_late_is_older_than_the_handover_pause(make_lease, clock, end):
    # Guards against turns of two leaders: the last order of the first one was lost and sent again.
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    arrived = clock.now
    if end == "released":
        arrived += TIMING.order_call_seconds
        first.release()
    while second.fence() is None and clock.now < 120.0:
        clock.now += 0.1
        second.step()
        if first.fence() is not None:
            arrived = clock.now + TIMING.order_call_seconds
    assert clock.now - arrived >= TIMING.handover_pause_seconds


def test_suspended_leader_sends_no_order_when_it_resumes(make_lease, clock):
    # The process is suspended past its lease and resumes right before an order: the clock
    # also counts while it is suspended, and `fence` is called for each order.
    lease = make_lease("a")
    lease.step()
    clock.now += TIMING.order_seconds
    assert lease.fence() is None


def test_leader_whose_row_was_taken_stops(make_lease, clock):
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    clock.now += 3.0
    second.step()
    first.step()
    assert first.fence() is None
    assert not first.is_leader


def test_lost_response_to_a_renewal_keeps_the_lease(make_lease, clock, store):
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
    assert lease.is_leader
    assert lease.fence() == 1


def test_lost_response_to_the_first_write_is_recovered(make_lease, clock, store):
    lease = make_lease("a")
    store.lose_answer = WriteUnknown("no answer")
    with pytest.raises(WriteUnknown):
        lease.step()
    store.lose_answer = None
    lease.step()
    assert lease.fence() is not None


def test_orders_stop_while_the_store_is_unavailable(make_lease, clock, store):
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
    assert second.is_leader
    assert second.fence() is None


def test_restarted_instance_is_another_lease_holder(make_lease, clock):
    # The leader's process is killed and restarts under the same name: orders of the former
    # process may still be in flight.
    make_lease("a", "1").step()
    restarted = make_lease("a", "2")
    restarted.step()
    assert restarted.fence() is None
    assert not restarted.is_leader


def test_row_that_cannot_be_decoded_has_no_lease_holder(make_lease, store):
    lease = make_lease("a")
    lease.step()
    store.row = store.row._replace(value=msgspec.json.encode("nonsense"))
    other = make_lease("b")
    other.step()
    assert other.is_leader


def test_leader_that_released_the_lease_never_takes_it_again(make_lease, clock):
    # A planned stop releases the lease, and the process continues for some seconds to finish
    # its requests: if it took the free row again, it would lead and then stop.
    lease = make_lease("a")
    lease.step()
    lease.release()
    for _ in range(10):
        clock.now += 0.5
        lease.step()
        assert not lease.is_leader
        assert lease.fence() is None


def test_handover_pause_outlasts_a_lapse_of_the_own_lease(make_lease, clock, store):
    # A new leader is still in its handover pause when the store becomes unavailable for a
    # moment: its own lease lapses, and it takes its own row again. That must not shorten the
    # pause after the former leader's last order.
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    first.release()
    clock.now += 0.1
    second.step()
    assert second.is_leader
    store.fail = PlatformUnavailable("down")
    clock.now += TIMING.lease_seconds + 0.1
    with pytest.raises(PlatformUnavailable):
        second.step()
    store.fail = None
    second.step()
    assert second.is_leader
    while second.fence() is None:
        clock.now += 0.1
        second.step()
    since_release = clock.now - 100.0
    assert PAUSE_SECONDS <= since_release <= PAUSE_SECONDS + 0.5


def test_lease_counts_from_the_last_update_of_its_holder(make_lease, clock):
    # While the leader's updates arrive, no instance reads its row. The leader is killed, and
    # the others read the row only after some time without updates. They find the version
    # that was announced: the lease counts from that announcement, not from this first read.
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    clock.now += 0.5
    first.step()
    second.note_renewal(first.row_version)
    announced_at = clock.now
    clock.now += 2.4
    second.step()
    assert not second.is_leader
    clock.now += 0.2
    second.step()
    assert second.is_leader
    while second.fence() is None:
        clock.now += 0.1
        second.step()
    longest = TIMING.order_seconds + PAUSE_SECONDS
    assert longest <= clock.now - announced_at <= longest + 0.2


def test_renewal_after_the_last_update_restarts_the_count(make_lease, clock):
    # Only the link between the two instances is silent: the leader still renews its lease.
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.step()
    second.note_renewal(first.row_version)
    for _ in range(12):
        clock.now += 0.5
        first.step()
        if clock.now > 102.0:
            second.step()
        assert first.fence() is not None
        assert second.fence() is None


def test_small_machine_leaves_the_lease_to_others_for_a_while(make_lease, clock):
    # The leader sends its updates to all instances: on a machine with a link of 10 Mbit/s,
    # the requests that pass through it would wait behind them for seconds.
    small = make_lease("a", timing=TIMING._replace(standby_seconds=0.75))
    large = make_lease("b")
    small.step()
    assert not small.is_leader
    clock.now += 0.3
    large.step()
    assert large.is_leader
    large.release()
    clock.now += 0.3
    small.step()
    assert not small.is_leader
    clock.now += 0.8
    small.step()
    assert small.is_leader


def test_new_leader_is_found_with_few_calls(make_lease, clock, store):
    # The leader is killed among hundreds of instances. If each of them read its row twice a
    # second until there is a new leader, a handover would take thousands of calls. An
    # instance that waits at the store for a change finds the new leader at once.
    first, second = make_lease("a"), make_lease("b")
    third = make_lease("c", timing=TIMING._replace(standby_seconds=0.75))
    first.step()
    second.step()

    def pass_time(seconds):
        clock.now += seconds
        if not first.is_leader and not second.is_leader:
            second.step()

    store.during_wait = pass_time
    while third.record is None or third.record.instance == "a":
        third.watch(1.5)
    assert third.record.instance == "b"
    assert store.calls.count("changes") <= 3
    assert second.is_leader
    assert not third.is_leader


def test_row_without_renewals_is_taken_by_the_instance_that_watches_it(make_lease, clock, store):
    first, second = make_lease("a"), make_lease("b")
    first.step()
    store.calls.clear()

    def pass_time(seconds):
        clock.now += seconds

    store.during_wait = pass_time
    while not second.is_leader:
        assert not first.is_leader or second.fence() is None
        second.watch(1.5)
    assert store.calls == ["read", "changes", "changes"]


def test_watch_after_a_pause_does_not_ask_for_the_renewals_in_between(make_lease, clock, store):
    """Guards against an answer that grows with the time for which a leader was heard."""
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.watch(1.5)
    clock.now += 60.0
    first.step()
    store.calls.clear()
    second.watch(1.5)
    assert store.calls[0] == "read"
    assert second.record.instance == "a"


def test_watch_continues_after_a_gap_in_the_history(make_lease, clock, store):
    # The store drops its history while an instance waits: its copy of the row may be stale,
    # so it reads the row again.
    first, second = make_lease("a"), make_lease("b")
    first.step()
    second.watch(1.5)
    store.history_gone = True
    store.calls.clear()
    second.watch(1.5)
    assert store.calls[:2] == ["changes", "read"]
    assert len(store.calls) <= 3
    assert second.record.instance == "a"
