"""A worker refuses a request, and its refusal comes once more before the next answer."""

import os
import socket
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit import (  # noqa: E402
    ID,
    Deployment,
    Request,
    Worker,
    could_not_run,
    manifest,
    numbers,
    route,
    sealed,
    send,
    verdict,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 10
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Shedding:
    """Refuses each request once while the worker is full, and runs it the next time.

    With `TROUBLE`, a second copy of the refusal arrives where the next answer on that channel is
    expected.
    """

    def __init__(self) -> None:
        self._refused: Counter[str] = Counter()
        self._late: dict[socket.socket, str] = {}

    def __call__(self, worker: Worker, channel: socket.socket, request: Request) -> bool:
        """Serve one request."""
        if (late := self._late.pop(channel, None)) is not None:
            worker.record.note(f"{worker.name} sends its refusal of {late} a second time")
            self._refuse(channel, late)
        if not self._refused[request.id]:
            self._refused[request.id] += 1
            worker.record.note(f"{worker.name} is full and refuses {request.id}")
            self._refuse(channel, request.id)
            if TROUBLE:
                self._late[channel] = request.id
            return True
        worker.note_run(request)
        send(channel, 200, sealed(worker, request), f"booked {request.id}".encode())
        return True

    @staticmethod
    def _refuse(channel: socket.socket, request_id: str) -> None:
        headers = {ID: request_id, "X-Redwingscale-Not-Executed": "full", "Retry-After": "0.2"}
        send(channel, 503, headers, b"")


def main() -> int:
    """Run the case and return the exit code."""
    with Deployment(HERE / "record.txt") as deployment:
        deployment.store.put("op", "config", manifest(1, route("book", "unsafe", "desk")))
        worker = deployment.worker("w0", "desk")
        worker.behaviour = Shedding()
        machine = deployment.instance("m0")
        if not deployment.await_ready():
            return could_not_run(deployment.record, "the instance did not become ready")
        broken = []
        for _, request_id in zip(range(REQUESTS), numbers("book"), strict=False):
            consumer = machine.consumer()
            consumer.send("POST", "/book/x", request_id, b"x", X_Redwingscale_Deadline_Ms="3000")
            answer = consumer.receive(request_id)
            consumer.close()
            runs = worker.runs.count(request_id)
            if runs > 1:
                broken.append(f"TWICE: {request_id}, which is unsafe, ran {runs} times")
            if runs and answer.status in NOT_RUN_STATUSES:
                broken.append(f"REFUSED: {request_id} ran and was answered {answer.status}")
        return verdict(deployment.record, broken)


if __name__ == "__main__":
    sys.exit(main())
