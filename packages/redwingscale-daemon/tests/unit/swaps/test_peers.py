"""What an instance learns from others while the store turns it away."""

import socket

import msgspec
import pynng
import pytest
from redwingscale_daemon._internal.fleet.rate_limits import RateLimits
from redwingscale_daemon._internal.platform.configuration import decode_configuration
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.table_record import decode_table, encode_table
from redwingscale_daemon._internal.swaps.leader_lease import LeaderLease, LeaderRecord, LeaseTiming
from redwingscale_daemon._internal.swaps.peer_client import PeerClient
from redwingscale_daemon._internal.swaps.peer_server import LeaseState, PeerServer
from redwingscale_daemon._internal.swaps.rate_limit_gossip import RateLimitGossip
from redwingscale_daemon._internal.workspaces.keys import key_digest
from redwingscale_standins.hosted.documents import document
from redwingscale_standins.hosted.waiting import until

KEY = "k2b7ex5wa5"
LEADER = LeaderRecord("n9", "127.0.0.1", 1, 2, "start")


def table(version, *keys):
    tenants = [{"Name": "clerks", "ApiKeys": list(keys), "RatePerS": 5, "Burst": 9}]
    return decode_configuration(msgspec.json.encode(document(version) | {"Tenants": tenants}))


class Peer:
    """An instance's desk, and what it knows."""

    def __init__(self, newest, age=0.1):
        self.routes = CurrentRoutes()
        self.routes.offer(newest)
        self.server = PeerServer(
            "127.0.0.1", 0, self.routes, lambda: age, lambda: LeaseState(7, LEADER)
        )
        self.server.start()


@pytest.fixture
def start():
    """Start peers; they are stopped at the end."""
    started = []

    def start_peer(*arguments, **options):
        started.append(Peer(*arguments, **options))
        return started[-1]

    yield start_peer
    for peer in started:
        peer.server.stop()


class Asker:
    """An instance that is turned away by the store."""

    def __init__(self):
        self.routes = CurrentRoutes()
        self.needed = True
        self.givers = []
        self.client = PeerClient(
            self.routes,
            lambda: self.needed,
            lambda version, record: self.givers.append((version, record)),
            lambda: "127.0.0.1:1",
        )

    @property
    def version(self):
        known = self.routes.get()
        return known.version if known else None


@pytest.fixture
def asker():
    return Asker()


def test_table_passes_whole_and_holds_no_key():
    """Guards against keys in messages between instances."""
    sent = table(3, KEY)
    data = encode_table(sent)
    got = decode_table(data)
    assert KEY.encode() not in data
    assert got.version == 3
    assert list(got.routes) == list(sent.routes)
    assert got.services_by_name == sent.services_by_name
    assert got.keys.find(key_digest(KEY)) == sent.keys.find(key_digest(KEY))


def test_table_without_keys_stays_one_without_keys():
    sent = decode_configuration(msgspec.json.encode(document(1)))
    assert decode_table(encode_table(sent)).keys is None


def test_newer_configuration_comes_from_a_peer(start, asker):
    """Guards against a withdrawn key that still works where the store turns an instance away."""
    asker.routes.offer(table(1, KEY))
    asker.client.remember([start(table(2)).server.address])
    asker.client.step()
    assert asker.version == 2
    assert asker.routes.get().keys.find(key_digest(KEY)) is None
    assert asker.givers == [(7, LEADER)]


def test_older_configuration_of_a_peer_is_not_taken(start, asker):
    asker.routes.offer(table(5))
    asker.client.remember([start(table(4, KEY)).server.address])
    asker.client.step()
    assert asker.version == 5


def test_peer_that_is_turned_away_too_is_followed_by_another(start, asker):
    """Guards against an answer of old that ends the questions."""
    peers = [start(table(1, KEY), age=9.0), start(table(1, KEY), age=9.0), start(table(2))]
    asker.routes.offer(table(1, KEY))
    asker.client.remember([peer.server.address for peer in peers])
    asker.client.step()
    assert asker.version == 2


def test_peers_that_are_gone_or_talk_nonsense_are_passed_over(start, asker):
    with socket.create_server(("127.0.0.1", 0)) as silent, pynng.Rep0() as odd:
        listener = odd.listen("tcp://127.0.0.1:0")
        port = int(str(listener.local_address).rsplit(":", 1)[1])
        addresses = [f"127.0.0.1:{silent.getsockname()[1]}", f"127.0.0.1:{port}"]
        asker.client.remember([*addresses, start(table(2)).server.address])
        asker.client.step()
    assert asker.version == 2


def test_nobody_is_asked_without_need(start, asker):
    asker.needed = False
    asker.client.remember([start(table(2)).server.address])
    asker.client.step()
    assert asker.version is None


def test_no_table_is_sent_to_an_instance_that_has_it(start, asker):
    peer = start(table(2))
    asker.routes.offer(table(2))
    asker.client.remember([peer.server.address])
    asker.client.step()
    assert peer.server._compressed_table[0] == 2
    assert asker.givers == [(7, LEADER)]


def test_lease_row_told_by_a_peer_is_taken_only_if_newer(store):
    """Guards against a return to a former order giver."""
    timing = LeaseTiming(2.0, 1.2, 0.3)
    lease = LeaderLease(store, "me", lambda: LEADER, timing)
    lease.adopt_record(9, LEADER)
    former = LeaderRecord("n1", "127.0.0.1", 1, 2, "former")
    lease.adopt_record(8, former)
    assert lease.record == LEADER
    assert lease.row_version == 9


def test_rate_that_an_upstream_names_is_passed_on_without_an_order_giver():
    # Guards against instances that each learn of a rate by a request of their own.
    here, there = RateLimits(), RateLimits()
    routes = CurrentRoutes()
    server = PeerServer(
        "127.0.0.1", 0, routes, lambda: 0.1, lambda: LeaseState(7, None), there.receive_from_peer
    )
    server.start()
    client = PeerClient(routes, lambda: False, lambda *_: None, lambda: "")
    client.remember([server.address])
    gossip = RateLimitGossip(here, client.addresses, lambda: True, client.push)
    gossip.start()
    here.note_limit("u", 2.0, "answer")
    until(lambda: there.per_second("u") == 2.0, "the peer's knowledge")
    gossip.stop()
    server.stop()


def test_rate_is_passed_on_only_while_no_order_giver_is_heard():
    # Guards against messages between all instances beside the order giver's own.
    rates, told, silent = RateLimits(), [], []
    gossip = RateLimitGossip(
        rates, lambda: ["peer"], lambda: bool(silent), lambda *message: told.append(message)
    )
    rates.advertised("u", 2.0, "answer")
    gossip.check(0.0)
    gossip.check(1.1)
    silent.append(True)
    gossip.check(1.2)
    assert told == []
    silent.clear()
    rates.advertised("u", 3.0, "answer")
    gossip.check(2.0)
    silent.append(True)
    gossip.check(2.6)
    assert [entry.per_second for _, entries in told for entry in entries] == [3.0]
