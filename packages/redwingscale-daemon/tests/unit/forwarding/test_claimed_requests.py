"""Which of two instances asks further upstreams for a request that one has passed on."""

import time

import msgspec
import pytest
from redwingscale_daemon._internal.fleet.path_messages import PathQuery, PathReply
from redwingscale_daemon._internal.forwarding import answer_stream, peer_offers, peer_stream
from redwingscale_daemon._internal.forwarding.shared_runs import SharedRuns

from .conftest import WAIT_SECONDS, events, read_response
from .test_bytes_held import wait_until
from .test_passed_on import carried
from .test_second_upstream import ASK_SECONDS, SILENCE_SECONDS, Pausing
from .test_silent_upstreams import after
from .test_streams import numbers

# The peer asks a second upstream well before the instance that has passed the request on.
PEER_SILENCE_SECONDS = 4 * SILENCE_SECONDS


@pytest.fixture(autouse=True)
def short_silence(monkeypatch):
    monkeypatch.setattr(answer_stream, "STREAM_SILENCE_SECONDS", SILENCE_SECONDS)
    monkeypatch.setattr(peer_stream, "PEER_STREAM_SILENCE_SECONDS", PEER_SILENCE_SECONDS)


@pytest.fixture
def cut(world, peer):
    """An instance without a path, and ``peer`` that takes its requests and answers its claims."""
    world.add("llm", events(99))
    world.peers["p0"] = peer.take_requests_of_peers()
    ask = world.offers._ask

    def answer(address, query):
        reply = ask(address, query)
        if address != "p0" or not query.passing:
            return reply
        return msgspec.structs.replace(reply, runs=peer.handler.claim(query.passing))

    world.offers._ask = answer
    world.lose_path()
    return world


def upstreams(world):
    return [one.upstream for one in world.log]


def test_second_peer_is_not_asked_if_the_first_one_has_asked_all(cut, peer):
    """Guards against more upstreams than the route allows over two peers."""
    for _ in range(2):
        peer.add("llm", Pausing(PEER_SILENCE_SECONDS + 2 * ASK_SECONDS, 1, 2, 3))
    # The second upstream begins after the first event, and pauses after its own first one.
    caller = cut.send("/long/x", model="m")
    wait_until(lambda: len(peer.log) == 2)
    cut.add_peer(events(2, 3))
    assert read_response(caller).whole
    assert (upstreams(peer), upstreams(cut)) == (["u0", "u1"], [])


def test_peer_asks_no_second_upstream_after_the_instance_has(cut, peer):
    """Guards against the same where the peer finds another holder only later."""
    peer.add("llm", Pausing(WAIT_SECONDS, 1, 2, 3))
    caller = cut.send("/long/x", model="m")
    wait_until(lambda: peer.log)
    cut.add_peer(after(3 * ASK_SECONDS, events(2, 3)))
    wait_until(lambda: cut.log)
    peer.add("llm", events(2, 3))
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert (upstreams(peer), upstreams(cut)) == (["u0"], ["p1"])
    assert carried(cut.log[0])["possible_runs"] == 1


def test_peer_repeats_nothing_after_the_instance_has_asked(cut, peer):
    """Guards against a repeat at the peer beside that of the instance."""
    begun = events(1, then="break")

    def breaks_late(connection, received):
        begun(connection, received)
        time.sleep(PEER_SILENCE_SECONDS + 2 * ASK_SECONDS)
        return False

    peer.add("llm", breaks_late)
    caller = cut.send("/long/x", model="m")
    wait_until(lambda: peer.log)
    cut.add_peer(after(4 * ASK_SECONDS, events(2, 3)))
    wait_until(lambda: cut.log)
    peer.add("llm", events(2, 3))
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert (upstreams(peer), upstreams(cut)) == (["u0"], ["p1"])


def test_peer_that_answers_no_claim_is_left(cut, peer, monkeypatch):
    """Guards against a stream that stays at a frozen peer."""
    answer = cut.offers._ask

    def frozen(address, query):
        if query.passing:
            time.sleep(WAIT_SECONDS)
        return answer(address, query)

    cut.offers._ask = frozen
    monkeypatch.setattr(peer_offers, "CLAIM_SECONDS", 0.1)
    peer.add("llm", Pausing(WAIT_SECONDS, 1, 2, 3))
    caller = cut.send("/long/x", model="m")
    wait_until(lambda: peer.log)
    cut.add_peer(events(2, 3))
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3], True)
    assert upstreams(cut) == ["p1"]


def test_request_that_is_not_open_cannot_be_claimed(peer):
    assert peer.handler.claim("unknown") == 0


def test_claim_counts_the_runs_at_this_instance_only():
    """Guards against runs that are counted by both instances."""
    runs = SharedRuns()
    runs.take_over(1)
    with runs.asking_second() as allowed:
        assert allowed
        assert runs.claim(possible_runs=2) == 3
    with runs.asking_second() as allowed:
        assert not allowed


def test_messages_of_an_older_release_claim_nothing():
    """Guards against a release that fails to talk to the one before."""
    older_query = msgspec.msgpack.encode([["w1"], 0.5])
    assert msgspec.msgpack.decode(older_query, type=PathQuery).passing == ""
    older_reply = msgspec.msgpack.encode(["p0", "z1", "127.0.0.1", 1, "t", True, 0.0, [], 0.0])
    assert msgspec.msgpack.decode(older_reply, type=PathReply).runs == 0
