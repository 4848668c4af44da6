"""What an instance receives from its peers while the store rejects it."""

import random
import socket
import threading
import time
from collections import Counter

import msgspec
import pynng
import pytest
from redwingscale_daemon._internal.fleet.rate_limits import RateLimits
from redwingscale_daemon._internal.platform.configuration import decode_configuration
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.table_record import decode_table, encode_table
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.swaps.leader_lease import LeaderLease, LeaderRecord, LeaseTiming
from redwingscale_daemon._internal.swaps.peer_client import (
    ANNOUNCED_SECONDS,
    MAX_PEERS,
    MAX_QUERIES_PER_STEP,
    PeerClient,
)
from redwingscale_daemon._internal.swaps.peer_server import LeaseState, PeerServer
from redwingscale_daemon._internal.swaps.rate_limit_gossip import RateLimitGossip
from redwingscale_daemon._internal.workspaces.keys import key_digest
from redwingscale_standins.hosted.documents import document
from redwingscale_standins.hosted.waiting import until

from .peers_world import KEY, LEADER, ask, table


def test_table_is_sent_complete_and_without_keys():
    """Guards against keys in messages between instances."""
    sent = table(3, KEY)
    data = encode_table(sent)
    received = decode_table(data)
    assert KEY.encode() not in data
    assert received.version == 3
    assert list(received.routes) == list(sent.routes)
    assert received.services_by_name == sent.services_by_name
    assert received.keys.find(key_digest(KEY)) == sent.keys.find(key_digest(KEY))


def test_table_without_keys_is_decoded_without_keys():
    sent = decode_configuration(msgspec.json.encode(document(1)))
    assert decode_table(encode_table(sent)).keys is None


def test_newer_configuration_comes_from_a_peer(start, requester):
    """Guards against a revoked key that still works in an instance that the store rejects."""
    requester.routes.offer(table(1, KEY))
    requester.client.remember([start(table(2)).server.address])
    requester.client.step()
    assert requester.version == 2
    assert requester.routes.get().keys.find(key_digest(KEY)) is None
    assert requester.leaders == [(StoreVersion(0, 7), LEADER)]


def test_older_configuration_of_a_peer_is_not_adopted(start, requester):
    requester.routes.offer(table(5))
    requester.client.remember([start(table(4, KEY)).server.address])
    requester.client.step()
    assert requester.version == 5


def test_peer_that_the_store_rejects_too_is_followed_by_another(start, requester):
    """Guards against a stale response that ends the queries."""
    peers = [start(table(1, KEY), age=9.0), start(table(1, KEY), age=9.0), start(table(2))]
    requester.routes.offer(table(1, KEY))
    requester.client.remember([peer.server.address for peer in peers])
    requester.client.step()
    assert requester.version == 2


def test_peers_that_are_silent_or_invalid_are_skipped(start, requester):
    with socket.create_server(("127.0.0.1", 0)) as silent, pynng.Rep0() as invalid:
        listener = invalid.listen("tcp://127.0.0.1:0")
        port = int(str(listener.local_address).rsplit(":", 1)[1])
        addresses = [f"127.0.0.1:{silent.getsockname()[1]}", f"127.0.0.1:{port}"]
        requester.client.remember([*addresses, start(table(2)).server.address])
        requester.client.step()
    assert requester.version == 2


def test_silent_peers_do_not_delay_the_answer_of_another(requester, monkeypatch):
    """Guards against a version that is late by the time limit of each silent peer before it."""
    all_asked = threading.Barrier(MAX_QUERIES_PER_STEP)

    def query(address):
        all_asked.wait(5.0)

    monkeypatch.setattr(requester.client, "_query", query)
    requester.client.remember([f"peer{number}:1" for number in range(MAX_QUERIES_PER_STEP)])
    requester.client.step()
    assert not all_asked.broken


def test_query_nested_too_deeply_does_not_end_the_server(start):
    """Guards against an instance that answers no other one any more."""
    peer = start(table(2))
    fields = b"".join(map(msgspec.msgpack.encode, (1, [], [], False, None, b"", "")))
    with pynng.Req0(recv_timeout=300) as link:
        link.dial(f"tcp://{peer.server.address}", block=True)
        # One field more than a query has.
        link.send(b"\x98" + fields + b"\x91" * 5000 + b"\x01")
        with pytest.raises(pynng.Timeout):
            link.recv()
    assert ask(peer, 1).configuration == 2


