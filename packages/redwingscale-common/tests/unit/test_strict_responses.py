"""Clients read responses of any valid form, and take others for broken ones."""

import pytest
import urllib3
from redwingscale_common.network.client import new_pool, read_pieces
from redwingscale_standins.hosted.answer_forms import BROKEN, VALID

BODY = b"0123456789" * 5
TIMEOUT_SECONDS = 5.0


@pytest.fixture
def answering(open_answering_port):
    """Open ports that answer one call in a form; return their URLs."""
    return lambda form: f"http://127.0.0.1:{open_answering_port(form.write('r', BODY))}/"


def read_whole(pool, url):
    return pool.request("GET", url, timeout=TIMEOUT_SECONDS).data


def read_in_pieces(pool, url):
    response = pool.request("GET", url, timeout=TIMEOUT_SECONDS, preload_content=False)
    return b"".join(read_pieces(response))


@pytest.mark.parametrize("read", [read_whole, read_in_pieces])
@pytest.mark.parametrize("form", BROKEN.values(), ids=BROKEN)
def test_broken_response_raises_an_error_of_the_client(answering, read, form):
    """Guards against a client that takes other bytes for the body than its server sent."""
    with new_pool() as pool, pytest.raises(urllib3.exceptions.HTTPError):
        read(pool, answering(form))


@pytest.mark.parametrize("read", [read_whole, read_in_pieces])
@pytest.mark.parametrize("form", VALID.values(), ids=VALID)
def test_valid_response_is_read(answering, read, form):
    """Guards against a valid response that is taken for a broken one."""
    with new_pool() as pool:
        assert read(pool, answering(form)) == BODY
