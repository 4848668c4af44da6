"""Upstreams answer in forms that the grammar of HTTP/1.1 does not allow."""

import contextlib

import pytest
from redwingscale_standins.hosted.answer_forms import BROKEN, VALID

from .conftest import WAIT_SECONDS, head, sized

BODY = b"0123456789" * 5
EVENTS = 4


def event(number):
    return b"id: %d\ndata: token%d\n\n" % (number, number)


def events_after(received):
    """Return the events that a request for a stream asks for."""
    last = int(received.header("Last-Event-Id") or 0)
    return b"".join(event(number) for number in range(last + 1, EVENTS + 1))


def answers(form, closes, body=lambda received: BODY):
    """Return a script that answers in a form, and then closes the connection or leaves it open."""

    def script(connection, received):
        request_id = received.header("X-Redwingscale-Request-Id")
        connection.sendall(form.write(request_id, body(received)))
        if not closes:
            connection.settimeout(WAIT_SECONDS)
            with contextlib.suppress(TimeoutError):
                connection.recv(1)
        return False

    return script


def ends_with_connection(form):
    return "HTTP/1.0" in form.status_line or not form.lines


@pytest.mark.parametrize("closes", [True, False], ids=["closes", "stays open"])
@pytest.mark.parametrize("form", BROKEN.values(), ids=BROKEN)
def test_request_with_a_broken_answer_goes_on_at_another_upstream(world, form, closes):
    """Guards against a caller that gets a body that the upstream has not sent."""
    world.add("plain", answers(form, closes))
    world.add("plain", sized(b"ok"))
    response = world.request("/safe/")
    assert (response.status, response.body, response.whole) == (200, b"ok", True)
    assert [received.upstream for received in world.log] == ["u0", "u1"]


@pytest.mark.parametrize("closes", [True, False], ids=["closes", "stays open"])
@pytest.mark.parametrize("form", BROKEN.values(), ids=BROKEN)
def test_broken_answer_is_no_success_if_the_request_may_not_run_again(world, form, closes):
    """Guards against the same on a route whose requests run once at most."""
    world.add("plain", answers(form, closes))
    world.add("plain", sized(b"ok"))
    assert world.request("/once/").status == 502
    assert len(world.log) == 1


@pytest.mark.parametrize("closes", [True, False], ids=["closes", "stays open"])
@pytest.mark.parametrize("form", BROKEN.values(), ids=BROKEN)
def test_stream_with_a_broken_answer_goes_on_at_another_upstream(world, form, closes):
    """Guards against a stream that is cut, or holds bytes of its framing."""
    world.add("llm", answers(form, closes, events_after))
    world.add("llm", answers(VALID["chunks"], closes, events_after))
    response = world.request("/stream/", model="m")
    whole = b"".join(map(event, range(1, EVENTS + 1)))
    assert (response.status, response.body, response.whole) == (200, whole, True)


@pytest.mark.parametrize("form", BROKEN.values(), ids=BROKEN)
def test_broken_answer_of_a_peer_is_no_answer(world, form):
    """Guards against a broken answer that reaches a caller by way of another instance."""
    world.add_peer(answers(form, False))
    world.add("plain", sized(b"unreached"))
    world.lose_path()
    assert world.request("/safe/").status in (502, 503)


@pytest.mark.parametrize("form", VALID.values(), ids=VALID)
@pytest.mark.parametrize("path", ["/safe/", "/once/"])
def test_valid_answer_of_any_form_is_passed_on(world, path, form):
    """Guards against a valid answer that is taken for a broken one."""
    world.add("plain", answers(form, ends_with_connection(form)))
    world.add("plain", sized(b"unreached"))
    response = world.request(path)
    assert (response.status, response.body, response.whole) == (200, BODY, True)


@pytest.mark.parametrize("form", VALID.values(), ids=VALID)
def test_valid_stream_of_any_form_is_passed_on(world, form):
    """Guards against a valid stream that is taken for a broken one."""
    world.add("llm", answers(form, ends_with_connection(form), events_after))
    response = world.request("/stream/", model="m")
    whole = b"".join(map(event, range(1, EVENTS + 1)))
    assert (response.status, response.body, response.whole) == (200, whole, True)
    assert len(world.log) == 1


def test_values_reach_the_caller_without_blanks_around_them(world):
    """Guards against a value that is changed on the way, or ends at a byte above 0x7f."""
    world.add("plain", answers(VALID["values"], False))
    headers = world.request("/safe/").headers
    assert (headers["X-Empty"], headers["X-Note"]) == ("", "a b\tc")


@pytest.mark.parametrize("status", [101, 199])
def test_interim_status_is_no_final_answer(world, status):
    """Guards against an interim head that is passed on as an answer without a body."""

    def script(connection, received):
        connection.sendall(head(received, f"{status} Interim"))
        return False

    world.add("plain", script)
    assert world.request("/once/").status == 502


@pytest.mark.parametrize("status", [204, 304])
def test_answer_without_a_body_ends_with_its_head(world, status):
    """Guards against a wait for the chunks of a body that such an answer never has."""

    def script(connection, received):
        connection.sendall(head(received, f"{status} None", "Transfer-Encoding: chunked"))

    world.add("plain", script)
    response = world.request("/once/")
    assert (response.status, response.body, response.whole) == (status, b"", True)


@pytest.mark.parametrize("path", ["/safe/", "/stream/"])
def test_idle_time_that_is_no_number_is_ignored(world, path):
    """Guards against a request that fails after its answer, as its connection is kept."""
    model = "m" if path == "/stream/" else None
    lines = ("Keep-Alive: timeout=\xb2",)
    form = VALID["length"]._replace(lines=(*lines, *VALID["length"].lines))
    body = events_after if model else (lambda received: BODY)
    world.add("llm" if model else "plain", answers(form, False, body))
    response = world.request(path, model=model)
    assert (response.status, response.whole) == (200, True)


def test_stream_whose_event_has_a_number_without_end_goes_on_at_another_upstream(world):
    """Guards against a stream that fails at an event whose id no number holds."""
    odd = b"id: %s\ndata: odd\n\n" % (b"9" * 5000)
    world.add("llm", answers(VALID["chunks"], False, lambda received: event(1) + odd))
    world.add("llm", answers(VALID["chunks"], False, events_after))
    response = world.request("/stream/", model="m")
    whole = b"".join(map(event, range(1, EVENTS + 1)))
    assert (response.status, response.body, response.whole) == (200, whole, True)
