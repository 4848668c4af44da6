"""Bodies leave the memory when their requests end, without the collector of reference cycles."""

import gc
import time
import tracemalloc

import pytest

from .conftest import HOST, WAIT_SECONDS, breaks, events, not_run, read_response, sized

BODY = bytes(200_000)
FAILURE = b"f" * 200_000
REQUESTS = 3
STAND_INS = ("conftest.py", "test_bodies_freed.py")


@pytest.fixture
def no_collector():
    """Keep reference cycles, and trace what is allocated."""
    gc.disable()
    tracemalloc.start()
    yield
    tracemalloc.stop()
    gc.enable()


def large_blocks():
    """Return the sizes of the large blocks that the instance has allocated and not freed."""
    traces = tracemalloc.take_snapshot().traces
    return [
        trace.size
        for trace in traces
        if trace.size >= len(BODY) // 2 and not trace.traceback[0].filename.endswith(STAND_INS)
    ]


def until_freed(world, ended):
    until = time.monotonic() + WAIT_SECONDS
    while (len(world.ended) < ended or large_blocks()) and time.monotonic() < until:
        time.sleep(0.05)


def stays_silent(connection, received):
    connection.settimeout(WAIT_SECONDS)
    return bool(connection.recv(1))


@pytest.mark.parametrize(
    ("path", "scripts"),
    [
        pytest.param("/once/", [sized(b"ok")], id="answered"),
        pytest.param("/once/", [breaks], id="lost"),
        pytest.param("/safe/", [breaks, sized(b"ok")], id="sent again"),
        pytest.param("/safe/", [sized(FAILURE, "500 Failed")], id="failed"),
        pytest.param("/safe/", [sized(FAILURE, "500 Failed"), sized(b"ok")], id="failed first"),
        pytest.param("/once/", [not_run], id="refused"),
        pytest.param("/brief/", [stays_silent], id="time limit"),
        pytest.param("/none/", [sized(b"ok")], id="unknown route"),
        pytest.param("/stream/", [events(1, 2)], id="stream"),
        pytest.param("/single/", [events(1, then="inside")], id="broken stream"),
    ],
)
def test_body_is_freed_with_its_request(world, no_collector, path, scripts):
    """Guards against an instance killed for its memory by bodies of requests that have ended."""
    model = "m" if path in ("/stream/", "/single/") else None
    for _ in range(2):
        world.add("llm" if model else "plain", *scripts)
    for _ in range(REQUESTS):
        world.request(path, BODY, model=model)
    world.log.clear()
    until_freed(world, 0 if path == "/none/" else REQUESTS)
    assert large_blocks() == []


def test_body_is_freed_when_its_caller_has_left(world, no_collector):
    """Guards against a body that outlives the request of a caller that has left."""
    world.add("plain", stays_silent)
    caller = world.send("/once/", BODY)
    while not world.log:
        time.sleep(0.01)
    caller.close()
    until_freed(world, 1)
    assert (large_blocks(), world.ended) == ([], ["caller_left"])


def test_body_that_a_peer_takes_is_freed_at_both_instances(world, peer, no_collector):
    """Guards against a body that outlives its request where it was passed on."""
    for one in (world, peer):
        one.add("plain", sized(b"ok"))
    world.peers["p0"] = peer.take_requests_of_peers()
    world.lose_path()
    assert world.request("/safe/", BODY).body == b"ok"
    until_freed(peer, 1)
    assert (large_blocks(), peer.ended) == ([], ["answered"])


def test_malformed_body_is_freed(world, no_collector):
    """Guards against a part of a body that outlives its refusal."""
    caller = world.connect()
    head = f"POST /once/ HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n"
    caller.sendall(head.encode() + b"%x\r\n%s\r\nnone\r\n" % (len(BODY), BODY))
    assert read_response(caller).status == 400
    until_freed(world, 0)
    assert large_blocks() == []
