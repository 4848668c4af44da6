"""Encodes refusals as problem documents (RFC 9457)."""

import math

import cherrypy
import msgspec

from redwingscale_daemon._internal.exceptions import Refusal

PROBLEM_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:redwingscale:problem:"


CODES_BY_STATUS = {408: "sender_too_slow", 413: "body_too_large"}


def body_refusal(error: cherrypy.HTTPError) -> Refusal:
    """Return the refusal for a request whose body could not be read."""
    code = CODES_BY_STATUS.get(error.code, "body_invalid")
    return Refusal(error.code, code, str(error.args[-1]))


def problem_response(refusal: Refusal, request_id: str) -> bytes:
    """Set the status and headers of the response and return the problem document."""
    response = cherrypy.response
    response.status = refusal.status
    response.headers["Content-Type"] = PROBLEM_TYPE
    body: dict[str, object] = {
        "type": TYPE_PREFIX + refusal.code,
        "title": refusal.code.replace("_", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "run": refusal.run.value,
        "request_id": request_id,
    }
    if refusal.retry_after_seconds is not None:
        response.headers["Retry-After"] = str(math.ceil(refusal.retry_after_seconds))
        body["retry_after_seconds"] = refusal.retry_after_seconds
    return msgspec.json.encode(body)
