"""Callers that stop reading in the middle of an answer, and read on before their deadline."""

import contextlib
import http.client
import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import cherrypy
import pytest
from redwingscale_common.network.exchange import read_body
from redwingscale_standins.hosted.documents import HOST, document, stream_route
from redwingscale_standins.hosted.model_worker import BODY_LIMIT_BYTES, ModelWorker
from redwingscale_standins.hosted.waiting import until

EVENTS = 400
EVENT_BYTES = 4000
ANSWER_BYTES = EVENTS * EVENT_BYTES
GAP_SECONDS = 0.005
STALL_SECONDS = 4.2
DEADLINE_MS = 10_000
CALLERS = 4
# The kernel holds little for a caller, as on a link with small windows.
RECEIVE_BUFFER_BYTES = 8192
HELD = "redwingscale_bytes_held{"


class LongWorker(ModelWorker):
    """Answers with 1.6 MB: events, or a plain body with its length or in chunks."""

    def _run(self, headers):
        if "X-Redwingscale-Model-Name" in headers:
            return super()._run(headers)
        read_body(BODY_LIMIT_BYTES)
        response = cherrypy.response
        request = headers["X-Redwingscale-Request-Id"]
        response.headers["X-Redwingscale-Request-Id"] = request
        response.headers["X-Redwingscale-Response-Seal"] = "seal"
        response.stream = True
        if cherrypy.request.path_info.endswith("/sized"):
            response.headers["Content-Length"] = str(ANSWER_BYTES)
        return self._pieces()

    def _pieces(self):
        for number in range(1, EVENTS + 1):
            time.sleep(GAP_SECONDS)
            yield event(number)

    def _events(self, first, last):
        for _ in super()._events(first, last):
            yield event(first)
            first += 1


def event(number):
    """Return the event with a number, `EVENT_BYTES` long."""
    begin = b"id: %d\ndata: " % number
    return begin + b"x" * (EVENT_BYTES - len(begin) - 2) + b"\n\n"


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


class Caller:
    """One caller with a connection of its own, which reads as told."""

    def __init__(self, instance):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.settimeout(20.0)
        self.socket.connect(("127.0.0.1", instance.ports[0]))

    def begin(self, path, request, deadline_ms=DEADLINE_MS):
        """Send a request and read the head of its answer."""
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Redwingscale-Request-Id: {request}",
            f"X-Redwingscale-Deadline-Ms: {deadline_ms}",
            "Content-Length: 2",
        ]
        if path.startswith(("/live/", "/single/")):
            lines += [
                "X-Redwingscale-Model-Name: m1",
                f"X-Redwingscale-Token-Usage: 10,{EVENTS}",
            ]
        self.socket.sendall("\r\n".join([*lines, "", "{}"]).encode())
        response = http.client.HTTPResponse(self.socket, method="POST")
        response.begin()
        assert response.status == 200
        return response

    def close(self):
        self.socket.close()


def rest_of(response):
    """Return the rest of the body, as far as it came."""
    try:
        return response.read()
    except http.client.IncompleteRead as error:
        return error.partial
    except OSError:
        return b""


def stall(instance, path, request):
    """Return an answer whose caller stops reading after its begin and then reads on."""
    with contextlib.closing(Caller(instance)) as caller:
        response = caller.begin(path, request)
        body = response.read(EVENT_BYTES)
        time.sleep(STALL_SECONDS)
        return body + rest_of(response)


def trickle(instance, path, request):
    """Return an answer whose caller takes a few bytes now and then for as long."""
    with contextlib.closing(Caller(instance)) as caller:
        response, body = caller.begin(path, request), b""
        end = time.monotonic() + STALL_SECONDS
        with contextlib.suppress(http.client.HTTPException, OSError):
            while time.monotonic() < end:
                body += response.read(512)
                time.sleep(0.1)
        return body + rest_of(response)


def configuration():
    made = document(1)
    made["Routes"].append(stream_route("single", "/single/") | {"Resumable": False})
    made["Routes"].append(
        stream_route("safe", "/safe/")
        | {"Kind": "safe", "Service": "plain", "TimeoutMs": 15_000, "Resumable": False}
    )
    made["Services"].append({"Name": "plain", "MaxConns": 100})
    return made


