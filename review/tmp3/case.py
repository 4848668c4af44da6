"""The holder of the lease loses the store while its last orders are sent again after a loss."""

import json
import os
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit import (  # noqa: E402
    ID,
    Deployment,
    Instance,
    Proxy,
    Request,
    Worker,
    could_not_run,
    head_of,
    manifest,
    numbers,
    route,
    sealed,
    send,
    verdict,
    wait_for,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LEASE_SECONDS = 3.0
CUT_SECONDS = 5.5
# A packet that was lost is sent again after the retransmission timeout, which is 1 s at least by
# RFC 6298 and 0.2 s at least in practice.
SENT_AGAIN_SECONDS = 0.25
# One order is lost once: the first one that is sent this long after the last renewal.
LOST_FROM, LOST_ORDERS = 1.08, 1
SLOTS, ADAPTERS = 8, 400
TRAFFIC_SECONDS = 3.0


class AdapterWorker(Worker):
    """A model worker whose adapters are loaded and unloaded as ordered."""

    def __init__(self, *words: Any) -> None:
        self.adapters: set[str] = set()
        super().__init__(*words)
        self.models = ["m1"]
        self.behaviour = answer_stream

    def _models(self) -> list[dict[str, Any]]:
        return [{"Name": "m1", "Version": 1, "Adapters": sorted(self.adapters)}]

    def _order(self, channel: socket.socket, order: dict[str, Any]) -> bool:
        self.orders.append((time.monotonic(), order))
        self.record.note(f"{self.name} gets the order {json.dumps(order)}")
        name = order.get("Adapter", "")
        if order.get("Expect", self.seq) != self.seq:
            status = 409
        elif not name:
            status = 400
        elif order["Op"] == "load":
            status = 200 if name in self.adapters else 202
            self.seq += name not in self.adapters
            self.adapters.add(name)
        else:
            status = 200
            self.seq += name in self.adapters
            self.adapters.discard(name)
        send(channel, status, {}, b"")
        return True


def answer_stream(worker: Worker, channel: socket.socket, request: Request) -> bool:
    """Answer with a stream of one event if the adapter is there."""
    assert isinstance(worker, AdapterWorker)
    _, _, adapter = request.header("X-Redwingscale-Model-Name").partition("/")
    if adapter not in worker.adapters:
        send(channel, 421, {ID: request.id, "X-Redwingscale-Instance-Id": worker.name}, b"")
        return True
    worker.note_run(request)
    headers = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
    event = b"id: 1\ndata: x\n\n"
    chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event)
    channel.sendall(head_of(200, sealed(worker, request) | headers) + chunks)
    return True


class Loss:
    """Holds up some orders of one holder, as their packets are sent again."""

    def __init__(self, holder: str) -> None:
        self._mark = f'"Holder":"{holder}"'.encode()
        self.begins_at = float("inf")
        self.lost = 0

    def __call__(self, data: bytes) -> float:
        """Return for how long ``data`` is held up."""
        if self._mark not in data or time.monotonic() < self.begins_at or self.lost >= LOST_ORDERS:
            return 0.0
        self.lost += 1
        return SENT_AGAIN_SECONDS


def consume(instance: Instance, adapters: Any, ended: threading.Event) -> None:
    """Ask for one adapter after another."""
    while not ended.is_set():
        number = next(adapters)
        headers = {
            "X_Redwingscale_Model_Name": f"m1/a{int(number[1:]) % ADAPTERS + 1}",
            "X_Redwingscale_Token_Usage": "10,5",
            "X_Redwingscale_Prefix_Hash": f"{number[1:]}:10",
            "X_Redwingscale_Deadline_Ms": "5000",
        }
        try:
            consumer = instance.consumer(6.0)
            consumer.send("POST", "/read/x", number, b"{}", **headers)
            consumer.receive(number)
            consumer.close()
        except OSError:
            time.sleep(0.1)
        time.sleep(0.05)


def main() -> int:
    """Run the case and return the exit code."""
    with Deployment(HERE / "record.txt") as deployment:
        read = route("read", "streaming", "llm", TimeoutMs=15000, GapTargetMs=400, Resumable=True)
        document = manifest(1, read, models=("m1",))
        engine = document["Services"][1]["Engine"]
        engine["AdapterSlots"] = SLOTS
        engine["Models"][0]["Adapters"] = ADAPTERS
        deployment.store.put("op", "config", document)
        worker = AdapterWorker("w0", "llm", deployment.host(), deployment.record, "z-a")
        link = Proxy(deployment.host(), worker.address)
        worker.address = link.address
        deployment.workers.append(worker)
        deployment.list(worker)
        store = deployment.store.address
        way_to_store = Proxy(deployment.host(), store)
        deployment.store.address = way_to_store.address
        first = deployment.instance("m0")
        if not deployment.await_ready() or not wait_for(lambda: deployment.leader() == "m0", 10):
            return could_not_run(deployment.record, "the first instance did not take the lease")
        deployment.store.address = store
        second = deployment.instance("m1")
        if not deployment.await_ready():
            return could_not_run(deployment.record, "the second instance did not become ready")
        loss = Loss("m0")
        if TROUBLE:
            link.delay = loss
        ended, adapters = threading.Event(), numbers("q")
        for instance in (first, second) * 3:
            arguments = (instance, adapters, ended)
            threading.Thread(target=consume, args=arguments, daemon=True).start()
        time.sleep(TRAFFIC_SECONDS)
        if TROUBLE:
            renewed_at = await_renewal(deployment)
            loss.begins_at = renewed_at + LOST_FROM
            way_to_store.is_cut = True
            deployment.record.note("m0 is cut off from the store")
            time.sleep(CUT_SECONDS)
            way_to_store.is_cut = False
            deployment.record.note("m0 reaches the store again")
        else:
            time.sleep(CUT_SECONDS)
        time.sleep(2.0)
        ended.set()
        if not worker.orders:
            return could_not_run(deployment.record, "no order was given")
        broken = turns(worker.orders, deployment)
        if TROUBLE and len({order["Holder"] for _, order in worker.orders}) < 2:
            return could_not_run(deployment.record, "the second instance gave no order")
        return verdict(deployment.record, broken)


def await_renewal(deployment: Deployment) -> float:
    """Return when the lease was renewed, a moment ago: its holder has had the answer."""
    row = ("redwingscale", "order-giver")
    before = deployment.store.version(*row)
    while deployment.store.version(*row) == before:
        time.sleep(0.002)
    renewed_at = time.monotonic()
    time.sleep(0.03)
    return renewed_at


def turns(orders: list[tuple[float, dict[str, Any]]], deployment: Deployment) -> list[str]:
    """Return the orders of a holder within `LEASE_SECONDS` of another holder's."""
    broken = []
    for (before, one), (after, other) in zip(orders, orders[1:], strict=False):
        if one["Holder"] == other["Holder"]:
            continue
        text = f"an order of {other['Holder']} {after - before:.3f} s after one of {one['Holder']}"
        deployment.record.note(text)
        if after - before < LEASE_SECONDS:
            broken.append(f"ONE: {text}, within LeaseMs")
    return broken


if __name__ == "__main__":
    sys.exit(main())
