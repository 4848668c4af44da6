"""Upstreams in trouble whose answers to calls have no end."""

import itertools
import threading
import time
from contextlib import suppress
from functools import partial

import pytest
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.connection_probe import (
    ProbeResult,
    answers_on_new_connection,
)
from redwingscale_daemon._internal.forwarding.process_check import ProcessCheck
from redwingscale_daemon._internal.platform import engine
from redwingscale_daemon._internal.swaps.order import Load, Order, OrderResult
from redwingscale_standins.hosted.raw_worker import RawWorker

from .conftest import upstream

HEAD = b"HTTP/1.1 200 OK\r\n"
PIECE = b"x" * 4096
# The upstream ends by itself after this time, so that no test lasts for good.
LIMIT_SECONDS = 6.0
GIVEN_UP_SECONDS = 3.0
ENDLESS = {
    "body": ([HEAD + b"\r\n"], PIECE, 0.0),
    "chunks": ([HEAD + b"Transfer-Encoding: chunked\r\n\r\n"], b"1000\r\n" + PIECE + b"\r\n", 0.0),
    "body-bytes": ([HEAD + b"Content-Length: 1000000\r\n\r\n"], b"x", 0.02),
    "header-bytes": ([HEAD + b"a: "], b"b", 0.02),
    "interim-answers": ([], b"HTTP/1.1 100 Continue\r\n\r\n", 0.005),
}


@pytest.fixture(params=ENDLESS.values(), ids=ENDLESS)
def endless(request):
    """An upstream whose answers have no end."""
    first, again, pause = request.param

    def script(connection, headers):
        until = time.monotonic() + LIMIT_SECONDS
        with suppress(OSError):
            for piece in itertools.chain(first, itertools.repeat(again)):
                if time.monotonic() > until:
                    return
                connection.sendall(piece)
                time.sleep(pause)

    raw = RawWorker("u0", ("a",), script, answers_calls=False)
    yield upstream("u0", "a")._replace(port=raw.port)
    raw.stop()


def result_of(call):
    """Return the result of ``call`` on a thread of its own."""
    results = []
    thread = threading.Thread(target=lambda: results.append(call()), daemon=True)
    thread.start()
    thread.join(GIVEN_UP_SECONDS)
    assert results, "the answer was not given up"
    return results[0]


def test_report_without_end_is_given_up(endless, client):
    """Guards against a leader that reads one report for good, and keeps all of its bytes."""
    assert result_of(lambda: client.report(endless)) is None


def test_answer_to_an_order_without_end_is_given_up(endless, client):
    """Guards against a leader that waits for good for the answer to an order."""
    order = Order(Load(Unit("b")), 0, "i0", 7)
    assert result_of(lambda: client.order(endless, order)) is OrderResult.UNKNOWN


def test_probe_that_is_answered_without_end_is_given_up(endless):
    """Guards against a lost path that is never found to work again."""
    probe = partial(answers_on_new_connection, endless, engine.REPORT_TARGET)
    assert result_of(probe) is ProbeResult.FAILED


def test_name_without_end_is_given_up(endless):
    """Guards against requests that wait for good for the name of an upstream's process."""
    check = ProcessCheck(engine.REPORT_TARGET, lambda response: "other")
    check.note_broken(endless.id)
    assert result_of(lambda: check.finds_another(endless)) is False


def test_answers_without_end_are_no_sign_of_a_lost_path(endless, client, own_path):
    """Guards against an instance that refuses all requests since some upstreams are faulty."""
    for name in ("u0", "u1"):
        for _ in range(2):
            faulty = endless._replace(id=name)
            assert result_of(partial(client.report, faulty)) is None
    assert not own_path.doubtful
