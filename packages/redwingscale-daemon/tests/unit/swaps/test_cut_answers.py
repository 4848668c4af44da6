"""Answers to calls whose heads break off in an orderly close, or are not valid."""

import pytest
import urllib3
from loguru import logger
from redwingscale_common.network.client import new_pool
from redwingscale_daemon._internal.exceptions import WriteUnknown
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.process_check import ProcessCheck
from redwingscale_daemon._internal.platform import engine, exchange
from redwingscale_daemon._internal.platform.store_client import StoreClient
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.swaps.lease_record import LEASE_ROW
from redwingscale_daemon._internal.swaps.order import Load, Order, OrderResult
from redwingscale_standins.hosted.raw_worker import RawWorker

from .conftest import upstream

CUT_HEADS = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nX-Redwingscale-Instance-Id: u",
    b"HTTP/1.1 200 OK\r\nStore-Era: 1",
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
]
BROKEN_HEADS = [
    b"HTTP/1.1 200 OK\r\nspoilt\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Redwingscale-Instance-Id: u\r\nOdd : 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nX-Redwingscale-Instance-Id: u\r\nContent-Length: +0\r\n\r\n",
    b"HTTP/1.1 101 OK\r\nX-Redwingscale-Instance-Id: u\r\n\r\n",
]


@pytest.fixture(params=CUT_HEADS + BROKEN_HEADS)
def cut(request):
    """An upstream whose answer has no whole and valid head; it closes its connection."""
    raw = RawWorker(
        "u0",
        ("a",),
        lambda connection, headers: connection.sendall(request.param),
        answers_calls=False,
    )
    yield upstream("u0", "a")._replace(port=raw.port)
    raw.stop()


def test_order_whose_answer_is_cut_may_have_been_carried_out(cut, client):
    """Guards against an order that is taken for carried out, and a worker that is overfilled."""
    order = Order(Load(Unit("b")), 0, "i0", 7)
    assert client.order(cut, order) is OrderResult.UNKNOWN


def test_name_that_is_cut_is_no_other_process(cut):
    """Guards against a sound upstream that is taken for replaced by a process of another name."""
    check = ProcessCheck(engine.REPORT_TARGET, exchange.answering_upstream)
    check.note_broken(cut.id)
    assert check.finds_another(cut) is False


def test_write_whose_answer_is_cut_may_have_been_done(cut):
    """Guards against a write that is taken for not done, and is done again."""
    store = StoreClient(cut.host, cut.port)
    with pytest.raises(WriteUnknown):
        store.write(LEASE_ROW, b"value", StoreVersion(0, 0))


def test_answer_of_the_own_interface_that_is_cut_is_an_error(cut):
    """Guards against an empty answer of an engine or the platform that passes for a whole one."""
    with pytest.raises(urllib3.exceptions.ProtocolError):
        new_pool().request("GET", f"http://{cut.host}:{cut.port}/")


@pytest.fixture
def logged():
    """The events that are logged from now on."""
    events = []
    handle = logger.add(lambda message: events.append(message.record["message"]))
    yield events
    logger.remove(handle)


@pytest.mark.parametrize("cut", BROKEN_HEADS, indirect=True)
def test_broken_answer_to_a_call_is_logged(cut, client, logged):
    """Guards against a worker whose answers to calls are broken and nobody is told of."""
    assert client.report(cut) is None
    assert logged == ["call_answer_broken"]
