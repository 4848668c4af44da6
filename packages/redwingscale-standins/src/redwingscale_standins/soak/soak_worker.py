"""A worker of the soak: streams, plain calls, orders, and faults of its own."""

import time
from collections.abc import Iterator
from typing import Any

import cherrypy
from redwingscale_common.network.exchange import read_body

from redwingscale_standins.hang import drop_connection
from redwingscale_standins.hosted.documents import MODELS
from redwingscale_standins.hosted.model_worker import BODY_LIMIT, ModelWorker, WorkerTiming
from redwingscale_standins.soak.ledger import Ledger

MEMORY_MB = 150.0
PLAIN_SECONDS = 0.02
_MODEL_MB = {str(model["Name"]): float(str(model["WeightsMb"])) for model in MODELS}


class SoakWorker(ModelWorker):
    """Records runs and orders; ``failing`` answers 500, ``losing`` drops the answer."""

    def __init__(self, worker_id: str, models: set[str], ledger: Ledger) -> None:
        super().__init__(worker_id, {name: set() for name in models}, WorkerTiming(0.02, 0.15))
        self._ledger = ledger
        self.failing = False
        self.losing = False
        self.dead = False

    def _run(self, headers: Any) -> bytes | Iterator[bytes]:
        if self.dead:
            drop_connection()
        request = headers.get("X-Redwingscale-Request-Id", "")
        if self.retry_after is not None:
            read_body(BODY_LIMIT)
            return self._reject(self.retry_after)
        path = cherrypy.request.path_info
        model = headers.get("X-Redwingscale-Model-Name")
        if model is not None:
            if model.partition("/")[0] in self.models:
                self._ledger.ran(request, self.id, path, b"")
            return super()._run(headers)
        body = read_body(BODY_LIMIT)
        self._ledger.ran(request, self.id, path, body)
        time.sleep(PLAIN_SECONDS)
        if self.losing:
            drop_connection()
        cherrypy.response.headers["X-Redwingscale-Request-Id"] = request
        cherrypy.response.headers["X-Redwingscale-Response-Seal"] = f"{self.id}.{request}"
        if self.failing:
            cherrypy.response.status = 500
        return request.encode() + b":" + body

    def _events(self, first: int, last: int) -> Iterator[bytes]:
        for event in super()._events(first, last):
            if self.dead or self.losing:
                # Raised in mid-stream, the chunked body stays without its end.
                raise ConnectionAbortedError("the answer is lost")
            yield event

    def _order(self, order: dict[str, Any]) -> bytes:
        before = len(self.orders)
        answer = super()._order(order)
        if len(self.orders) > before:
            self._ledger.ordered(self.id, str(order["Holder"]), int(order["Fence"]))
            if order["Op"] == "load" and "Adapter" not in order:
                self._check_memory(order["Model"])
        return answer

    def _check_memory(self, model: str) -> None:
        held = set(self.models) | {model}
        used = sum(_MODEL_MB[name] for name in held)
        if used > MEMORY_MB:
            self._ledger.finding("memory", f"{self.id} is to hold {sorted(held)}: {used} MB")
