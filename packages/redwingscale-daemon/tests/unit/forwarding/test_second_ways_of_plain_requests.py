"""Requests that are no streams, waiting for an upstream when the path of their instance is lost."""

import threading
import time

import pytest

from .conftest import WAIT_SECONDS, breaks, head, read_response, sized
from .test_bytes_held import wait_until
from .test_passed_on import carried, declines
from .test_silent_upstreams import SILENT_SECONDS, after

# More than an instance holds of an answer before it passes it on.
LONG_BYTES = 200_000


def pausing(length, sent_first):
    """Return a script that sends a part of its body, and the rest after a pause."""

    def script(connection, received):
        connection.sendall(head(received, "200 OK", f"Content-Length: {length}"))
        connection.sendall(b"f" * sent_first)
        time.sleep(SILENT_SECONDS)
        connection.sendall(b"f" * (length - sent_first))

    return script


def never(given_up):
    """Return a script that waits, and sets ``given_up`` once its connection is closed."""

    def script(connection, received):
        connection.settimeout(WAIT_SECONDS)
        try:
            connection.recv(1)
        except TimeoutError:
            return False
        except ConnectionResetError:
            pass
        given_up.set()
        return False

    return script


def answer_after_loss(world, path="/safe/x"):
    """Send a request, lose the path once an upstream has it, and return the response."""
    caller = world.send(path)
    wait_until(lambda: world.log)
    time.sleep(0.1)
    world.lose_path()
    return read_response(caller)


def upstreams(world):
    return [one.upstream for one in world.log]


@pytest.mark.parametrize(
    "peer",
    [declines, breaks, sized(b"", "502 Failed"), sized(b"", "503 Refused")],
    ids=["declines", "breaks", "fails", "refuses"],
)
def test_request_is_kept_while_no_peer_takes_it(world, peer):
    """Guards against an answer that is given up for a peer that does not run the request."""
    world.add("plain", after(SILENT_SECONDS, sized(b"first")))
    world.add_peer(peer)
    response = answer_after_loss(world)
    assert (response.status, response.body) == (200, b"first")
    assert upstreams(world)[:2] == ["u0", "p0"]


def test_request_is_kept_while_no_peer_is_able(world):
    """Guards against an answer that is given up with no other way."""
    world.add("plain", after(SILENT_SECONDS, sized(b"first")))
    world.add_peer(sized(b"full"), able=False)
    assert answer_after_loss(world).body == b"first"
    assert upstreams(world) == ["u0"]


def test_peer_that_answers_replaces_the_upstream(world):
    """Guards against a request that waits for its deadline on a path that is lost."""
    given_up = threading.Event()
    world.add("plain", never(given_up))
    world.add_peer(sized(b"second"))
    assert answer_after_loss(world).body == b"second"
    assert given_up.wait(WAIT_SECONDS)
    # The first upstream counts while the peer chooses one.
    assert carried(world.log[1])["possible_runs"] == 1


def test_upstream_that_answers_before_the_peer_is_kept(world):
    """Guards against an answer that is given up for a slower one."""
    given_up = threading.Event()
    world.add("plain", after(SILENT_SECONDS, sized(b"first")))
    world.add_peer(never(given_up))
    assert answer_after_loss(world).body == b"first"
    assert given_up.wait(WAIT_SECONDS)


def test_upstream_that_goes_on_with_its_body_is_kept(world):
    """Guards against a body that is given up for a slower answer."""
    given_up = threading.Event()
    world.add("plain", pausing(1000, 100))
    world.add_peer(never(given_up))
    assert answer_after_loss(world).body == b"f" * 1000
    assert given_up.wait(WAIT_SECONDS)


def test_peer_replaces_an_upstream_that_stops_before_the_answer_is_passed_on(world):
    """Guards against a request that waits for the rest of a body on a path that is lost."""
    world.add("plain", pausing(1000, 100))
    world.add_peer(sized(b"second"))
    assert answer_after_loss(world).body == b"second"


def test_answer_that_has_begun_is_not_cut(world):
    """Guards against an answer that is cut although nobody can go on with it."""
    world.add("plain", pausing(LONG_BYTES, LONG_BYTES // 2))
    world.add_peer(sized(b"second"))
    response = answer_after_loss(world)
    assert (len(response.body), response.whole) == (LONG_BYTES, True)
    assert (upstreams(world), world.cuts) == (["u0"], [])


def test_request_that_may_run_once_is_not_passed_on(world):
    """Guards against a request that runs twice."""
    world.add("plain", after(SILENT_SECONDS, sized(b"first")))
    world.add_peer(sized(b"second"))
    assert answer_after_loss(world, "/once/x").body == b"first"
    assert upstreams(world) == ["u0"]
