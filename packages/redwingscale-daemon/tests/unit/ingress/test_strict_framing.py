"""Requests with ambiguous framing are rejected before they reach an upstream."""

import io

import pytest
from cheroot.errors import MaxSizeExceeded
from redwingscale_daemon._internal.ingress.strict_chunks import read_chunks
from redwingscale_daemon._internal.ingress.strict_headers import StrictHeaderReader

AMBIGUOUS_HEADS = [
    b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"Transfer-Encoding : chunked\r\n\r\n",
    b"Content-Length: +4\r\n\r\n",
    b"Content-Length: 4, 4\r\n\r\n",
    b"Content-Length: 4\r\nContent-Length: 5\r\n\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n\r\n",
    b"Host: a\r\nHost: b\r\n\r\n",
    b" Folded: a\r\n\r\n",
]


@pytest.mark.parametrize("head", AMBIGUOUS_HEADS)
def test_ambiguous_head_is_refused(head):
    """Guards against request smuggling.

    The instance uses one framing header, the upstream the other one, and the upstream runs
    a request that was hidden in the body of the first.
    """
    with pytest.raises(ValueError):
        StrictHeaderReader()(io.BytesIO(head), {})


def test_valid_head_is_read():
    head = b"Host: a.example\r\nX-One: 1\r\nContent-Length: 4\r\n\r\n"
    headers = StrictHeaderReader()(io.BytesIO(head), {})
    assert headers == {b"Host": b"a.example", b"X-One": b"1", b"Content-Length": b"4"}


def test_chunks_are_joined_and_their_trailer_is_consumed():
    stream = io.BytesIO(b"3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nT: 1\r\n\r\nGET /next")
    assert read_chunks(stream, 100) == b"abc0123456789"
    assert stream.read() == b"GET /next"


@pytest.mark.parametrize("size", [b"0x3", b"+3", b"-3", b"1_0", b"", b"3 3"])
def test_chunk_size_that_is_not_hexadecimal_is_refused(size):
    """Guards against a size such as 0x3, which one parser reads as 3 and another as 0.

    The second one would read the rest of the body as a request.
    """
    with pytest.raises(ValueError, match="size"):
        read_chunks(io.BytesIO(size + b"\r\nabc\r\n0\r\n\r\n"), 100)


def test_chunk_longer_than_its_size_is_refused():
    with pytest.raises(ValueError, match="does not end"):
        read_chunks(io.BytesIO(b"2\r\nabc\r\n0\r\n\r\n"), 100)


def test_body_over_the_limit_is_refused():
    with pytest.raises(MaxSizeExceeded):
        read_chunks(io.BytesIO(b"64\r\n" + b"a" * 100 + b"\r\n0\r\n\r\n"), 99)