@pytest.fixture
def instance(deployment):
    """An instance in front of one model worker and one plain worker."""
    deployment.rows.put("op", "config", configuration())
    port = deployment._serve(made := LongWorker("w1", {"m1": set()}))
    deployment.workers["w1"] = made
    deployment.rows.put("servers", "w1", deployment.entry(made, port))
    deployment.plain_worker(LongWorker("p1", {}))
    started = deployment.instance("one")
    until(lambda: b"upstream=p1" in started.log.read_bytes(), "the plain worker")
    return started


def answers(instance, way, path):
    """Return the answers of callers that read in the same way at the same time."""
    with ThreadPoolExecutor(CALLERS) as pool:
        return list(pool.map(lambda n: way(instance, path, f"r{n}"), range(CALLERS)))


def has_ended(instance):
    text = instance.log.read_bytes()
    return b"event=request_ended" in text or b"event=caller_too_slow" in text


def whole_of(some):
    return [len(body) for body in some if body == WHOLE]


PATHS = ["/live/x", "/single/x", "/safe/sized", "/safe/chunks"]


@pytest.mark.parametrize("path", PATHS)
def test_answer_is_whole_for_a_caller_that_stops_reading_for_a_while(instance, path):
    """Guards against a cut in mid-answer though the caller is there and its time is not over."""
    got = answers(instance, stall, path)
    assert whole_of(got) == [ANSWER_BYTES] * CALLERS, [len(body) for body in got]


@pytest.mark.parametrize("path", PATHS)
def test_answer_is_whole_for_a_caller_that_takes_a_few_bytes_now_and_then(instance, path):
    """Guards against a cut of a caller whose link is squeezed for some seconds."""
    got = answers(instance, trickle, path)
    assert whole_of(got) == [ANSWER_BYTES] * CALLERS, [len(body) for body in got]


def test_upstream_is_read_on_while_its_caller_does_not_read(deployment, instance):
    """Guards against a run that occupies its worker for as long as its caller stalls."""
    worker = deployment.workers["w1"]
    with contextlib.closing(Caller(instance)) as caller:
        response = caller.begin("/live/x", "r1")
        began = time.monotonic()
        until(lambda: not worker.running, "the end of the run")
        assert time.monotonic() - began < EVENTS * GAP_SECONDS * 2
        time.sleep(max(0.0, began + STALL_SECONDS - time.monotonic()))
        assert rest_of(response) == WHOLE


def test_next_answer_on_the_connection_follows_one_that_was_read_late(instance):
    """Guards against bytes of a late answer that mix with the next one, or are lost with it."""
    with contextlib.closing(Caller(instance)) as caller:
        first = caller.begin("/live/x", "r1")
        time.sleep(STALL_SECONDS)
        assert first.read() == WHOLE
        assert caller.begin("/safe/sized", "r2").read() == WHOLE


def test_stop_of_the_instance_waits_for_a_caller_that_reads_late(instance):
    """Guards against the end of an answer that is lost because its instance stops."""
    with ThreadPoolExecutor(1) as pool:
        answer = pool.submit(stall, instance, "/live/x", "r1")
        until(lambda: b"event=sent" in instance.log.read_bytes(), "the request")
        time.sleep(0.5)
        instance.process.send_signal(signal.SIGTERM)
        assert len(answer.result()) == ANSWER_BYTES
        assert instance.process.wait(15.0) == 0


def test_answer_to_a_caller_that_never_reads_ends_at_its_deadline(deployment, instance):
    """Guards against a caller that holds a thread, bytes and a worker beyond its deadline."""
    with contextlib.closing(Caller(instance)) as caller:
        began = time.monotonic()
        caller.begin("/live/x", "r1", deadline_ms=4000)
        until(lambda: has_ended(instance), "the end of the request")
        assert 3.9 < time.monotonic() - began < 4.6
        assert not deployment.workers["w1"].running
        held = next(line for line in instance.metrics().splitlines() if line.startswith(HELD))
        assert held.endswith(" 0.0")
