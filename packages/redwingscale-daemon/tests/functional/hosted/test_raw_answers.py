"""Answers on raw sockets: some end with their connection, others are none and never end."""

import contextlib
import itertools
import time

import pytest
import urllib3
from redwingscale_daemon._internal.utils.sockets import RESET_ON_CLOSE
from redwingscale_standins.hosted.answer_forms import BROKEN
from redwingscale_standins.hosted.documents import HOST, document, stream_route
from redwingscale_standins.hosted.raw_worker import RawWorker, events, stream_head
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.ledger import Ledger
from redwingscale_standins.soak.process_paths import PathFault
from redwingscale_standins.soak.soak_worker import SoakWorker

EVENTS = 6
# A stream is asked for at the faulty worker first, since the sound one is in another domain.
WHOLE = [*range(1, EVENTS + 1)]
DEADLINE_SECONDS = 8.0
PIECE = b"x" * 4096


def first_event(headers):
    return int(headers.get("last-event-id", "0")) + 1


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


def answers(form, body):
    """Return a script that answers in a form; the connection stays open until it is discarded."""

    def script(connection, headers):
        connection.sendall(form.write(headers["x-redwingscale-request-id"], body(headers)))
        connection.settimeout(DEADLINE_SECONDS)
        with contextlib.suppress(OSError):
            connection.recv(1)

    return script


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


@pytest.fixture
def raw_worker(deployment):
    """Start workers with a script, listed with ``entry``; a link passes on no resets."""
    made = []

    def make(script, linked=False, **entry):
        raw = RawWorker("raw", ("m1",), script)
        made.append(raw)
        port = deployment.link(raw.port) if linked else raw.port
        deployment.rows.put("servers", raw.id, deployment.entry(raw, port) | entry)
        return raw

    yield make
    for raw in made:
        raw.stop()


@pytest.fixture
def start_instance(deployment):
    """Start an instance, and wait until the leader has told it which repeats it may send."""

    def start():
        made = deployment.instance("one")
        until(lambda: b"event=former_repeats" in made.log.read_bytes(), "the former repeats")
        return made

    return start


@pytest.fixture
def make_pair(deployment, raw_worker, start_instance):
    """Start an instance before a raw worker with a script and a sound one."""

    def make(script, linked=False):
        deployment.worker("sound", "m1", linked=linked)
        raw = raw_worker(script, linked)
        return start_instance(), raw

    return make


@pytest.fixture
def make_plain(deployment, raw_worker, start_instance):
    """Start an instance before a raw worker and a sound one of a plain service."""

    def make(kind, script):
        configuration = document(1)
        plain = {"Kind": kind, "Service": "plain", "Resumable": False}
        configuration["Routes"].append(stream_route("plain", "/plain/") | plain)
        configuration["Services"].append({"Name": "plain", "MaxConns": 100})
        deployment.rows.put("op", "config", configuration)
        deployment.plain_worker(SoakWorker("sound", set(), Ledger()))
        raw = raw_worker(script, Service="plain")
        return start_instance(), raw

    return make


def until_asked(instance, raw):
    """Request streams until the raw worker was asked; return the answer of that request."""
    for number in range(40):
        answer = instance.request_stream(
            "m1", EVENTS, request=f"r{number}", timeout=DEADLINE_SECONDS
        )
        if raw.requests:
            return answer
    raise AssertionError("the raw worker was never asked")


@pytest.mark.parametrize(
    "script", [ends_with_its_connection, ends_inside_an_event, resets_after_an_event]
)
def test_stream_that_ends_with_its_connection_is_whole(make_pair, script):
    """Guards against a stream that is taken for whole, or given up, as its connection ends."""
    instance, raw = make_pair(script)
    assert until_asked(instance, raw) == (200, WHOLE)


def ask_plain(instance, raw):
    """Send plain requests until the raw worker was asked; return that answer and its id."""
    url = f"http://127.0.0.1:{instance.ports[0]}/plain/x"
    for number in range(40):
        name = f"p{number}"
        headers = {"Host": HOST, "X-Redwingscale-Request-Id": name}
        answer = urllib3.request(
            "POST", url, body=b"b", headers=headers, retries=False, timeout=DEADLINE_SECONDS
        )
        if raw.requests:
            return answer, name
    raise AssertionError("the raw worker was never asked")


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


BROKEN_FORMS = (
    "length-sign",
    "length-word",
    "coding-list",
    "line-no-field-before-chunks",
    "name-blank-at-the-end",
    "name-control-byte",
    "status-000 OK",
    "status-101 OK",
    "chunk-underscore",
)


@pytest.mark.parametrize("name", BROKEN_FORMS)
def test_broken_plain_answer_is_asked_for_again(make_plain, name):
    """Guards against a caller that gets a body that the worker has not sent."""
    answer, asked = ask_plain(*make_plain("safe", answers(BROKEN[name], lambda headers: PIECE)))
    assert (answer.status, answer.data) == (200, f"{asked}:b".encode())


@pytest.mark.parametrize("name", BROKEN_FORMS)
def test_broken_plain_answer_is_no_success_if_it_may_not_run_again(make_plain, name):
    """Guards against the same on a route whose requests run once at most."""
    answer, _ = ask_plain(*make_plain("unsafe", answers(BROKEN[name], lambda headers: PIECE)))
    assert answer.status == 502


@pytest.mark.parametrize("name", BROKEN_FORMS)
def test_stream_with_a_broken_answer_goes_on_elsewhere(make_pair, name):
    """Guards against a stream that is cut though another worker could go on with it."""
    script = answers(BROKEN[name], lambda headers: events(first_event(headers), EVENTS))
    assert until_asked(*make_pair(script)) == (200, WHOLE)
