"""Requests of an instance without a path to upstreams, passed on to another instance."""

import json
import math
import socket
import threading
import time

import msgspec
import pytest
from redwingscale_daemon._internal.fleet.path_messages import PathReply
from redwingscale_daemon._internal.forwarding import envelope
from redwingscale_daemon._internal.forwarding.attempts import MAX_PASSED_ON
from redwingscale_daemon._internal.swaps.peer_server import PeerRequest, PeerResponse
from redwingscale_daemon._internal.workspaces.keys import WorkspaceKeys, key_digest
from redwingscale_daemon._internal.workspaces.use_limiter import Drawn
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, UseUnit, Workspace

from .conftest import WAIT_SECONDS, breaks, events, head, read_response, sized
from .test_bytes_held import wait_until
from .test_streams import numbers

DEADLINE_MS = 900


def declines(connection, received):
    """Script of a peer that takes no request."""
    lines = ("Content-Length: 0", f"{envelope.DECLINED_HEADER}: 1")
    connection.sendall(head(received, "503 Busy", *lines, signed=False))


def carried(received):
    return json.loads(received.header(envelope.HEADER))


@pytest.fixture
def cut(world):
    """An instance that has lost its path, and an upstream that it must not use."""
    world.add("llm", events(99))
    world.add("plain", sized(b"direct"))
    return world


def test_stream_is_served_through_a_peer(cut):
    cut.add_peer(events(1, 2, 3))
    cut.lose_path()
    response = cut.request("/stream/x?q=1", b"prompt", model="m")
    assert (response.status, numbers(response), response.whole) == (200, [1, 2, 3], True)
    assert [one.upstream for one in cut.log] == ["p0"]
    assert cut.log[0].body == b"prompt"
    assert cut.log[0].head.startswith("POST /stream/x?q=1 ")


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/public/x"])
def test_plain_request_is_served_through_a_peer(cut, path):
    cut.add_peer(sized(b"answer"))
    cut.lose_path()
    response = cut.request(path, b"body", headers=["X-Own: 7", "Authorization: Bearer k"])
    assert (response.status, response.body) == (200, b"answer")
    assert (cut.log[0].header("X-Own"), cut.log[0].header("Authorization")) == ("7", "Bearer k")


def test_failure_of_an_upstream_is_returned_as_the_peer_sends_it(cut):
    cut.add_peer(sized(b"failed", status="500 Failed"))
    cut.lose_path()
    response = cut.request("/safe/x")
    assert (response.status, response.body) == (500, b"failed")
    assert len(cut.log) == 1


def test_deadline_is_reduced_by_the_time_used(cut):
    """Guards against upstreams that work after the caller of a passed-on request has left."""
    cut.add_peer(declines)
    cut.add_peer(sized(b"answer"))
    cut.lose_path()
    cut.request("/safe/x", headers=[f"X-Redwingscale-Deadline-Ms: {DEADLINE_MS}"])
    sent = [int(one.header("X-Redwingscale-Deadline-Ms")) for one in cut.log]
    assert DEADLINE_MS >= sent[0] >= sent[-1] > 0


def test_caller_cannot_make_a_request_look_passed_on(cut):
    """Guards against callers who skip limits by a header of the instances."""
    cut.add_peer(sized(b"answer"))
    cut.lose_path()
    cut.request("/safe/x", headers=[f'{envelope.HEADER}: {{"token":"t"}}'])
    assert carried(cut.log[0])["token"] == "token of p0"


def test_peer_that_declines_is_replaced_by_another(cut):
    cut.add_peer(declines)
    cut.add_peer(declines)
    cut.add_peer(sized(b"answer"))
    cut.lose_path()
    assert cut.request("/once/x").body == b"answer"
    assert len(cut.log) <= MAX_PASSED_ON


def test_peer_that_takes_no_requests_is_not_asked_to(cut):
    cut.add_peer(sized(b"full"), able=False)
    cut.add_peer(sized(b"answer"), domain="z2")
    cut.lose_path()
    assert {cut.request("/once/x").body for _ in range(5)} == {b"answer"}


def test_peer_of_the_own_failure_domain_is_preferred(cut):
    cut.add_peer(sized(b"far"), domain="z2")
    cut.add_peer(sized(b"near"))
    cut.lose_path()
    assert {cut.request("/once/x").body for _ in range(5)} == {b"near"}


def test_lost_peer_is_an_unknown_outcome(cut):
    """Guards against a request that runs twice because the instance that took it was lost."""
    cut.add_peer(breaks)
    cut.add_peer(breaks)
    cut.lose_path()
    assert cut.request("/once/x").status == 502
    assert len(cut.log) == 1


def test_repeatable_request_goes_on_through_another_peer(cut):
    cut.add_peer(breaks)
    cut.add_peer(sized(b"answer"), domain="z2")
    cut.lose_path()
    assert cut.request("/safe/x").body == b"answer"
    assert carried(cut.log[1])["possible_runs"] == 1


def test_stream_goes_on_at_its_last_event_through_another_peer(cut):
    cut.add_peer(events(1, 2, then="inside"))
    cut.add_peer(events(3, 4), domain="z2")
    cut.lose_path()
    response = cut.request("/stream/x", model="m")
    assert (numbers(response), response.whole) == ([1, 2, 3, 4], True)
    assert cut.log[1].header("Last-Event-Id") == "2"


def test_stream_that_may_not_be_resumed_is_cut_with_its_peer(cut):
    cut.add_peer(events(1, then="break"))
    cut.lose_path()
    response = cut.request("/single/x", model="m")
    assert not response.whole
    assert len(cut.log) == 1


