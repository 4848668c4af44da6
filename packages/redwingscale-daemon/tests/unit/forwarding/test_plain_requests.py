"""Requests to plain services pass byte for byte, and run at most once if required."""

import time

import pytest

from .conftest import breaks, head, not_run, sized


def test_request_and_response_pass_byte_for_byte(world):
    world.add("plain", sized(b"answer"))
    response = world.request("/safe/a%2fb//c?x=%7e&x=1", b"\x00body", headers=("X-Own: 1",))
    (received,) = world.log
    assert received.head.startswith("POST /safe/a%2fb//c?x=%7e&x=1 HTTP/1.1")
    assert received.body == b"\x00body"
    assert received.header("X-Own") == "1"
    assert received.header("X-Redwingscale-Expect-Instance") == "u0"
    assert (response.status, response.body, response.whole) == (200, b"answer", True)
    assert response.headers["X-Redwingscale-Response-Seal"] == "seal"


def test_chunked_request_is_sent_with_its_length(world):
    world.add("plain", sized(b"ok"))
    caller = world.connect()
    caller.sendall(
        b"POST /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Redwingscale-Request-Id: r1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert b"200 OK" in caller.recv(1000)
    assert world.log[0].body == b"abcde"


def test_connections_to_upstreams_are_reused(world):
    world.add("plain", sized(b"ok"))
    for _ in range(3):
        assert world.request("/safe/").status == 200
    assert world.pool.opened == 1


@pytest.mark.parametrize("failure", [breaks, sized(b"", "500 Failed")])
def test_idempotent_request_is_sent_to_another_upstream(world, failure):
    world.add("plain", failure)
    world.add("plain", sized(b"ok"))
    assert world.request("/safe/").body == b"ok"
    assert [received.upstream for received in world.log] == ["u0", "u1"]


def test_request_that_may_have_run_is_not_sent_again(world):
    # The upstream crashes after it has read the request. Sent again, it could run twice;
    # and the reply must not state that it has not run.
    world.add("plain", breaks)
    world.add("plain", sized(b"ok"))
    response = world.request("/once/")
    assert response.status == 502
    assert "Retry-After" not in response.headers
    assert len(world.log) == 1


def test_request_that_was_not_run_is_sent_to_another_upstream(world):
    world.add("plain", not_run)
    world.add("plain", sized(b"ok"))
    assert world.request("/once/").body == b"ok"


def test_refusal_of_a_request_that_has_not_run_names_a_retry_time(world):
    world.add("plain", not_run)
    response = world.request("/once/")
    assert response.status == 503
    assert float(response.headers["Retry-After"]) > 0


def test_late_response_to_an_earlier_request_is_skipped(world):
    # An upstream sends a second response to an earlier request where the response to the
    # next one is due. Guards against giving a caller the response to another caller.
    def twice(connection, received):
        sized(b"first")(connection, received)
        time.sleep(0.05)

    def late(connection, received):
        old = received._replace(head=received.head.replace("r2", "r1"))
        sized(b"first again")(connection, old)
        sized(b"second")(connection, received)

    world.add("plain", twice, late)
    assert world.request("/once/").body == b"first"
    assert world.request("/once/").body == b"second"


def test_extra_bytes_end_the_connection(world):
    def extra(connection, received):
        sized(b"ok")(connection, received)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")

    world.add("plain", extra, sized(b"own"))
    assert world.request("/once/").body == b"ok"
    time.sleep(0.05)
    assert world.request("/once/").body == b"own"
    assert world.pool.opened == 2


def test_success_without_signature_is_not_passed_on(world):
    world.add("plain", sized(b"forged", signed=False))
    assert world.request("/once/").status == 502


def test_response_that_breaks_off_is_not_passed_on(world):
    def short(connection, received):
        connection.sendall(head(received, "200 OK", "Content-Length: 10") + b"half")
        return False

    world.add("plain", short)
    assert world.request("/once/").status == 502


def test_response_without_a_length_ends_with_its_connection(world):
    def unframed(connection, received):
        connection.sendall(head(received) + b"all of it")
        return False

    world.add("plain", unframed)
    assert world.request("/once/").body == b"all of it"


def test_time_limit_applies_while_the_upstream_is_silent(world):
    world.add("plain", lambda connection, received: time.sleep(2.0))
    started = time.monotonic()
    assert world.request("/brief/").status == 504
    # Far below the upstream's two seconds, far above the limit of 0.3.
    assert time.monotonic() - started < 1.5


def test_upstream_connection_ends_when_the_caller_disconnects(world):
    # A caller disconnects while the upstream works and has sent nothing. A thread that
    # only reads the upstream would let it go on working for nobody.
    seen = []

    def waits(connection, received):
        connection.settimeout(3.0)
        try:
            seen.append(connection.recv(1))
        except ConnectionResetError:
            seen.append(b"")
        return False

    world.add("plain", waits)
    caller = world.send("/brief/")
    deadline = time.monotonic() + 3.0
    while not world.log and time.monotonic() < deadline:
        time.sleep(0.01)
    caller.close()
    while not seen and time.monotonic() < deadline:
        time.sleep(0.01)
    assert seen == [b""]


def test_unknown_route_and_missing_id(world):
    assert world.request("/nowhere/").status == 404
    caller = world.connect()
    caller.sendall(b"GET /safe/ HTTP/1.1\r\nHost: a.example\r\n\r\n")
    assert b" 400 " in caller.recv(1000)
    assert world.log == []


def test_smuggled_request_is_refused(world):
    world.add("plain", sized(b"ok"))
    caller = world.connect()
    caller.sendall(
        b"POST /safe/ HTTP/1.1\r\nHost: a.example\r\nX-Redwingscale-Request-Id: r1\r\n"
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /safe/ HTTP/1.1\r\n\r\n"
    )
    assert b" 400 " in caller.recv(1000)
    assert world.log == []


def test_draining_instance_serves_and_closes(world):
    world.add("plain", sized(b"ok"))
    world.open_requests.drain(time.monotonic() + 2.0, time.monotonic() + 5.0)
    response = world.request("/safe/")
    assert (response.status, response.headers["Connection"]) == (200, "close")


def test_restarted_upstream_gets_no_request_under_its_former_id(world):
    # An upstream crashes and restarts at once with a new id. The list shows the former id
    # for some seconds, and every request sent to it is refused.
    def misdirected(connection, received):
        head_lines = ("X-Redwingscale-Instance-Id: u9", "Content-Length: 0")
        connection.sendall(head(received, "421 Misdirected", *head_lines, signed=False))

    world.add("plain", misdirected)
    world.add("plain", sized(b"ok"))
    for _ in range(3):
        assert world.request("/once/").body == b"ok"
    assert [received.upstream for received in world.log] == ["u0", "u1", "u1", "u1"]


def test_request_for_an_unreachable_upstream_goes_to_another(world):
    world.add("plain", sized(b"never")).close()
    world.add("plain", sized(b"ok"))
    assert world.request("/once/").body == b"ok"


def test_failure_of_an_upstream_is_passed_on_if_no_other_responds(world):
    # The first upstream fails the request, the second one crashes. The response of the
    # first tells the caller more than a refusal by this instance.
    world.add("plain", sized(b"why it failed", "500 Failed"))
    world.add("plain", breaks)
    response = world.request("/safe/")
    assert (response.status, response.body) == (500, b"why it failed")
    assert response.headers["X-Redwingscale-Response-Seal"] == "seal"
