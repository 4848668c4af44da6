"""A worker refuses a request, and its refusal comes once more before the next answer."""

import os
import socket
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit import (  # noqa: E402
    ID,
    Deployment,
    Instance,
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
# What the site files name for this disturbance: it lasts 5 s, affects up to 60 in 100 workers, and
# up to 3 in 100 of their answers come twice. It may come more than once.
SPELLS, SPELL_SECONDS, PAUSE_SECONDS = 4, 5.0, 1.0
LARGEST_SHARE = 0.03
# Every so many requests meet workers that are full for a moment.
FULL_EVERY = 12
GAP_SECONDS = 0.005
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Shedding:
    """Refuses some requests once while the worker is full, and runs them the next time.

    While ``is_faulty``, a second copy of a few refusals arrives where the next answer on that
    channel is expected.
    """

    def __init__(self, *, may_be_faulty: bool) -> None:
        self._may_be_faulty = may_be_faulty
        self._refused: Counter[str] = Counter()
        self._late: dict[socket.socket, str] = {}
        self._answers = self._copies = 0
        self.is_faulty = False

    def begin_spell(self) -> None:
        """Count the answers of a spell of the disturbance from now on."""
        self._answers = self._copies = 0
        self.is_faulty = self._may_be_faulty

    def __call__(self, worker: Worker, channel: socket.socket, request: Request) -> bool:
        """Serve one request."""
        if (late := self._late.pop(channel, None)) is not None:
            worker.record.note(f"{worker.name} sends its refusal of {late} a second time")
            self._refuse(channel, late)
        self._answers += 1
        if request.target.startswith("/book/full") and not self._refused[request.id]:
            self._refused[request.id] += 1
            worker.record.note(f"{worker.name} is full and refuses {request.id}")
            self._refuse(channel, request.id)
            if self.is_faulty and self._copies + 1 <= self._answers * LARGEST_SHARE:
                self._copies += 1
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
        workers = [deployment.worker(f"w{number}", "desk") for number in range(2)]
        faults = [Shedding(may_be_faulty=number == 0) for number in range(2)]
        for worker, behaviour in zip(workers, faults, strict=True):
            worker.behaviour = behaviour
        machine = deployment.instance("m0")
        if not deployment.await_ready():
            return could_not_run(deployment.record, "the instance did not become ready")
        broken: list[str] = []
        ids = numbers("book")
        for _ in range(SPELLS):
            if TROUBLE:
                faults[0].begin_spell()
            until = time.monotonic() + SPELL_SECONDS
            while time.monotonic() < until:
                broken += book(machine, workers, next(ids))
                time.sleep(GAP_SECONDS)
            faults[0].is_faulty = False
            time.sleep(PAUSE_SECONDS)
        return verdict(deployment.record, broken)


def book(machine: Instance, workers: list[Worker], request_id: str) -> list[str]:
    """Send one request and return how its answer and its runs break a rule."""
    is_full = int(request_id.removeprefix("book")) % FULL_EVERY == 0
    path = "/book/full" if is_full else "/book/x"
    consumer = machine.consumer()
    consumer.send("POST", path, request_id, b"x", X_Redwingscale_Deadline_Ms="3000")
    answer = consumer.receive(request_id)
    consumer.close()
    runs = sum(worker.runs.count(request_id) for worker in workers)
    broken = []
    if runs > 1:
        broken.append(f"TWICE: {request_id}, which is unsafe, ran {runs} times")
    if runs and answer.status in NOT_RUN_STATUSES:
        broken.append(f"REFUSED: {request_id} ran and was answered {answer.status}")
    return broken


if __name__ == "__main__":
    sys.exit(main())
