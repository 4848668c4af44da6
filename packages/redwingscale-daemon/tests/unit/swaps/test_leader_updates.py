"""What the leader sends to all instances, and how often."""

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
        self.published = []

    def publish(self, update):
        self.published.append(update)
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


def test_loads_of_all_instances_are_sent_as_one_sum(leader):
    # Without the sum, with sixty instances and forty-five upstreams, the update to each
    # instance would have 2,700 entries: most of the bytes between failure domains.
    for number in range(20):
        leader.receive(loads(f"i{number}", 2))
    assert leader.step().loads == [LoadEntry("u0", 40, 4000)]


def test_no_update_is_sent_without_a_change(leader):
    assert leader.step() is not None
    leader.receive(InstanceUpdate("i1", [], [], [], []))
    assert leader.step() is not None
    leader._wake.set()
    assert leader.step() is None


def test_new_instance_gets_the_full_residency(leader, monkeypatch):
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


def test_residency_of_a_former_leader_is_not_carried_over():
    # A new leader announces no changes, while this instance has only the former leader's
    # view, and models have moved since.
    fleet = new_fleet()
    entries = [ResidencyEntry("u0", {"a": []})]
    _take_update(LeaderUpdate("g", 1, entries, True, {}, [], 1, NOTHING_READ), [], fleet)
    before = fleet.residency._view
    _take_update(LeaderUpdate("h", 2, [], False, {}, None, 1, NOTHING_READ), [], fleet)
    assert fleet.residency._view is before
    _take_update(LeaderUpdate("g", 1, [], False, {}, None, 1, NOTHING_READ), [], fleet)
    assert fleet.residency.resident("u0") == {"a": frozenset()}
    assert fleet.residency._view is not before


def test_change_is_sent_alone_and_repeated_for_a_second(monkeypatch):
    # The residency of forty-five workers takes 3 KB, and each adapter loaded changes it: sent
    # in full to sixty-nine instances, thirty times a second, it would fill the link.
    real, offset = time.monotonic, [0.0]
    monkeypatch.setattr(time, "monotonic", lambda: real() + offset[0])
    schedule = UpdateSchedule()
    resident = {f"u{n}": {"a": frozenset()} for n in range(45)}
    assert len(schedule.residency(resident, periodic=True)[0]) == 45
    offset[0] += 1.1
    assert schedule.residency(resident, periodic=True) == ([], False)
    resident["u7"] = {"a": frozenset({"x"})}
    for _ in range(2):
        sent = schedule.residency(resident, periodic=False)
        assert sent == ([ResidencyEntry("u7", {"a": ["x"]})], False)
        offset[0] += 0.4
    offset[0] += 0.5
    # An update that may not be sent must not count as one with the full residency.
    assert not schedule.residency(resident, periodic=False)[1]
    entries, residency_complete = schedule.residency(resident, periodic=True)
    assert (len(entries), residency_complete) == (45, True)


def test_residency_that_becomes_unknown_causes_a_full_update():
    # A worker did not respond to an order, so its residency is unknown: the other instances
    # must not continue to use what they received before.
    schedule = UpdateSchedule()
    schedule.residency({"u0": {"a": frozenset()}, "u1": {"b": frozenset()}}, periodic=True)
    sent = schedule.residency({"u0": {"a": frozenset()}, "u1": None}, periodic=False)
    assert sent == ([ResidencyEntry("u0", {"a": []})], True)


def test_changes_are_merged_into_the_view():
    fleet = new_fleet()
    both = [ResidencyEntry("u0", {"a": []}), ResidencyEntry("u1", {"b": []})]
    _take_update(LeaderUpdate("g", 1, both, True, {}, [], 1, NOTHING_READ), [], fleet)
    one = [ResidencyEntry("u1", {"b": ["x"]})]
    _take_update(LeaderUpdate("g", 1, one, False, {}, None, 1, NOTHING_READ), [], fleet)
    assert fleet.residency.resident("u0") == {"a": frozenset()}
    assert fleet.residency.resident("u1") == {"b": frozenset({"x"})}


def test_full_residency_is_sent_at_a_rate_that_the_link_carries(monkeypatch):
    # Among some two hundred instances, a leader that sends the full residency for each
    # instance that joins and for each order without a response does so eight times a second.
    # That fills its link, its renewals get no response, and it loses the lease two seconds
    # later. The same happens to its successor: for ten seconds there is no leader.
    real, offset = time.monotonic, [0.0]
    monkeypatch.setattr(time, "monotonic", lambda: real() + offset[0])
    schedule, instances = UpdateSchedule(), 195
    adapters = [f"a{n}" for n in range(3)]
    resident = {f"i-{n:010x}": {f"model{n}-{m}": adapters for m in range(3)} for n in range(78)}
    sent_bytes = 0
    for step in range(40):
        offset[0] += 0.125
        schedule.request_full()
        unknown = f"i-{step:010x}"
        entries, _ = schedule.residency(
            resident | {unknown: None}, periodic=step % 2 == 0, instances=instances
        )
        sent_bytes += len(msgspec.msgpack.encode(entries)) * instances
    seconds = 40 * 0.125
    # A third of a link of 100 Mbit/s: calls to the store and callers' requests need the rest.
    assert sent_bytes / seconds < 100e6 / 8 / 3


def test_new_instance_among_few_gets_the_full_residency_at_once():
    schedule = UpdateSchedule()
    resident = {"u0": {"a": frozenset()}}
    schedule.residency(resident, periodic=True, instances=6)
    time.sleep(6 * 0.005)
    schedule.request_full()
    assert schedule.residency(resident, periodic=False, instances=6)[1]


def test_initial_list_is_sent_in_pieces_and_once():
    changes = ListChanges()
    listed = [upstream(f"u{n}", "a") for n in range(30)]
    changes.begin_with(listed)
    pieces = [changes.of(listed)[0] for _ in range(5)]
    assert sorted(one.id for piece in pieces for one in piece) == sorted(one.id for one in listed)
    assert max(map(len, pieces)) <= 8
    assert changes.of(listed[1:]) == ([], ["u0"])


def test_updates_of_a_small_machine_leave_room_on_its_link(engine, worker):
    # All large machines are cut off from the store, and one with 10 Mbit/s leads: four
    # updates a second to two hundred instances fill its link, and it loses the lease two
    # seconds after each time that it takes it.
    leader = _leader_of_many(engine, worker, upstreams=78, link_mbps=10.0)
    for number in range(195):
        entries = [LoadEntry(f"u{n}", 1, 1000) for n in range(78)]
        leader.receive(InstanceUpdate(f"i{number}", [], entries, [], []))
    started = time.monotonic()
    updates = [leader.step() for _ in range(3)]
    seconds = time.monotonic() - started
    sent_bytes = sum(
        len(msgspec.msgpack.encode(update)) for update in updates if update is not None
    )
    assert sent_bytes * 195 * 8 / seconds < 10e6
