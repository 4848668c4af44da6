"""What the order giver tells all instances, and how often."""

import time

import msgspec
import pytest
from redwingscale_daemon._internal.composition.swaps import _take_update
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import ServiceRule
from redwingscale_daemon._internal.swaps.leader import Leader
from redwingscale_daemon._internal.swaps.list_changes import ListChanges
from redwingscale_daemon._internal.swaps.load_rate import LoadCeiling
from redwingscale_daemon._internal.swaps.messages import (
    InstanceUpdate,
    LeaderUpdate,
    LoadEntry,
    ResidencyEntry,
    StoreUpdate,
)
from redwingscale_daemon._internal.swaps.update_schedule import UpdateSchedule
from redwingscale_daemon._internal.swaps.worker_orders import OrderAuthority

from .conftest import SERVICE, upstream

NOTHING_READ = StoreUpdate(1, ListUpdate([], [], 0.0, 0, 0), 1, 0.0)


class Server:
    def __init__(self):
        self.told = []

    def publish(self, update):
        self.told.append(update)
        return len(msgspec.msgpack.encode(update))


def _leader_of_many(engine, worker, upstreams=1, link_mbps=1000.0):
    routes = CurrentRoutes()
    services = {SERVICE: ServiceRule(SERVICE, 100, engine)}
    routes.offer(RouteTable(1, (), services, IngressLimits(1000, 1000, 1.0, 1.0)))
    fleet = new_fleet()
    fleet.directory.replace([upstream(f"u{n}", "a", "b") for n in range(upstreams)])
    authority = OrderAuthority("i0", lambda: 7)
    ceiling = LoadCeiling(0.0, 5.0)

    def read(changes):
        return StoreUpdate(1, changes.make_update(fleet.directory, 0.1), 1, 0.1)

    return Leader(authority, routes, fleet.directory, worker, Server(), ceiling, read, link_mbps)


@pytest.fixture
def leader(engine, worker):
    return _leader_of_many(engine, worker)


def loads(instance, requests):
    return InstanceUpdate(instance, [], [LoadEntry("u0", requests, 100 * requests)], [], [])


def test_loads_of_all_instances_are_told_as_one_sum(leader):
    # Sixty instances told of forty-five upstreams each: every message to each of them
    # held 2,700 entries, and they were most of the bytes between failure domains.
    for number in range(20):
        leader.receive(loads(f"i{number}", 2))
    assert leader.step().loads == [LoadEntry("u0", 40, 4000)]


def test_nothing_is_told_between_two_changes(leader):
    assert leader.step() is not None
    leader.receive(InstanceUpdate("i1", [], [], [], []))
    assert leader.step() is not None
    leader._wake.set()
    assert leader.step() is None


def test_instance_that_has_just_come_is_told_what_is_held(leader, monkeypatch):
    leader.receive(loads("i1", 1))
    leader.step()
    real = time.monotonic
    monkeypatch.setattr(time, "monotonic", lambda: real() + 0.4)
    leader._wake.set()
    update = leader.step()
    assert (update.residency, update.residency_complete) == ([], False)
    leader.receive(loads("i2", 1))
    assert leader.step().residency_complete


def test_own_load_is_not_counted_twice():
    fleet = new_fleet()
    own = [LoadEntry("u0", 3, 200)]
    fleet.load_tracker.open_ticket("u0", None, 0)
    _take_update(
        LeaderUpdate("g", 1, [], True, {}, [LoadEntry("u0", 5, 900)], 2, NOTHING_READ), own, fleet
    )
    assert fleet.load_tracker.total("u0") == Load(3, 700)


def test_holdings_of_a_former_giver_are_not_carried_over():
    # A new giver says that nothing has changed; this instance has only the former
    # giver's view, and models have moved since.
    fleet = new_fleet()
    held = [ResidencyEntry("u0", {"a": []})]
    _take_update(LeaderUpdate("g", 1, held, True, {}, [], 1, NOTHING_READ), [], fleet)
    before = fleet.residency._view
    _take_update(LeaderUpdate("h", 2, [], False, {}, None, 1, NOTHING_READ), [], fleet)
    assert fleet.residency._view is before
    _take_update(LeaderUpdate("g", 1, [], False, {}, None, 1, NOTHING_READ), [], fleet)
    assert fleet.residency.resident("u0") == {"a": frozenset()}
    assert fleet.residency._view is not before