def test_without_an_able_peer_the_request_is_refused_at_once(cut):
    """Guards against requests that wait for their deadline when nobody can serve them."""
    cut.add_peer(sized(b"full"), able=False)
    cut.lose_path()
    for path, options in (("/safe/x", {}), ("/stream/x", {"model": "m"})):
        response = cut.request(path, **options)
        assert response.status == 503
        assert float(response.headers["Retry-After"]) > 0
    assert not cut.log


def test_caller_that_leaves_ends_the_request_at_the_peer(cut):
    left = threading.Event()

    def waits(connection, received):
        connection.settimeout(WAIT_SECONDS)
        try:
            gone = not connection.recv(1)
        except ConnectionResetError:
            gone = True
        if gone:
            left.set()
        return False

    cut.add_peer(waits)
    cut.lose_path()
    caller = cut.send("/safe/x")
    while not cut.log:
        time.sleep(0.01)
    caller.close()
    assert left.wait(WAIT_SECONDS)


def test_units_are_refunded_when_the_peer_says_not_run(cut, monkeypatch):
    """Guards against a workspace that pays for requests which nobody ran."""
    clerks = Workspace("clerks", 1, UseLimit(UseUnit.REQUESTS, 10.0, 1000.0))
    cut.configure(2, WorkspaceKeys({key_digest("k"): clerks}))
    cut.add_peer(sized(b"", status="503 Refused"))
    cut.lose_path()
    refunded = []
    monkeypatch.setattr(cut.limiter, "draw", lambda workspace, tokens: Drawn(1.0))
    monkeypatch.setattr(cut.limiter, "refund", lambda workspace, units: refunded.append(units))
    assert cut.request("/safe/x", headers=["Authorization: Bearer k"]).status == 503
    assert refunded == [1.0]


def test_upstreams_unreachable_from_here_only_are_used_through_a_peer(world):
    """Guards against an instance that lost one failure domain and fails all requests for it."""
    world.add("llm", events(1, 2))
    world.add("plain", sized(b"direct"))
    lost = world.upstreams[0][1].id
    world.upstreams[0][0].close()
    world.add_peer(events(1, 2, 3), heard=[lost])
    response = world.request("/stream/x", model="m")
    assert numbers(response) == [1, 2, 3]
    assert world.request("/safe/x").body == b"direct"


def test_upstream_that_nobody_reaches_is_not_passed_on(world):
    world.add("llm", events(1, 2))
    world.upstreams[0][0].close()
    world.add_peer(events(1, 2, 3), heard=[])
    assert world.request("/stream/x", model="m").status == 503
    assert not world.log


@pytest.mark.parametrize(
    ("outdated", "listed_ago", "status"),
    [(True, 0.5, 200), (True, 2.0, 503), (True, math.inf, 503), (False, 0.5, 503)],
)
def test_request_without_upstream_goes_to_a_peer_with_a_current_list(
    world, outdated, listed_ago, status
):
    # Guards against refusals for upstreams that only a peer's list has.
    peer = world.add_peer(sized(b"answer"))
    world.peers[peer.name] = msgspec.structs.replace(world.peers[peer.name], listed_ago=listed_ago)
    world.list_outdated_since = time.monotonic() - 5.0 if outdated else None
    assert world.request("/once/x").status == status
    assert len(world.log) == (status == 200)


def test_request_is_taken_from_a_peer_and_counted_there_only_once(cut, peer):
    peer.add("plain", sized(b"answer"))
    cut.peers["p0"] = peer.take_requests_of_peers()
    cut.lose_path()
    assert cut.request("/once/x", b"body").body == b"answer"
    assert [one.body for one in peer.log] == [b"body"]
    assert peer.log[0].header(envelope.HEADER) is None
    wait_until(lambda: peer.ended)
    assert peer.ended == ["answered"]
    assert peer.local_demand.drain() == []


def test_passed_on_request_is_not_passed_on_again(cut, peer):
    """Guards against a request that goes round between instances without a path."""
    cut.peers["p0"] = peer.take_requests_of_peers()
    third = peer.add_peer(sized(b"round"))
    peer.add("plain", sized(b"direct"))
    peer.lose_path()
    cut.lose_path()
    response = cut.request("/once/x")
    assert response.status == 503
    assert not peer.log
    third.close()


def test_request_without_the_token_is_rejected_unread(peer):
    """Guards against callers who reach the port for instances."""
    peer.add("plain", sized(b"answer"))
    port = peer.take_requests_of_peers().port
    for value in (None, '{"token":"x"}', "junk"):
        caller = socket.create_connection(("127.0.0.1", port))
        caller.settimeout(WAIT_SECONDS)
        headers = [f"{envelope.HEADER}: {value}"] if value else []
        peer.send("/safe/x", b"body", caller=caller, headers=headers)
        assert read_response(caller).status == 403
    assert not peer.log


def test_peer_of_an_older_release_takes_no_request():
    """Guards against a release that fails to talk to the one before."""
    older_request = msgspec.msgpack.decode(msgspec.msgpack.encode(PeerRequest(3)), type=list)[:4]
    request = msgspec.msgpack.decode(msgspec.msgpack.encode(older_request), type=PeerRequest)
    assert request.path is None
    older_response = [3, b"", 0.5, 1, None, []]
    response = msgspec.msgpack.decode(msgspec.msgpack.encode(older_response), type=PeerResponse)
    assert response.path is None
    reply = PathReply("p0", "z1", "127.0.0.1", 1, "t", True, 0.0, [], 0.0)
    newer = msgspec.msgpack.encode(PeerResponse(3, b"", 0.5, 1, None, [], reply))

    class Older(msgspec.Struct, array_like=True):
        configuration: int
        table: bytes

    assert msgspec.msgpack.decode(newer, type=Older).configuration == 3
