"""Answers to calls whose sizes no memory holds, or whose lines have no end."""

import contextlib
import http.client

import pytest
import urllib3
from redwingscale_daemon._internal.utils.bounded_answers import (
    ShortAnswerConnection,
    ShortAnswerPool,
    StoreAnswerPool,
)
from redwingscale_standins.hosted.answer_forms import BROKEN

TIMEOUT_SECONDS = 5.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
INVALID_SIZES = {
    "chunk-beyond-all-sizes": CHUNKED + b"f" * 40 + b"\r\n",
    "chunk-of-negative-size": CHUNKED + b"-1\r\n",
    "chunk-of-other-negative-size": CHUNKED + b"-5\r\n",
    "chunk-beyond-the-memory": CHUNKED + b"10000000000\r\n",
    "length-beyond-all-sizes": OK + b"Content-Length: 99999999999999999999\r\n\r\n",
    "length-beyond-the-memory": OK + b"Content-Length: 1099511627776\r\n\r\n",
}
# Fewer bytes than an answer may have.
MANY_LINES = {
    "chunks": CHUNKED + b"1\r\nx\r\n" * 30_000 + b"0\r\n\r\n",
    "trailer": CHUNKED + b"0\r\n" + b"a: b\r\n" * 30_000 + b"\r\n",
}
BROKEN_FORMS = {name: form.write("r", b"{}") for name, form in BROKEN.items()}
FORMS = INVALID_SIZES | MANY_LINES | BROKEN_FORMS


@pytest.fixture
def answering(open_answering_port):
    """Open ports that answer one call with bytes and some more."""
    return lambda data: open_answering_port(data + b"x" * 1000)


@pytest.mark.parametrize("pool", [ShortAnswerPool, StoreAnswerPool])
@pytest.mark.parametrize("form", FORMS)
def test_pool_takes_an_invalid_answer_for_a_broken_one(answering, pool, form):
    """Guards against an answer that raises what no call expects, such as `MemoryError`."""
    port = answering(FORMS[form])
    with (
        pool("127.0.0.1", port, retries=False, timeout=TIMEOUT_SECONDS) as calls,
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        calls.request("GET", "/")


@pytest.mark.parametrize("form", FORMS)
def test_connection_takes_an_invalid_answer_for_a_broken_one(answering, form):
    """Guards against a check of a worker that raises what no request expects."""
    port = answering(FORMS[form])
    connection = ShortAnswerConnection("127.0.0.1", port, timeout=TIMEOUT_SECONDS)
    with contextlib.closing(connection):
        connection.request("GET", "/")
        with pytest.raises((http.client.HTTPException, OSError)):
            connection.getresponse().read()
