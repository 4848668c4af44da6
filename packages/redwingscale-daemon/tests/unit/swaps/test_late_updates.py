"""News of the order giver that a link brings late."""

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

HELD_SECONDS = 1.0
# Of the time that news were held up, what may not be told from a calm link's delay.
UNSEEN_SECONDS = 0.2
STORE = StoreUpdate(1, ListUpdate([], [], 0.0, 0, 0), 1, 0.0)
UPDATE = LeaderUpdate("giver", 1, [], False, {}, None, 1, STORE)


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
def heard(server, path):
    """News as an instance takes them over ``path``."""
    told = []
    lease = Lease(LeaderRecord("giver", "127.0.0.1", path.port, server.needs_port, "start"))
    client = LeaderClient(
        lease, "one", lambda _: InstanceUpdate("one", [], [], [], []), told.append, lambda _: None
    )
    client.start()

    def linked():
        server.publish(UPDATE)
        return bool(told)

    assert until(linked)
    yield told
    client.stop()


def test_news_that_were_held_up_on_their_way_are_as_old_as_that(server, path, heard):
    # Guards against old news that are taken for new: a change that they lack is missed.
    path.hold_from = True
    time.sleep(UNSEEN_SECONDS)
    before = len(heard)
    server.publish(UPDATE)
    time.sleep(HELD_SECONDS)
    path.heal()
    assert until(lambda: len(heard) > before)
    store = heard[before].store
    assert store.configuration_age >= HELD_SECONDS - UNSEEN_SECONDS
    assert store.upstreams.age >= HELD_SECONDS - UNSEEN_SECONDS


@pytest.fixture
def clock(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    return now


def test_difference_of_two_clocks_is_no_delay(clock):
    # Guards against instances that trust no news as the giver's clock shows another time.
    delay = UpdateDelay()
    assert delay.seconds("a", clock[0] - 500.0) == 0.0
    assert delay.seconds("a", clock[0] - 501.5) == pytest.approx(1.5)
    assert delay.seconds("b", clock[0] + 500.0) == 0.0


def test_clocks_that_run_at_different_rates_are_no_delay(clock):
    # Guards against news that seem late after days of uptime.
    delay = UpdateDelay()
    late = []
    for second in range(0, 100_000, 100):
        clock[0] = 1000.0 + second
        late.append(delay.seconds("a", second * 0.9999))
    assert max(late) < 0.1


def test_news_that_wait_behind_each_other_stay_late(clock):
    # Guards against a full link whose delay is taken for the normal one.
    delay = UpdateDelay()
    delay.seconds("a", clock[0])
    for _ in range(1000):
        clock[0] += 0.25
        late = delay.seconds("a", clock[0] - 3.0)
    assert late > 2.5


@pytest.mark.parametrize(("seconds", "permits"), [(0.1, 3), (2.0, 0)])
def test_permits_that_come_late_are_void(seconds, permits):
    # Guards against permits of two order givers that are used at the same time.
    entry = PermitEntry("u", 1.0, 0.2, 0, {"one": 3})
    update = msgspec.structs.replace(UPDATE, rate_limits=[entry]).delayed(seconds)
    assert update.rate_limits[0].permits_by_instance.get("one", 0) == permits
    assert update.rate_limits[0].age == pytest.approx(0.2 + seconds)
