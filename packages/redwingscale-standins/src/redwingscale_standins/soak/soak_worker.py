"""A soak worker that serves streams, plain requests and orders, and injects its own faults."""

import time
from collections.abc import Callable, Iterator
from typing import Any

import cherrypy
from redwingscale_common.network.exchange import read_body

from redwingscale_standins.hang import drop_connection
from redwingscale_standins.hosted.documents import MODELS
from redwingscale_standins.hosted.model_worker import BODY_LIMIT_BYTES, ModelWorker, WorkerTiming
from redwingscale_standins.parts.rule import (
    PartEnd,
    PartLedger,
    PartRun,
    bad_part_of,
    read_parts,
)
from redwingscale_standins.soak.ledger import Ledger

MEMORY_MB = 150.0
PLAIN_SECONDS = 0.02
# The begin of a body that ends the worker.
ENDING_MARK = b"ends its worker"
# The begin of a body whose events are large, and what they have in addition. The whole
# response is more than the buffers of a connection hold, so that a caller that stops
# reading is noticed.
LARGE_MARK = b"large events"
LARGE_DATA = b"data: " + b"x" * 32768 + b"\n\n"
# The begin of a body that a plain worker takes longer for.
SLOW_MARK = b"slow answer"
SLOW_SECONDS = 1.2
IDLE_POLL_SECONDS = 0.05
# A worker ends so long after it has begun the answer to a prompt with a bad part.
ENDING_SECONDS = 0.02
_MODEL_MB = {str(model["Name"]): float(str(model["WeightsMb"])) for model in MODELS}


class SoakWorker(ModelWorker):
    """Records runs and orders; ``failing`` responds with 500, ``losing`` drops the response."""

    def __init__(
        self, worker_id: str, models: set[str], ledger: Ledger, parts: PartLedger | None = None
    ) -> None:
        super().__init__(worker_id, {name: set() for name in models}, WorkerTiming(0.02, 0.15))
        self._ledger = ledger
        self._parts = parts or PartLedger()
        self.failing = False
        self.losing = False
        self.crashed = False
        # Called when the worker begins a body that ends it, None for a worker that none ends.
        self.on_ending_body: Callable[[], None] | None = None

    def _serve(self, headers: Any, body: bytes) -> bytes | Iterator[bytes]:
        if body.startswith(ENDING_MARK) and self.on_ending_body is not None:
            self.crashed = True
            self.on_ending_body()
            drop_connection()
        parts = read_parts(headers.get("X-Redwingscale-Prefix-Hash", ""))
        request = headers.get("X-Redwingscale-Request-Id", "")
        self._parts.note_run(PartRun(request, parts, self.id, time.monotonic()))
        answer = super()._serve(headers, body)
        if isinstance(answer, bytes):
            return answer
        answer = self._noting_end(request, answer)
        if (bad := bad_part_of(parts)) is not None and self.on_ending_body is not None:
            return self._ends_with(bad, self.on_ending_body)
        if not body.startswith(LARGE_MARK):
            return answer
        return (event[:-1] + LARGE_DATA for event in answer)

    def _noting_end(self, request: str, events: Iterator[bytes]) -> Iterator[bytes]:
        try:
            yield from events
        finally:
            self._ledger.end_run(request, self.id)

    def _ends_with(self, part: str, end: Callable[[], None]) -> Iterator[bytes]:
        yield b": begun\n"
        time.sleep(ENDING_SECONDS)
        if not self.crashed:
            self.crashed = True
            self._parts.note_end(PartEnd(part, self.id, time.monotonic()))
            end()
        raise ConnectionAbortedError("the worker has ended")

    def _run(self, headers: Any) -> bytes | Iterator[bytes]:
        if self.crashed:
            drop_connection()
        request = headers.get("X-Redwingscale-Request-Id", "")
        if self.retry_after is not None:
            read_body(BODY_LIMIT_BYTES)
            return self._reject(self.retry_after)
        path = cherrypy.request.path_info
        model = headers.get("X-Redwingscale-Model-Name")
        if model is not None:
            if model.partition("/")[0] in self.models:
                self._ledger.begin_run(request, self.id, path, b"")
            return super()._run(headers)
        body = read_body(BODY_LIMIT_BYTES)
        self._ledger.begin_run(request, self.id, path, body)
        time.sleep(SLOW_SECONDS if body.startswith(SLOW_MARK) else PLAIN_SECONDS)
        self._ledger.end_run(request, self.id)
        if self.losing:
            drop_connection()
        cherrypy.response.headers["X-Redwingscale-Request-Id"] = request
        cherrypy.response.headers["X-Redwingscale-Response-Seal"] = f"{self.id}.{request}"
        if self.failing:
            cherrypy.response.status = 500
        return request.encode() + b":" + body

    def _events(self, first: int, last: int) -> Iterator[bytes]:
        for event in super()._events(first, last):
            if self.crashed or self.losing:
                # Raised in mid-stream, so that the chunked body lacks its terminating chunk.
                raise ConnectionAbortedError("the response is dropped")
            yield event

    def _reject_for_room(self) -> bytes:
        request = cherrypy.request.headers.get("X-Redwingscale-Request-Id", "")
        self._ledger.no_room.add((request, self.id))
        return super()._reject_for_room()

    def wait_until_idle(self, longest_seconds: float) -> None:
        """Wait until no stream runs, or for ``longest_seconds``."""
        end = time.monotonic() + longest_seconds
        while self.running and time.monotonic() < end:
            time.sleep(IDLE_POLL_SECONDS)

    def _order(self, order: dict[str, Any]) -> bytes:
        before = len(self.orders)
        answer = super()._order(order)
        if len(self.orders) > before:
            self._ledger.add_order(self.id, str(order["Holder"]), int(order["Fence"]))
            if order["Op"] == "load" and "Adapter" not in order:
                self._check_memory(order["Model"])
        return answer

    def _check_memory(self, model: str) -> None:
        resident = set(self.models) | {model}
        used = sum(_MODEL_MB[name] for name in resident)
        if used > MEMORY_MB:
            self._ledger.add_finding(
                "memory", f"{self.id} was ordered to load {sorted(resident)}: {used} MB"
            )
