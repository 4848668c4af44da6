"""A worker that sends a second copy of an answer to a call, late, where the next one is due."""

import contextlib
import http.client
import json
import socket
import threading

import pytest
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps import worker_orders
from redwingscale_daemon._internal.swaps.tasks import AdapterTask
from redwingscale_daemon._internal.swaps.worker_orders import OrderAuthority, WorkerOrders

from .conftest import until, upstream

SLOTS = 2


class CopyingWorker:
    """Loads and unloads adapters of the model ``a``; those in ``used`` are unloaded later.

    The first answer on each connection to a call that ``is_copied`` is sent again right before the
    next one.
    """

    def __init__(self, is_copied):
        self.adapters, self.used = {"a1", "a2"}, {"a2"}
        self.accepted, self.most = 0, 0
        self._is_copied = is_copied
        self._server = socket.create_server(("127.0.0.1", 0))
        self.port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._server.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        reader, copy = connection.makefile("rb"), b""
        with contextlib.suppress(OSError), connection:
            while line := reader.readline():
                headers = http.client.parse_headers(reader)
                body = reader.read(int(headers.get("Content-Length", "0")))
                connection.sendall(copy)
                answer = self._answer(json.loads(body) if body else None)
                connection.sendall(answer)
                copy = answer if self._is_copied(line, answer) else b""

    def _answer(self, order):
        if order is None:
            model = {"Name": "a", "Version": 1, "Adapters": sorted(self.adapters)}
            return _answer(200, json.dumps({"Models": [model], "Seq": self.accepted}).encode())
        if order["Expect"] != self.accepted:
            return _answer(409)
        name = order["Adapter"]
        if order["Op"] == "load":
            if name in self.adapters:
                return _answer(200)
            self.adapters.add(name)
            self.most = max(self.most, len(self.adapters))
            self.accepted += 1
            return _answer(202)
        self.accepted += 1
        if name in self.used:
            return _answer(202)
        self.adapters.discard(name)
        return _answer(200)

    def close(self):
        self._server.close()


def _answer(status, body=b""):
    return b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def is_report(line, answer):
    return line.startswith(b"GET")


def is_done(line, answer):
    return line.startswith(b"POST") and b" 200 " in answer


@pytest.fixture
def make_worker(monkeypatch):
    monkeypatch.setattr(worker_orders, "POLL_SECONDS", 0.01)
    made = []

    def make(is_copied):
        made.append(CopyingWorker(is_copied))
        return made[-1]

    yield make
    for worker in made:
        worker.close()


@pytest.mark.parametrize("is_copied", [is_report, is_done])
def test_copy_of_an_answer_is_not_the_answer_to_an_order(make_worker, client, engine, is_copied):
    """Guards against an adapter that is taken for unloaded, and a worker that is overfilled."""
    worker = make_worker(is_copied)
    orders = WorkerOrders(
        upstream("u0", "a")._replace(port=worker.port),
        lambda: engine._replace(adapter_slots=SLOTS),
        client,
        OrderAuthority("i1", lambda: 7),
        lambda: None,
    )
    for task in (
        AdapterTask(Unit("a", "a3"), (Unit("a", "a2"),)),
        AdapterTask(Unit("a", "a4"), (Unit("a", "a1"), Unit("a", "a2"))),
        AdapterTask(Unit("a", "a5"), ()),
        AdapterTask(Unit("a", "a6"), (Unit("a", "a2"),)),
    ):
        assert until(lambda: orders.free)
        orders.start(task)
        assert until(lambda: orders.free)
    assert worker.most <= SLOTS
