"""HTTP dialect of vendor birch: flat state, sizes in megabytes, tickets without fencing."""

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
from redwingscale_standins.engine.orders import Order
from redwingscale_standins.engine.streams import Token, Work

MEGABYTE = 1_000_000


class BirchApi:
    """Serves ``/generate``, its ``resume`` and ``cancel``, ``/info``, ``/slots`` and ``/cache``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    @cherrypy.expose
    def default(self, *segments: str, **query: Any) -> bytes | Iterator[bytes]:
        """Dispatch a request of the dialect or of the admin interface."""
        match cherrypy.request.method, segments:
            case _, ("admin", *rest):
                return admin(self._engine, rest)
            case "POST", ("generate",):
                return self._generate(read_json(BODY_LIMIT))
            case "GET", ("generate", "resume"):
                return self._resume(query["id"], int(query["after"]))
            case "POST", ("generate", "cancel"):
                self._engine.streams.cancel(read_json(BODY_LIMIT)["id"])
                return json_response({})
            case "GET", ("info",):
                return self._info()
            case "POST", ("slots",):
                return self._ticket(read_json(BODY_LIMIT))
            case "GET", ("cache",):
                return self._cache(int(query.get("after", 0)))
        raise cherrypy.NotFound()

    def _generate(self, body: dict[str, Any]) -> Iterator[bytes]:
        refuse_if_set(self._engine)
        require(self._engine.memory.is_ready(body["slot"]), 409, "no such slot")
        work = Work(
            attempt=body["id"],
            unit=body["slot"],
            prompt=body["input"],
            max_tokens=body["limit"],
            priority=body.get("urgency", 5),
            skip=body.get("skip", 0),
        )
        return self._stream(work.attempt, work.skip, self._engine.streams.start(work))

    def _resume(self, attempt: str, start: int) -> Iterator[bytes]:
        tokens = self._engine.streams.resume(attempt, start)
        if tokens is None:
            raise cherrypy.HTTPError(410, "gone")
        return self._stream(attempt, start, tokens)

    def _stream(self, attempt: str, start: int, tokens: Iterator[Token]) -> Iterator[bytes]:
        return event_stream(tokens, start, _render, lambda count: _end(attempt, count))

    def _info(self) -> bytes:
        engine = self._engine
        if engine.faults.nonsense_report:
            return engine.faults.nonsense_report.encode()
        load = engine.load()
        # Read before the memory, so that the memory reflects every order reported as done.
        tickets = engine.orders.statuses()
        slots = [
            {"slot": r.unit, "mb": r.size_bytes / MEGABYTE, "phase": r.phase}
            for r in engine.memory.residents()
        ]
        return json_response(
            {
                "state": "draining" if engine.faults.leaving else "up",
                "gpu_mb": engine.memory.capacity_bytes / MEGABYTE,
                "slots": slots,
                "active": load.running,
                "queued": load.waiting,
                "batch": engine.profile.slots,
                "tickets": tickets,
            }
        )

    def _ticket(self, body: dict[str, Any]) -> bytes:
        order = Order(
            order_id=body["ticket"],
            load=body["op"] == "add",
            unit=body["slot"],
            size_bytes=int(body["mb"] * MEGABYTE),
        )
        self._engine.orders.submit(order)
        lose_order_reply(self._engine)
        return json_response({"ticket": order.order_id}, 202)

    def _cache(self, after: int) -> bytes:
        events = list(self._engine.streams.cache.events)
        shown = [[e.sequence, "+" if e.stored else "-", e.unit, e.prefix] for e in events]
        return json_response([row for row in shown if int(str(row[0])) > after])


def _render(token: Token) -> bytes:
    data = {"id": token.attempt, "seq": token.position, "piece": token.text}
    return b"event: token\ndata: " + msgspec.json.encode(data) + b"\n\n"


def _end(attempt: str, count: int) -> bytes:
    return b"event: end\ndata: " + msgspec.json.encode({"id": attempt, "total": count}) + b"\n\n"
