"""How much an instance sends to others at once when a version of the configuration is new."""

import random
import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest
from redwingscale_daemon._internal.platform.configuration import decode_configuration
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.swaps import peer_client, table_replies
from redwingscale_daemon._internal.swaps.peer_client import PeerClient
from redwingscale_daemon._internal.swaps.peer_server import LeaseState, PeerServer
from redwingscale_daemon._internal.swaps.table_replies import TableReplies
from redwingscale_standins.hosted.documents import document, stream_route

LINK_MBPS = 10.0
# The longest time that the users' rules allow for passing an event on.
PASS_SECONDS = 0.12
INSTANCES = 69
FEW = 12
FETCH_SECONDS = 20.0


def table(version, routes, first=0):
    names = random.Random(version)
    added = [
        stream_route(f"{names.random()}", f"/{names.random()}/")
        for _ in range(first, first + routes)
    ]
    made = document(version)
    return decode_configuration(msgspec.json.encode(made | {"Routes": made["Routes"] + added}))


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    return now


def replies(*tables, link_mbps=LINK_MBPS):
    routes = CurrentRoutes()
    for one in tables:
        routes.offer(one)
    return TableReplies(routes, link_mbps)


def sent_seconds(replies_made):
    """Return how long the replies take on the link."""
    sent = sum(len(one.table) + len(one.difference) for one in replies_made)
    return sent * 8 / (LINK_MBPS * 1e6)


def test_changed_route_does_not_delay_events_at_the_leader(clock):
    """Guards against a link that is full for seconds because one of 2,850 routes has changed."""
    first, later = table(1, 2850), table(1, 2850)
    key = next(iter(later.by_host_and_prefix))
    later.by_host_and_prefix[key] = later.by_host_and_prefix[key]._replace(time_limit_seconds=9.0)
    later.version = 2
    sender = replies(first, later)
    made = [sender.reply_to(1, first.digest, f"i{n}") for n in range(1, INSTANCES)]
    assert all(one.difference for one in made)
    assert sent_seconds(made) < PASS_SECONDS


@pytest.mark.parametrize("routes", [50, 500, 1500])
@pytest.mark.parametrize("knows_base", [False, True])
def test_replies_at_once_do_not_delay_events(clock, routes, knows_base):
    """Guards against large replies to all instances at the same moment."""
    base = table(1, 1)
    sender = replies(base, table(2, routes))
    digest = base.digest if knows_base else b""
    made = [sender.reply_to(1, digest, f"i{n}") for n in range(1, INSTANCES)]
    assert sent_seconds(made) <= max(PASS_SECONDS, sent_seconds(made[:1]))
    received = {f"i{n}" for n, one in enumerate(made, 1) if one.table or one.difference}
    assert all(one.holders for n, one in enumerate(made, 1) if f"i{n}" not in received)
    assert {address for one in made for address in one.holders} <= received


def test_whole_tables_are_sent_again_once_the_link_is_free(clock):
    sender = replies(table(1, 1500))
    sent = 0
    for number in range(INSTANCES):
        sent += bool(sender.reply_to(0, b"", f"i{number}").table)
        clock[0] += PASS_SECONDS
    assert sent > INSTANCES / 2


def test_fast_link_sends_whole_tables_to_all(clock):
    sender = replies(table(1, 500), link_mbps=1000.0)
    made = [sender.reply_to(0, b"", f"i{n}") for n in range(1, INSTANCES)]
    assert all(one.table for one in made)


def test_release_that_knows_no_holders_always_receives_the_table(clock):
    """Guards against an instance of an older release that waits for a version in vain."""
    sender = replies(table(1, 1500))
    assert all(sender.reply_to(0, b"", "").table for _ in range(INSTANCES))


def test_holders_of_an_earlier_version_are_not_named(clock):
    """Guards against queries that end at instances without the version."""
    sender = replies(table(1, 1500))
    sender.reply_to(0, b"", "former")
    sender._routes.offer(table(2, 1500))
    made = [sender.reply_to(0, b"", f"i{n}") for n in range(1, INSTANCES)]
    assert not any("former" in one.holders for one in made)


class Instance:
    """The peer server and client of an instance whose link takes a table in 0.1 s."""

    def __init__(self, version, link_mbps):
        self.routes = CurrentRoutes()
        self.routes.offer(table(version, 300))
        self.server = PeerServer(
            "127.0.0.1",
            0,
            self.routes,
            lambda: 0.1,
            lambda: LeaseState(StoreVersion(0, 1), None),
            link_mbps=link_mbps,
        )
        self.server.start()
        self.client = PeerClient(
            self.routes, lambda: False, lambda *_: None, lambda: self.server.address
        )


@pytest.fixture
def instances():
    made = [Instance(int(number == 0) + 1, link_mbps=1.5) for number in range(FEW)]
    yield made
    for one in made:
        one.server.stop()


def test_instances_receive_a_large_version_from_each_other(monkeypatch, instances):
    """Guards against a large version that the leader alone sends, and instances that never get it."""
    sent = []
    monkeypatch.setattr(table_replies, "log_event", lambda event, **fields: sent.append(fields))
    # All instances share the process: one may have to wait for its turn.
    monkeypatch.setattr(peer_client, "RESPONSE_TIMEOUT_MS", int(FETCH_SECONDS * 1000))
    leader, *others = instances

    def fetch(one):
        return one.client.fetch(leader.server.address, 2, FETCH_SECONDS)

    with ThreadPoolExecutor(FEW) as pool:
        assert all(pool.map(fetch, others))
    assert [one.routes.get().version for one in instances] == [2] * FEW
    assert sum(one["bytes"] > 0 for one in sent) == len(others)
    assert any(one["holders"] for one in sent)


def test_lost_holder_ends_the_fetch(instances):
    """Guards against an instance that waits for a lost one in place of reading the store."""
    leader, lost, requester, *_ = instances
    assert lost.client.fetch(leader.server.address, 2, FETCH_SECONDS)
    lost.server.stop()
    leader.server._tables._sent_until = time.monotonic() + FETCH_SECONDS
    assert not requester.client.fetch(leader.server.address, 2, FETCH_SECONDS)
