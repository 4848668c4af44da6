"""HTTP dialect of vendor alder: nested state, sizes in bytes, orders with fencing numbers."""

from collections.abc import Iterator
from typing import Any

import cherrypy
import msgspec
from redwingscale_common.network.exchange import json_response, read_json

from redwingscale_standins.engine.engine import Engine
from redwingscale_standins.engine.handler import (
    BODY_LIMIT,
    admin,
    event_stream,
    lose_order_reply,
    refuse_if_set,
    require,
)
from redwingscale_standins.engine.orders import Order, StaleFence
from redwingscale_standins.engine.streams import Token, Work


class AlderApi:
    """Serves ``/v1/generate``, ``state``, ``orders``, ``fence`` and ``cache-events``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    @cherrypy.expose
    def default(self, *segments: str, **query: Any) -> bytes | Iterator[bytes]:
        """Dispatch a request of the dialect or of the admin interface."""
        match cherrypy.request.method, segments:
            case _, ("admin", *rest):
                return admin(self._engine, rest)
            case "POST", ("v1", "generate"):
                return self._generate(read_json(BODY_LIMIT))
            case "GET", ("v1", "generate", attempt):
                return self._resume(attempt, int(query["from"]))
            case "DELETE", ("v1", "generate", attempt):
                self._engine.streams.cancel(attempt)
                return json_response({})
            case "GET", ("v1", "state"):
                return self._state()
            case "POST", ("v1", "orders"):
                return self._order(read_json(BODY_LIMIT))
            case "POST", ("v1", "fence"):
                return self._fence(read_json(BODY_LIMIT))
            case "GET", ("v1", "cache-events"):
                return self._cache_events(int(query.get("since", 0)))
        raise cherrypy.NotFound()

    def _generate(self, body: dict[str, Any]) -> Iterator[bytes]:
        refuse_if_set(self._engine)
        require(self._engine.memory.is_ready(body["model"]), 404, "model is not resident")
        work = Work(
            attempt=body["request"],
            unit=body["model"],
            prompt=body["prompt"],
            max_tokens=body["max_tokens"],
            priority=body.get("priority", 5),
            skip=body.get("offset", 0),
        )
        return self._stream(work.attempt, work.skip, self._engine.streams.start(work))

    def _resume(self, attempt: str, start: int) -> Iterator[bytes]:
        tokens = self._engine.streams.resume(attempt, start)
        if tokens is None:
            raise cherrypy.HTTPError(404, "unknown request")
        return self._stream(attempt, start, tokens)

    def _stream(self, attempt: str, start: int, tokens: Iterator[Token]) -> Iterator[bytes]:
        batch = self._engine.streams.batch
        cherrypy.response.headers["X-Alder-Load"] = f"{batch.running},{batch.waiting}"
        return event_stream(tokens, start, _render, lambda count: _end(attempt, count))

    def _state(self) -> bytes:
        engine = self._engine
        if engine.faults.nonsense_report:
            return engine.faults.nonsense_report.encode()
        load = engine.load()
        memory = engine.memory
        # Read before the memory, so that the memory reflects every order reported as done.
        orders = {"fence": engine.orders.fence, "orders": engine.orders.statuses()}
        return json_response(
            orders
            | {
                "phase": "leaving" if engine.faults.leaving else "serving",
                "memory": {
                    "capacity_bytes": memory.capacity_bytes,
                    "resident": [r._asdict() for r in memory.residents()],
                },
                "load": {
                    "running": load.running,
                    "waiting": load.waiting,
                    "slots": engine.profile.slots,
                },
            }
        )

    def _order(self, body: dict[str, Any]) -> bytes:
        order = Order(
            order_id=body["order"],
            load=body["action"] == "load",
            unit=body["unit"],
            size_bytes=body["size_bytes"],
            fence=body["fence"],
        )
        try:
            self._engine.orders.submit(order)
        except StaleFence as error:
            return json_response({"error": "stale_fence", "fence": int(str(error))}, 409)
        lose_order_reply(self._engine)
        return json_response({"order": order.order_id}, 202)

    def _fence(self, body: dict[str, Any]) -> bytes:
        try:
            self._engine.orders.raise_fence(body["fence"])
        except StaleFence as error:
            return json_response({"error": "stale_fence", "fence": int(str(error))}, 409)
        return json_response({"fence": self._engine.orders.fence})

    def _cache_events(self, since: int) -> bytes:
        events = self._engine.streams.cache.events
        return json_response([e._asdict() for e in list(events) if e.sequence > since])


def _render(token: Token) -> bytes:
    data = {"request": token.attempt, "index": token.position, "text": token.text}
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


def _end(attempt: str, count: int) -> bytes:
    return b"data: " + msgspec.json.encode({"request": attempt, "count": count}) + b"\n\n"
