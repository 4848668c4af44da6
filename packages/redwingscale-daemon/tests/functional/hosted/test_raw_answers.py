"""Answers on raw sockets: some end with their connection, others are none and never end."""

import itertools
import time

import pytest
import urllib3
from redwingscale_daemon._internal.utils.sockets import RESET_ON_CLOSE
from redwingscale_standins.hosted.raw_worker import events, stream_head
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.process_paths import PathFault

from .conftest import EVENTS, WHOLE, ask_plain, first_event, until_asked

PIECE = b"x" * 4096


def ends_with_its_connection(connection, headers):
    connection.sendall(stream_head(headers) + events(first_event(headers), EVENTS))


def ends_inside_an_event(connection, headers):
    connection.sendall(stream_head(headers) + events(1, 2) + b"id: 3\nda")


def resets_after_an_event(connection, headers):
    connection.sendall(stream_head(headers) + events(1, 2))
    time.sleep(0.1)
    connection.setsockopt(*RESET_ON_CLOSE)


def plain_whole(connection, headers):
    connection.sendall(stream_head(headers) + b"raw answer")


def plain_reset(connection, headers):
    connection.sendall(stream_head(headers) + b"raw")
    time.sleep(0.1)
    connection.setsockopt(*RESET_ON_CLOSE)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def chunked_head(headers):
    return stream_head(headers, "Transfer-Encoding: chunked")


def whole_in_chunks(headers):
    return chunked_head(headers) + chunk(events(first_event(headers), EVENTS))


def sends_on(pieces, pause=0.0):
    """Return a script that sends ``pieces`` until the connection is closed."""

    def script(connection, headers):
        for piece in pieces(headers):
            connection.sendall(piece)
            time.sleep(pause)

    return script


ENDLESS = {
    "header-lines": sends_on(
        lambda headers: itertools.chain([b"HTTP/1.1 200 OK\r\n"], itertools.repeat(b"a: b\r\n"))
    ),
    "header-bytes": sends_on(
        lambda headers: itertools.chain([b"HTTP/1.1 200 OK\r\na: "], itertools.repeat(b"b")), 0.02
    ),
    "interim-answers": sends_on(
        lambda headers: itertools.repeat(b"HTTP/1.1 100 Continue\r\n\r\n"), 0.005
    ),
    "no-end-of-an-event": sends_on(
        lambda headers: itertools.chain([stream_head(headers)], itertools.repeat(PIECE))
    ),
    "chunk-extension": sends_on(
        lambda headers: itertools.chain([chunked_head(headers) + b"5;a="], itertools.repeat(PIECE))
    ),
    "chunk-extension-bytes": sends_on(
        lambda headers: itertools.chain([chunked_head(headers) + b"5;a="], itertools.repeat(b"b")),
        0.02,
    ),
    "trailer-lines": sends_on(
        lambda headers: itertools.chain(
            [whole_in_chunks(headers) + b"0\r\n"], itertools.repeat(b"a: b\r\n")
        )
    ),
    "trailer-bytes": sends_on(
        lambda headers: itertools.chain(
            [whole_in_chunks(headers) + b"0\r\na: "], itertools.repeat(b"b")
        ),
        0.02,
    ),
    "bytes-after-an-answer": sends_on(
        lambda headers: itertools.chain(
            [whole_in_chunks(headers) + b"0\r\n\r\n"], itertools.repeat(PIECE)
        )
    ),
    "events-beyond-the-announced-number": sends_on(
        lambda headers: itertools.chain(
            [stream_head(headers)], (events(n, n) for n in itertools.count(1))
        ),
        0.005,
    ),
    "no-http": sends_on(lambda headers: itertools.repeat(PIECE)),
}


@pytest.mark.parametrize(
    "script", [ends_with_its_connection, ends_inside_an_event, resets_after_an_event]
)
def test_stream_that_ends_with_its_connection_is_whole(make_pair, script):
    """Guards against a stream that is taken for whole, or given up, as its connection ends."""
    instance, raw = make_pair(script)
    assert until_asked(instance, raw) == (200, WHOLE)


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_plain_answer_that_ends_with_its_connection_is_passed_on_whole(make_plain, kind):
    """Guards against an answer without a length that is refused, or ends as if it were cut."""
    answer, _ = ask_plain(*make_plain(kind, plain_whole))
    assert (answer.status, answer.data) == (200, b"raw answer")


def test_plain_answer_that_is_reset_is_asked_for_again(make_plain):
    """Guards against the first bytes of a broken answer that look like a whole one."""
    answer, name = ask_plain(*make_plain("safe", plain_reset))
    assert (answer.status, answer.data) == (200, f"{name}:b".encode())


def test_plain_answer_that_is_reset_is_no_success_if_it_may_not_run_again(make_plain):
    """Guards against the first bytes of a broken answer that look like a whole one."""
    answer, _ = ask_plain(*make_plain("unsafe", plain_reset))
    assert answer.status == 502


def is_answered(instance):
    """Return whether a request is answered; one that the cut path has lost twice may be cut."""
    try:
        return instance.request_stream("m1", 1)[0] == 200
    except urllib3.exceptions.ProtocolError:
        return False


@pytest.mark.parametrize("script", [ends_with_its_connection, ends_inside_an_event])
def test_stream_by_way_of_a_peer_that_ends_with_its_connection_is_whole(
    deployment, make_pair, script
):
    """Guards against a stream that a peer takes for whole, or gives up, as its connection ends."""
    instance, raw = make_pair(script, linked=True)
    deployment.instance("two")
    until(lambda: deployment.leader() is not None, "a leader")
    deployment.cut(instance, PathFault.RESET)
    until(lambda: is_answered(instance), "an answer by way of the peer")
    raw.requests.clear()
    assert until_asked(instance, raw) == (200, WHOLE)


@pytest.mark.parametrize("script", ENDLESS.values(), ids=ENDLESS)
def test_answer_without_end_is_given_up_and_the_request_goes_on(make_pair, script):
    """Guards against bytes that are no answer, and keep a request until its deadline."""
    instance, raw = make_pair(script)
    assert until_asked(instance, raw) == (200, WHOLE)
