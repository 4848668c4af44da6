"""Parts of the HTTP handlers that both dialects share: admin interface and stream bodies."""

from collections.abc import Callable, Iterator
from typing import Any

import cherrypy
from redwingscale_common.network.exchange import json_response, read_json

from redwingscale_standins.engine.engine import Engine
from redwingscale_standins.engine.streams import Token
from redwingscale_standins.hang import drop_connection

BODY_LIMIT = 16 << 20


def admin(engine: Engine, path: list[str]) -> bytes:
    """Serve ``/admin/faults`` and ``/admin/record``."""
    match cherrypy.request.method, path:
        case "POST", ["faults"]:
            engine.faults.update(read_json(BODY_LIMIT))
            return json_response({})
        case "GET", ["record"]:
            return json_response(engine.record())
    raise cherrypy.NotFound()


def event_stream(
    tokens: Iterator[Token],
    start: int,
    render: Callable[[Token], bytes],
    end: Callable[[int], bytes],
) -> Iterator[bytes]:
    """Return the body of a stream from token ``start``: rendered tokens, then the end event."""
    cherrypy.response.headers["Content-Type"] = "text/event-stream"
    cherrypy.response.stream = True

    def body() -> Iterator[bytes]:
        total = start
        for token in tokens:
            total = token.position + 1
            yield render(token)
        yield end(total)

    return body()


def refuse_if_set(engine: Engine) -> None:
    """Raise 503 while the switch ``refuse`` is on; the request is not run."""
    if engine.faults.refuse:
        raise cherrypy.HTTPError(503, "refused, not run")


def lose_order_reply(engine: Engine) -> None:
    """Drop the connection instead of replying to an order, if the fault is due."""
    if engine.faults.take("lose_order_replies"):
        drop_connection()


def require(condition: Any, status: int, message: str) -> None:
    """Raise an HTTP error ``status`` unless ``condition`` is true."""
    if not condition:
        raise cherrypy.HTTPError(status, message)
