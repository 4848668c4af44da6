"""Workers answer in forms that the grammar of HTTP/1.1 does not allow."""

import contextlib

import pytest
from redwingscale_standins.hosted.answer_forms import BROKEN
from redwingscale_standins.hosted.raw_worker import events

from .conftest import DEADLINE_SECONDS, EVENTS, WHOLE, ask_plain, first_event, until_asked

BODY = b"x" * 4096
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


def answers(form, body):
    """Return a script that answers in a form; the connection stays open until it is discarded."""

    def script(connection, headers):
        connection.sendall(form.write(headers["x-redwingscale-request-id"], body(headers)))
        connection.settimeout(DEADLINE_SECONDS)
        with contextlib.suppress(OSError):
            connection.recv(1)

    return script


@pytest.mark.parametrize("name", BROKEN_FORMS)
def test_broken_plain_answer_is_asked_for_again(make_plain, name):
    """Guards against a caller that gets a body that the worker has not sent."""
    answer, asked = ask_plain(*make_plain("safe", answers(BROKEN[name], lambda headers: BODY)))
    assert (answer.status, answer.data) == (200, f"{asked}:b".encode())


@pytest.mark.parametrize("name", BROKEN_FORMS)
def test_broken_plain_answer_is_no_success_if_it_may_not_run_again(make_plain, name):
    """Guards against the same on a route whose requests run once at most."""
    answer, _ = ask_plain(*make_plain("unsafe", answers(BROKEN[name], lambda headers: BODY)))
    assert answer.status == 502


@pytest.mark.parametrize("name", BROKEN_FORMS)
def test_stream_with_a_broken_answer_goes_on_elsewhere(make_pair, name):
    """Guards against a stream that is cut though another worker could go on with it."""
    script = answers(BROKEN[name], lambda headers: events(first_event(headers), EVENTS))
    assert until_asked(*make_pair(script)) == (200, WHOLE)
