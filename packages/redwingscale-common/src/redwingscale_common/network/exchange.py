"""JSON requests and responses inside a CherryPy handler."""

from typing import Any

import cherrypy
import msgspec
from cheroot.errors import MaxSizeExceeded

JSON_TYPE = "application/json"
TOO_LARGE_PHRASE = "Request Entity Too Large"
CHUNK_HEADERS_BYTES = 64 << 10


def read_body(max_bytes: int) -> bytes:
    """Return the request's body.

    Raises `cherrypy.HTTPError` 413 if it has more than ``max_bytes``, 408 if it does not
    arrive in time, and 400 if it is incomplete or malformed.
    """
    try:
        return _read_body(max_bytes)
    except TimeoutError:
        raise cherrypy.HTTPError(408, "the body did not arrive in time") from None
    except (OSError, ValueError) as error:
        raise cherrypy.HTTPError(400, f"the body cannot be read: {error}") from None


def _read_body(max_bytes: int) -> bytes:
    request = cherrypy.request
    if "chunked" in request.headers.get("Transfer-Encoding", "").lower():
        return _read_chunked(max_bytes)
    length = int(request.headers.get("Content-Length") or 0)
    if length > max_bytes:
        raise _too_large(max_bytes)
    body: bytes = request.rfile.read(length) if length else b""
    if len(body) < length:
        raise cherrypy.HTTPError(400, "the body ended early")
    return body


def _read_chunked(max_bytes: int) -> bytes:
    reader = cherrypy.request.rfile
    # The reader reads each chunk as a whole: without this limit, a single chunk that
    # declares a huge size would be read into memory.
    reader.maxlen = max_bytes + CHUNK_HEADERS_BYTES
    try:
        body: bytes = reader.read(max_bytes + 1)
    except MaxSizeExceeded:
        raise _too_large(max_bytes) from None
    except OSError as error:
        if TOO_LARGE_PHRASE in str(error):
            raise _too_large(max_bytes) from None
        raise
    if len(body) > max_bytes:
        raise _too_large(max_bytes)
    if not reader.closed:
        raise cherrypy.HTTPError(400, "the body ended early")
    return body


def _too_large(max_bytes: int) -> cherrypy.HTTPError:
    return cherrypy.HTTPError(413, f"the body has more than {max_bytes} bytes")


def read_json(max_bytes: int) -> Any:
    """Return the decoded JSON body of the request, ``{}`` for an empty body.

    Raises `cherrypy.HTTPError` 400 if the body is not JSON, and the errors of `read_body`.
    """
    try:
        return msgspec.json.decode(read_body(max_bytes) or b"{}")
    except msgspec.DecodeError as error:
        raise cherrypy.HTTPError(400, str(error)) from None


def json_response(value: Any, status: int = 200) -> bytes:
    """Set the status and content type of the response; return ``value`` encoded as its body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    return msgspec.json.encode(value)
