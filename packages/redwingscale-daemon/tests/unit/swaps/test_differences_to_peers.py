"""What a peer sends to an instance whose configuration is older, in place of the whole table."""

import threading
import zlib

import msgspec
import pynng
import pytest
from redwingscale_daemon._internal.fleet.path_messages import PathQuery
from redwingscale_daemon._internal.routes.table_record import decode_table, encode_table
from redwingscale_daemon._internal.swaps import table_replies

from .peers_world import KEY, LEADER, ask, table


def test_difference_is_sent_to_an_instance_with_an_earlier_version(start, requester):
    """Guards against whole tables to all instances at once, which fill the link of the leader."""
    peer = start(table(1, KEY))
    requester.routes.offer(table(1, KEY))
    peer.routes.offer(table(2))
    peer.routes.offer(table(3, "other"))
    response = ask(peer, 1, [], [], False, None, requester.routes.get().digest)
    assert response.table == b""
    assert len(response.difference) < len(ask(peer, 1).table)
    requester.client.remember([peer.server.address])
    requester.client.step()
    assert requester.version == 3
    assert requester.routes.get().digest == table(3, "other").digest


def test_whole_table_is_sent_where_the_earlier_one_is_not_known(start, requester):
    """Guards against a difference that is applied to another table than the one it leads from."""
    peer = start(table(1, KEY))
    requester.routes.offer(table(1, "decoded otherwise by another release"))
    peer.routes.offer(table(2, KEY))
    requester.client.remember([peer.server.address])
    requester.client.step()
    assert requester.routes.get().digest == table(2, KEY).digest


def test_release_without_differences_receives_the_whole_table(start):
    peer = start(table(1))
    peer.routes.offer(table(2, KEY))
    response = ask(peer, 1, [], [], False)
    assert decode_table(zlib.decompress(response.table)).digest == table(2, KEY).digest
    assert response.difference == b""


def test_whole_table_of_a_release_without_differences_is_adopted(requester):
    response = [2, zlib.compress(encode_table(table(2, KEY))), 0.1, 7, LEADER, []]
    requester.routes.offer(table(1))
    with pynng.Rep0(recv_timeout=2000) as older:
        listener = older.listen("tcp://127.0.0.1:0")
        requester.client.remember([str(listener.local_address).removeprefix("tcp://")])
        step = threading.Thread(target=requester.client.step)
        step.start()
        older.recv()
        older.send(msgspec.msgpack.encode(response))
        step.join()
    assert requester.routes.get().digest == table(2, KEY).digest


@pytest.mark.parametrize(
    "query",
    [
        lambda client, address: client.exchange(address, [], skip=0),
        lambda client, address: client.ask_path(address, PathQuery([], 1.0)),
    ],
)
def test_no_table_is_sent_with_other_replies(monkeypatch, start, requester, query):
    """Guards against tables that fill a link and are not used."""
    sent = []
    monkeypatch.setattr(table_replies, "log_event", lambda event, **fields: sent.append(event))
    peer = start(table(2))
    query(requester.client, peer.server.address)
    assert sent == []
    requester.client.remember([peer.server.address])
    requester.client.step()
    assert sent == ["configuration_sent"]
