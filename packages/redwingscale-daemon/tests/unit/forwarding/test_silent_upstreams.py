"""Upstreams that fall silent for a while and go on."""

import socket
import time

import pytest
from redwingscale_daemon._internal.forwarding.upstream_connection import (
    USER_TIMEOUT_MS,
    UpstreamConnection,
)

from .conftest import events, read_response, sized
from .test_streams import numbers

SILENT_SECONDS = 1.2


def after(seconds, script):
    """Return a script that begins ``seconds`` after the request has arrived."""

    def silent_first(connection, received):
        time.sleep(seconds)
        return script(connection, received)

    return silent_first


@pytest.mark.parametrize("path", ["/safe/x", "/once/x"])
def test_plain_request_at_a_silent_upstream_runs_once(world, path):
    """Guards against an upstream that is given up though it goes on after a second."""
    world.add("plain", after(SILENT_SECONDS, sized(b"late")))
    world.add("plain", after(SILENT_SECONDS, sized(b"late")))
    assert world.request(path).body == b"late"
    assert len(world.log) == 1


@pytest.mark.parametrize("path", ["/stream/x", "/single/x"])
def test_stream_of_a_silent_upstream_goes_on(world, path):
    """Guards against a stream that is resumed elsewhere while its upstream is only slow."""
    for _ in range(2):
        world.add("llm", events(1, 2, gap=SILENT_SECONDS))
    response = world.request(path, model="m")
    assert (numbers(response), response.whole) == ([1, 2], True)
    assert len(world.log) == 1


def test_upstreams_that_nobody_hears_for_a_second_lose_no_request(world):
    """Guards against requests given up since all upstreams paused together."""
    for _ in range(2):
        world.add("llm", events(1, 2, gap=SILENT_SECONDS))
    lost = []
    world.path.on_lost(lambda: lost.append(True))
    world.path.on_suspected(lambda: world.path.confirm_loss(world.path.evidence(), ()))
    caller = world.send("/stream/x", model="m")
    # The head of the answer has been heard.
    time.sleep(0.3)
    world.path.note_failed("other", "overdue", silent=True)
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2], True)
    assert len(world.log) == 1
    assert lost == [True]


def test_path_that_carries_streams_is_used_again(world):
    """Guards against requests refused for a path that is known to work by open streams only."""
    for _ in range(2):
        world.add("llm", events(1, 2, 3, 4, gap=SILENT_SECONDS / 2))
    caller = world.send("/long/x", model="m")
    time.sleep(SILENT_SECONDS)
    world.lose_path()
    response = read_response(caller)
    assert (numbers(response), response.whole) == ([1, 2, 3, 4], True)
    assert not world.path.lost
    assert world.request("/long/x", model="m").whole


def test_upstream_that_is_silent_longer_than_the_user_timeout_is_not_lost(world):
    """Guards against a time-out of unacknowledged data that ends connections without any."""
    world.add("plain", after(USER_TIMEOUT_MS / 1000 + 0.5, sized(b"late")))
    assert world.request("/slow/x").body == b"late"
    assert len(world.log) == 1


def test_upstream_connections_send_no_keep_alive_probes():
    """Guards against probes that the user time-out gives up before their count."""
    server = socket.create_server(("127.0.0.1", 0))
    connection = UpstreamConnection(*server.getsockname())
    connection.connect()
    timeout = connection.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    probes = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert (timeout, probes) == (USER_TIMEOUT_MS, 0)
    connection.discard()
    server.close()
