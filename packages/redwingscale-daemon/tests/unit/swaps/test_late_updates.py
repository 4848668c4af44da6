"""Updates of the leader that arrive late."""

import time

import msgspec
import pytest
from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.rate_limit_messages import PermitEntry
from redwingscale_daemon._internal.swaps.leader_client import LeaderClient
from redwingscale_daemon._internal.swaps.leader_lease import LeaderRecord
from redwingscale_daemon._internal.swaps.leader_server import LeaderServer
from redwingscale_daemon._internal.swaps.messages import InstanceUpdate, LeaderUpdate, StoreUpdate
from redwingscale_daemon._internal.swaps.update_delay import UpdateDelay
from redwingscale_standins.soak.faulty_link import FaultyLink

from .conftest import until

DELAY_SECONDS = 1.0
# The part of a delay that may go undetected, as a healthy link has some delay as well.
UNDETECTED_SECONDS = 0.2
STORE = StoreUpdate(1, ListUpdate([], [], 0.0, 0, 0), 1, 0.0)
UPDATE = LeaderUpdate("leader", 1, [], False, {}, None, 1, STORE)


class Lease:
    is_leader = False

    def __init__(self, record):
        self.record = record


@pytest.fixture
def server():
    made = LeaderServer("127.0.0.1", 0, 0, lambda update: None)
    made.start()
    yield made
    made.stop()


@pytest.fixture
def path(server):
    made = FaultyLink(server.news_port)
    yield made
    made.close()


@pytest.fixture
def received(server, path):
    """The updates that an instance receives over ``path``."""
    updates = []
    lease = Lease(LeaderRecord("leader", "127.0.0.1", path.port, server.needs_port, "start"))
    client = LeaderClient(
        lease,
        "one",
        lambda _: InstanceUpdate("one", [], [], [], []),
        updates.append,
        lambda _: None,
    )
    client.start()

    def connected():
        server.publish(UPDATE)
        return bool(updates)

    assert until(connected)
    yield updates
    client.stop()


def test_age_of_a_delayed_update_includes_the_delay(server, path, received):
    # Guards against delayed updates that pass for current: a change that they lack is missed.
    path.hold_from = True
    time.sleep(UNDETECTED_SECONDS)
    before = len(received)
    server.publish(UPDATE)
    time.sleep(DELAY_SECONDS)
    path.heal()
    assert until(lambda: len(received) > before)
    store = received[before].store
    assert store.configuration_age >= DELAY_SECONDS - UNDETECTED_SECONDS
    assert store.upstreams.age >= DELAY_SECONDS - UNDETECTED_SECONDS


@pytest.fixture
def clock(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    return now


def test_offset_between_two_clocks_is_no_delay(clock):
    # Guards against instances that reject all updates because the leader's clock is offset.
    delay = UpdateDelay()
    assert delay.seconds("a", clock[0] - 500.0) == 0.0
    assert delay.seconds("a", clock[0] - 501.5) == pytest.approx(1.5)
    assert delay.seconds("b", clock[0] + 500.0) == 0.0


def test_clocks_that_run_at_different_rates_are_no_delay(clock):
    # Guards against updates that seem late after days of uptime.
    delay = UpdateDelay()
    late = []
    for second in range(0, 100_000, 100):
        clock[0] = 1000.0 + second
        late.append(delay.seconds("a", second * 0.9999))
    assert max(late) < 0.1


def test_updates_that_queue_behind_each_other_stay_late(clock):
    # Guards against a congested link whose delay is taken for the normal one.
    delay = UpdateDelay()
    delay.seconds("a", clock[0])
    for _ in range(1000):
        clock[0] += 0.25
        late = delay.seconds("a", clock[0] - 3.0)
    assert late > 2.5


@pytest.mark.parametrize(("seconds", "permits"), [(0.1, 3), (2.0, 0)])
def test_permits_that_arrive_late_are_void(seconds, permits):
    # Guards against permits of two leaders that are used at the same time.
    entry = PermitEntry("u", 1.0, 0.2, 0, {"one": 3})
    update = msgspec.structs.replace(UPDATE, rate_limits=[entry]).delayed(seconds)
    assert update.rate_limits[0].permits_by_instance.get("one", 0) == permits
    assert update.rate_limits[0].age == pytest.approx(0.2 + seconds)
