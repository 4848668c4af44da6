"""JSON requests and responses inside a CherryPy handler."""

from typing import Any

import cherrypy
import msgspec

JSON_TYPE = "application/json"


def read_body(limit: int) -> bytes:
    """Return the request's body; raise `cherrypy.HTTPError` 413 past ``limit`` bytes."""
    request = cherrypy.request
    length = int(request.headers.get("Content-Length") or 0)
    chunked = "chunked" in request.headers.get("Transfer-Encoding", "").lower()
    if length > limit:
        raise cherrypy.HTTPError(413)
    if not length and not chunked:
        return b""
    body: bytes = request.rfile.read(limit + 1 if chunked else length)
    if len(body) > limit:
        raise cherrypy.HTTPError(413)
    if not chunked and len(body) < length:
        raise cherrypy.HTTPError(400, "the body ended early")
    return body


def read_json(limit: int) -> Any:
    """Return the request's JSON body; raise `cherrypy.HTTPError` 400 when it is none."""
    try:
        return msgspec.json.decode(read_body(limit) or b"{}")
    except msgspec.DecodeError as error:
        raise cherrypy.HTTPError(400, str(error)) from None


def json_response(value: Any, status: int = 200) -> bytes:
    """Set status and type of the response and return ``value`` as its body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    return msgspec.json.encode(value)
