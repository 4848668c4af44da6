"""Parses the headers by which callers control a request."""

import math
import time
import uuid
from collections.abc import Mapping
from typing import NamedTuple

from redwingscale_daemon._internal.exceptions import Refusal

REQUEST_ID = "X-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"
IDEMPOTENT = "X-Idempotent"
DEADLINE = "X-Deadline-Seconds"
MAX_HEADER_CHARACTERS = 256


class RequestHeaders(NamedTuple):
    """The control headers of one request; ``deadline_at`` is monotonic."""

    request_id: str
    idempotency_key: str
    idempotent: bool
    deadline_at: float


def new_request_id(headers: Mapping[str, str]) -> str:
    """Return the caller's request id, or a new one if it is missing or unusable."""
    given = headers.get(REQUEST_ID, "")
    usable = given.isprintable() and 0 < len(given) <= MAX_HEADER_CHARACTERS
    return given if usable else uuid.uuid4().hex


def parse_headers(
    headers: Mapping[str, str], request_id: str, deadline_seconds: float, *, idempotent: bool
) -> RequestHeaders:
    """Return the control headers; raises `Refusal` 400, or 408 if the deadline has passed.

    ``deadline_seconds`` and ``idempotent`` apply where the caller names none; the caller
    can only shorten the deadline.
    """
    key = headers.get(IDEMPOTENCY_KEY, "")
    if len(key) > MAX_HEADER_CHARACTERS:
        raise Refusal(400, "header_invalid", f"{IDEMPOTENCY_KEY} is too long")
    return RequestHeaders(
        request_id=request_id,
        idempotency_key=key,
        idempotent=_parse_flag(headers.get(IDEMPOTENT, ""), default=idempotent),
        deadline_at=time.monotonic() + _parse_seconds(headers.get(DEADLINE, ""), deadline_seconds),
    )


def _parse_flag(text: str, *, default: bool) -> bool:
    match text.lower():
        case "":
            return default
        case "true" | "1":
            return True
        case "false" | "0":
            return False
    raise Refusal(400, "header_invalid", f"{IDEMPOTENT} must be true or false")


def _parse_seconds(text: str, default: float) -> float:
    if not text:
        return default
    try:
        seconds = float(text)
    except ValueError:
        raise Refusal(400, "header_invalid", f"{DEADLINE} must be a number") from None
    if math.isnan(seconds):
        raise Refusal(400, "header_invalid", f"{DEADLINE} must be a number")
    if seconds <= 0:
        raise Refusal(408, "deadline_past", "the deadline has already passed")
    return min(seconds, default)
