"""Answers continue when engines fail or disconnect, within bounds on retries."""

import http.client
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from itertools import chain, islice

import cherrypy
import pytest
from opentelemetry.trace import INVALID_SPAN
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_daemon._internal.entry.response_format import Completion, stream_body
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.models.generation import Attempt, EndEvent
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.relay.retry_budget import INITIAL_RETRIES
from redwingscale_daemon._internal.upstreams.engine_client import EngineClient
from redwingscale_standins.engine.generation import answer_text
from redwingscale_standins.silent_relay import SilentRelay

from .conftest import UNIT, engine_member, new_request, text_of

STREAMS = 210
TOKENS = 40


def test_answers_are_unaffected_by_a_killed_engine(start_processes, make_relay):
    """One of three engines is killed (kill -9) while callers read 210 streams.

    Each answer must be byte for byte the same as without the crash: the broken third
    continues on other engines after the text that its callers already have.
    """
    engines = start_processes(3)
    relay = make_relay([e.member for e in engines.values()])
    started = threading.Semaphore(0)

    def send(number: int) -> str:
        events = relay.run(new_request(f"lot {number}", TOKENS), INVALID_SPAN)
        started.release()
        return text_of(events)

    with ThreadPoolExecutor(STREAMS) as pool:
        answers = pool.map(send, range(STREAMS))
        for _ in range(STREAMS // 2):
            assert started.acquire(timeout=60.0)
        engines["engine-0"].process.signal(signal.SIGKILL)
        assert list(answers) == [answer_text(str(UNIT), f"lot {n}", TOKENS) for n in range(STREAMS)]


def test_retries_are_bounded_when_every_engine_fails(start_engines, make_relay):
    """Every engine cuts each of 200 requests' streams before its first token.

    Callers are refused, and the engines must not receive a multiple of the load.
    """
    engines = start_engines(3, truncate_after_tokens=0)
    relay = make_relay([e.member for e in engines])

    for number in range(200):
        with pytest.raises(Refusal):
            relay.run(new_request(f"lot {number}", 5), INVALID_SPAN)

    streams = [e.engine.streams for e in engines]
    assert 200 < sum(s.started + s.resumed for s in streams) <= 200 + INITIAL_RETRIES < 240


def test_non_idempotent_request_that_may_have_run_is_not_retried(start_engines, make_relay):
    """An engine fails a register entry that it may have run.

    The refusal says that the run is unknown, and the second engine must not run the
    request although it could.
    """
    engines = start_engines(2, truncate_after_tokens=0)
    relay = make_relay([e.member for e in engines])

    with pytest.raises(Refusal) as caught:
        relay.run(new_request("entry", 5, idempotent=False), INVALID_SPAN)

    assert caught.value.run is RunState.UNKNOWN
    assert sum(e.engine.streams.started for e in engines) == 1


@pytest.mark.parametrize("idempotent", [True, False])
def test_request_that_was_not_run_is_retried(start_engines, make_relay, idempotent):
    """One engine refuses and the port of another is closed: neither has run the request."""
    engines = start_engines(2)
    engines[0].engine.faults.update({"refuse": True})
    closed = engine_member(9, "alder", 1)
    relay = make_relay([closed, *(e.member for e in engines)])

    for number in range(5):
        request = new_request(f"lot {number}", 5, idempotent=idempotent)
        text = text_of(relay.run(request, INVALID_SPAN))
        assert text == answer_text(str(UNIT), f"lot {number}", 5)


def test_disconnected_caller_cancels_the_engine_work(start_engines, make_relay):
    """A caller disconnects after three tokens; the engine's work is cancelled."""
    engines = start_engines(1)
    relay = make_relay([engines[0].member])
    events = relay.run(new_request("lot 1", 10_000), INVALID_SPAN)

    assert len(list(islice(events, 3))) == 3
    events.close()

    assert engines[0].engine.streams.cancelled == 1


def test_non_idempotent_work_is_finished_after_a_disconnect(start_engines, make_relay):
    """A caller disconnects while its register entry is written; the entry is finished."""
    engines = start_engines(1)
    relay = make_relay([engines[0].member])
    events = relay.run(new_request("entry", 200, idempotent=False), INVALID_SPAN)
    next(events)

    events.close()
    for thread in threading.enumerate():
        if thread.name == "drain":
            thread.join(timeout=30.0)

    assert engines[0].engine.streams.cancelled == 0
    assert engines[0].engine.streams.finished == 1


@pytest.fixture
def behind_middlebox(start_engines):
    """Put a middlebox that can silently drop connections before the first of two engines."""
    engines = start_engines(2)
    port = int(engines[0].member.url.rpartition(":")[2])
    middlebox = SilentRelay(port)
    url = middlebox.url.replace("tcp", "http")
    yield engines, replace(engines[0].member, url=url), middlebox
    middlebox.close()


def test_stream_on_a_silent_connection_is_resumed_on_a_new_one(behind_middlebox, make_relay):
    """A middlebox loses the state of a stream's connection, but new connections work.

    The connection stays open and nothing arrives on it. The stream continues over a new
    connection to the same engine, which runs the request once.
    """
    engines, member, middlebox = behind_middlebox
    events = make_relay([member]).run(new_request("lot 1", 2000), INVALID_SPAN)
    first = list(islice(events, 100))
    middlebox.silence()

    assert text_of(chain(first, events)) == answer_text(str(UNIT), "lot 1", 2000)
    assert engines[0].engine.streams.started == 1
    assert engines[0].engine.streams.resumed == 1


def test_stream_of_an_unreachable_engine_continues_on_another(behind_middlebox, make_relay):
    """A failure domain is cut off in mid-stream, so new connections are silent as well.

    The answer continues in another domain, and no request becomes suspect.
    """
    engines, member, middlebox = behind_middlebox
    members = [member]
    events = make_relay(members).run(new_request("lot 1", 2000), INVALID_SPAN)
    first = list(islice(events, 100))
    members.append(engines[1].member)
    middlebox.cut()

    assert text_of(chain(first, events)) == answer_text(str(UNIT), "lot 1", 2000)
    assert engines[1].engine.streams.started == 1


def test_answer_that_cannot_continue_has_no_terminating_chunk(start_processes, make_relay):
    """The only engine is killed in mid-stream, so the caller must see a cut body.

    A body with the terminating chunk would look like a complete, short answer.
    """
    [running] = start_processes(1).values()
    relay = make_relay([running.member])
    request = new_request("lot 1", 10_000, deadline_at=time.monotonic() + 2.0)

    class Api:
        @cherrypy.expose
        def index(self):
            cherrypy.response.stream = True
            return stream_body(Completion(), request, relay.run(request, INVALID_SPAN))

    server = HttpServer(Api(), "127.0.0.1", 0, ServerLimits(threads=2))
    server.start()
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=30.0)
    connection.request("GET", "/")
    response = connection.getresponse()
    assert response.readline().startswith(b"id: 0")
    running.process.signal(signal.SIGKILL)

    with pytest.raises(http.client.IncompleteRead):
        response.read()
    connection.close()
    server.stop()


@pytest.mark.parametrize("number", [0, 1], ids=["alder", "birch"])
def test_answer_that_lacks_only_its_end_is_ended_by_another_engine(start_engines, number):
    """An engine crashes after the last token, but before the end of the answer.

    The engine that continues has no token left to send, and the total in its end event
    must count all tokens. Otherwise an answer whose caller has every token is refused.
    """
    member = start_engines(2)[number].member
    attempt = Attempt("a1", str(UNIT), "lot 1", 40, 5, 40, answer_text(str(UNIT), "lot 1", 40))

    stream = EngineClient(1.0).start(member, attempt, {}, 10.0)

    assert list(stream.events(40)) == [EndEvent(40)]