def test_no_peer_is_queried_without_need(start, requester):
    requester.needed = False
    requester.client.remember([start(table(2)).server.address])
    requester.client.step()
    assert requester.version is None


def test_no_table_is_sent_to_an_instance_that_has_it(start, requester):
    peer = start(table(2))
    requester.routes.offer(table(2))
    requester.client.remember([peer.server.address])
    requester.client.step()
    assert requester.leaders == [(StoreVersion(0, 7), LEADER)]
    response = ask(peer, 2)
    assert (response.configuration, response.table, response.difference) == (2, b"", b"")


def test_lease_row_of_a_peer_is_adopted_only_if_newer(store):
    """Guards against a return to a former leader."""
    timing = LeaseTiming(2.0, 1.2, 0.6, 0.3)
    lease = LeaderLease(store, "me", lambda: LEADER, timing)
    lease.adopt_record(StoreVersion(0, 9), LEADER)
    former = LeaderRecord("n1", "127.0.0.1", 1, 2, "former")
    lease.adopt_record(StoreVersion(0, 8), former)
    assert lease.record == LEADER
    assert lease.row_version == StoreVersion(0, 9)


def test_advertised_rate_limit_is_forwarded_without_a_leader():
    # Guards against instances that each learn of a limit by a request of their own.
    here, there = RateLimits(), RateLimits()
    routes = CurrentRoutes()
    server = PeerServer(
        "127.0.0.1",
        0,
        routes,
        lambda: 0.1,
        lambda: LeaseState(StoreVersion(0, 7), None),
        there.receive_from_peer,
    )
    server.start()
    client = PeerClient(routes, lambda: False, lambda *_: None, lambda: "")
    client.remember([server.address])
    gossip = RateLimitGossip(here, client.addresses, lambda: True, client.push)
    gossip.start()
    here.note_limit("u", 2.0, "answer")
    until(lambda: there.per_second("u") == 2.0, "the limit at the peer")
    gossip.stop()
    server.stop()


def test_rate_limit_is_forwarded_only_while_the_leader_is_silent():
    # Guards against messages between all instances in addition to the leader's updates.
    rates, sent, silent = RateLimits(), [], []
    gossip = RateLimitGossip(
        rates, lambda: ["peer"], lambda: bool(silent), lambda *message: sent.append(message)
    )
    rates.note_limit("u", 2.0, "answer")
    gossip.check(0.0)
    gossip.check(1.1)
    silent.append(True)
    gossip.check(1.2)
    assert sent == []
    silent.clear()
    rates.note_limit("u", 3.0, "answer")
    gossip.check(2.0)
    silent.append(True)
    gossip.check(2.6)
    assert [entry.per_second for _, entries in sent for entry in entries] == [3.0]


def announce_in_turns(clients, addresses, rounds):
    """Announce eight of all ``addresses`` at a time, to all clients."""
    drawn = random.Random(1)
    for _ in range(rounds):
        sample = drawn.sample(addresses, 8)
        for client in clients:
            client.remember(sample)


def test_partners_do_not_change_with_each_announcement():
    """Guards against instances that send all entries anew to peers announced again."""
    addresses = [f"10.0.0.{number}:1" for number in range(80)]
    changes = []
    client = PeerClient(
        CurrentRoutes(), lambda: False, lambda *_: None, lambda: addresses[0],
        lambda: changes.append(True),
    )  # fmt: skip
    announce_in_turns([client], addresses, 100)
    chosen = set(client.partners())
    assert len(chosen) == MAX_PEERS
    changes.clear()
    announce_in_turns([client], addresses, 50)
    assert (set(client.partners()), changes) == (chosen, [])


def test_each_instance_is_a_partner_of_some():
    """Guards against instances that hear of no entry since all others know the same peers."""
    addresses = [f"10.0.0.{number}:1" for number in range(80)]
    clients = [
        PeerClient(CurrentRoutes(), lambda: False, lambda *_: None, lambda own=own: own)
        for own in addresses
    ]
    announce_in_turns(clients, addresses, 100)
    chosen = Counter(address for client in clients for address in client.partners())
    assert min(chosen[address] for address in addresses) >= 10


def test_peer_that_is_announced_no_more_is_dropped(monkeypatch):
    """Guards against entries and questions for an instance that is gone."""
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    client = PeerClient(CurrentRoutes(), lambda: False, lambda *_: None, lambda: "own")
    client.remember(["a", "b"])
    now[0] += ANNOUNCED_SECONDS
    client.remember(["b"])
    assert client.partners() == client.addresses() == ["b"]