def test_change_is_told_alone_and_again_for_a_second(monkeypatch):
    # Forty-five workers' holdings are 3 KB, and one adapter more changes them: told
    # whole to sixty-nine instances, thirty times a second, they filled the link.
    real, offset = time.monotonic, [0.0]
    monkeypatch.setattr(time, "monotonic", lambda: real() + offset[0])
    schedule = UpdateSchedule()
    held = {f"u{n}": {"a": frozenset()} for n in range(45)}
    assert len(schedule.residency(held, periodic=True)[0]) == 45
    offset[0] += 1.1
    assert schedule.residency(held, periodic=True) == ([], False)
    held["u7"] = {"a": frozenset({"x"})}
    for _ in range(2):
        told = schedule.residency(held, periodic=False)
        assert told == ([ResidencyEntry("u7", {"a": ["x"]})], False)
        offset[0] += 0.4
    offset[0] += 0.5
    # News that may not be sent must not count as having told all.
    assert not schedule.residency(held, periodic=False)[1]
    entries, residency_complete = schedule.residency(held, periodic=True)
    assert (len(entries), residency_complete) == (45, True)


def test_holdings_that_are_unknown_again_are_told_by_telling_all():
    # A worker's order got no answer: what it holds is unknown, and the others must
    # not go on with what was told before.
    schedule = UpdateSchedule()
    schedule.residency({"u0": {"a": frozenset()}, "u1": {"b": frozenset()}}, periodic=True)
    told = schedule.residency({"u0": {"a": frozenset()}, "u1": None}, periodic=False)
    assert told == ([ResidencyEntry("u0", {"a": []})], True)


def test_changes_are_merged_into_the_view():
    fleet = new_fleet()
    both = [ResidencyEntry("u0", {"a": []}), ResidencyEntry("u1", {"b": []})]
    _take_update(LeaderUpdate("g", 1, both, True, {}, [], 1, NOTHING_READ), [], fleet)
    one = [ResidencyEntry("u1", {"b": ["x"]})]
    _take_update(LeaderUpdate("g", 1, one, False, {}, None, 1, NOTHING_READ), [], fleet)
    assert fleet.residency.resident("u0") == {"a": frozenset()}
    assert fleet.residency.resident("u1") == {"b": frozenset({"x"})}


def test_all_that_is_held_is_told_at_a_pace_that_the_link_carries(monkeypatch):
    # Among some two hundred instances the giver told all holdings anew for each that
    # joined and for each order without an answer, eight times a second. Its link was
    # full, its renewals got no answer, and it lost the lease two seconds later; so did
    # the next one, and for ten seconds nobody gave orders.
    real, offset = time.monotonic, [0.0]
    monkeypatch.setattr(time, "monotonic", lambda: real() + offset[0])
    schedule, instances = UpdateSchedule(), 195
    adapters = [f"a{n}" for n in range(3)]
    held = {f"i-{n:010x}": {f"model{n}-{m}": adapters for m in range(3)} for n in range(78)}
    told = 0
    for step in range(40):
        offset[0] += 0.125
        schedule.request_full()
        unknown = f"i-{step:010x}"
        entries, _ = schedule.residency(
            held | {unknown: None}, periodic=step % 2 == 0, instances=instances
        )
        told += len(msgspec.msgpack.encode(entries)) * instances
    seconds = 40 * 0.125
    # A third of a link of 100 Mbit/s: the store's calls and callers' requests need the rest.
    assert told / seconds < 100e6 / 8 / 3


def test_newcomer_among_few_is_told_at_once():
    schedule = UpdateSchedule()
    held = {"u0": {"a": frozenset()}}
    schedule.residency(held, periodic=True, instances=6)
    time.sleep(6 * 0.005)
    schedule.request_full()
    assert schedule.residency(held, periodic=False, instances=6)[1]


def test_first_list_is_told_in_pieces_and_once():
    changes = ListChanges()
    listed = [upstream(f"u{n}", "a") for n in range(30)]
    changes.begin_with(listed)
    told = [changes.of(listed)[0] for _ in range(5)]
    assert sorted(one.id for piece in told for one in piece) == sorted(one.id for one in listed)
    assert max(map(len, told)) <= 8
    assert changes.of(listed[1:]) == ([], ["u0"])


def test_a_small_machines_news_leave_room_on_its_link(engine, worker):
    # All large machines were cut from the store, and one with 10 Mbit/s gave the orders:
    # four messages a second to two hundred instances filled its link, and it lost the
    # lease two seconds after each time that it took it.
    leader = _leader_of_many(engine, worker, upstreams=78, link_mbps=10.0)
    for number in range(195):
        entries = [LoadEntry(f"u{n}", 1, 1000) for n in range(78)]
        leader.receive(InstanceUpdate(f"i{number}", [], entries, [], []))
    started = time.monotonic()
    told = [leader.step() for _ in range(3)]
    seconds = time.monotonic() - started
    sent = sum(len(msgspec.msgpack.encode(update)) for update in told if update is not None)
    assert sent * 195 * 8 / seconds < 10e6
