"""Reads and writes the headers of requests and answers on the users' platform."""

import math
from collections.abc import Iterable
from http.client import HTTPResponse

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.backpressure import Backpressure
from redwingscale_daemon._internal.fleet.prompt import Prompt, PromptPart
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.dialect import HeaderValues
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.ingress.ingress_request import Headers, IngressRequest
from redwingscale_daemon._internal.platform import names
from redwingscale_daemon._internal.utils.numbers import parse_number
from redwingscale_daemon._internal.workspaces.keys import key_digest

_MILLISECONDS = 1000.0
# Headers that concern one connection only (RFC 9110, section 7.6.1) or the framing of a body,
# which is framed again. They are not forwarded.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
_MISDIRECTED = 421
_UNAVAILABLE = 503
_LEAVING_VALUES = {"1": True, "0": False}


def read_terms(request: IngressRequest) -> Terms | str:
    """Return the terms in the caller's headers, or an error text if they are malformed."""
    values = {name.lower(): value for name, value in request.headers}
    request_id = values.get(names.REQUEST_ID.lower(), "")
    if not request_id:
        return f"{names.REQUEST_ID} is missing"
    deadline = values.get(names.DEADLINE_MS.lower())
    try:
        deadline_seconds = None if deadline is None else float(deadline) / _MILLISECONDS
        prompt = _prompt(values)
    except ValueError as error:
        return f"a header is malformed: {error}"
    last_event = values.get(names.LAST_EVENT_ID.lower(), "")
    return Terms(
        request_id=request_id,
        deadline_seconds=deadline_seconds,
        prompt=prompt,
        last_event=parse_number(last_event),
        tokens=_total_tokens(values),
        key_digest=_key_digest(values),
        resumed_request=values.get(names.RESUMED_REQUEST.lower()),
    )


def forwarded_headers(
    request: IngressRequest, workspace: str | None = None, *, hide_key: bool = False
) -> Headers:
    """Return the headers for every upstream: the caller's in their order, and ``workspace``.

    ``workspace`` is the name of the workspace of the caller's key. With ``hide_key``, the
    key itself is removed.
    """
    connection = next((v for n, v in request.headers if n.lower() == "connection"), "")
    named = {token.strip().lower() for token in connection.split(",")}
    dropped = _HOP_BY_HOP | named | names.CONTROL_HEADERS | {names.DEADLINE_MS.lower()}
    if hide_key:
        dropped |= {names.AUTHORIZATION.lower()}
    kept = tuple((name, value) for name, value in request.headers if name.lower() not in dropped)
    return kept if workspace is None else (*kept, (names.WORKSPACE, workspace))


def attempt_headers(
    common: Headers,
    upstream_name: str,
    seconds_left: float,
    priority: int,
    last_event: int | None,
) -> Headers:
    """Return the headers of one attempt at the upstream ``upstream_name``."""
    return (
        *_resuming(common, last_event),
        _deadline(seconds_left),
        (names.EXPECTED_UPSTREAM, upstream_name),
        (names.PRIORITY, str(priority)),
    )


def peer_headers(request: IngressRequest, seconds_left: float, last_event: int | None) -> Headers:
    """Return the headers of a request that is passed on to another instance."""
    return (*_resuming(forwarded_headers(request), last_event), _deadline(seconds_left))


def _resuming(headers: Headers, last_event: int | None) -> Headers:
    if last_event is None:
        return headers
    resume_header = names.LAST_EVENT_ID.lower()
    kept = tuple(header for header in headers if header[0].lower() != resume_header)
    return (*kept, (names.LAST_EVENT_ID, str(last_event)))


def _deadline(seconds_left: float) -> tuple[str, str]:
    return names.DEADLINE_MS, str(max(1, int(seconds_left * _MILLISECONDS)))


def response_headers(response: HTTPResponse) -> Headers:
    """Return the headers of an upstream's answer to forward to the caller."""
    return tuple(
        (name, value) for name, value in response.headers.items() if name.lower() not in _HOP_BY_HOP
    )


def matches_request(response: HTTPResponse, request_id: str) -> bool:
    """Return whether an answer belongs to the request ``request_id``."""
    return bool(response.headers.get(names.REQUEST_ID) == request_id)


def is_signed(response: HTTPResponse) -> bool:
    """Return whether the answer is the upstream's own and has no content encoding.

    Callers request no encoding, so an encoded body is not the one that the upstream sent.
    """
    headers = response.headers
    return names.SIGNATURE in headers and "Content-Encoding" not in headers


def was_not_run(response: HTTPResponse) -> bool:
    """Return whether the upstream states that it has not run the request."""
    return names.NOT_RUN in response.headers or response.status == _MISDIRECTED


def is_misdirected(response: HTTPResponse) -> bool:
    """Return whether another upstream answered, or this one lacks the model or adapter."""
    return response.status == _MISDIRECTED


def answering_upstream(response: HTTPResponse) -> str | None:
    """Return the name of the process that answers, None if the response does not say."""
    return response.headers.get(names.ANSWERING_UPSTREAM)


def is_from_another(response: HTTPResponse, upstream_name: str) -> bool:
    """Return whether a process other than ``upstream_name`` now has its address."""
    answering = answering_upstream(response)
    return response.status == _MISDIRECTED and answering not in (None, upstream_name)


def read_backpressure(status: int, headers: HeaderValues) -> Backpressure:
    """Return the backpressure in an upstream's answer; malformed headers are ignored.

    Must not be used for the answer of another process at the upstream's address.
    """
    retry_after = _number(headers, "Retry-After") if status == _UNAVAILABLE else None
    rejected = status == _UNAVAILABLE and headers.get(names.NOT_RUN) is not None
    return Backpressure(
        _number(headers, names.RATE_LIMIT),
        _leaving(headers),
        retry_after,
        rejected,
        _number(headers, names.BRITTLE),
    )


def idle_seconds(response: HTTPResponse) -> float | None:
    """Return how long the connection may be idle: 0 if it closes, None if not stated."""
    if response.will_close:
        return 0.0
    for part in _tokens(response.headers.get_all("Keep-Alive", [])):
        name, _, value = part.partition("=")
        if name == "timeout" and (seconds := parse_number(value)) is not None:
            return float(seconds)
    return None


def _number(headers: HeaderValues, name: str) -> float | None:
    """Return a finite number of at least 0, or None if the header is missing or malformed."""
    value = headers.get(name)
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if math.isfinite(number) and number >= 0:
        return number
    log_event("header_malformed", level="WARNING", header=name, value=value)
    return None


def _leaving(headers: HeaderValues) -> bool:
    value = headers.get(names.LEAVING)
    if value is None:
        return False
    leaving = _LEAVING_VALUES.get(value.strip())
    if leaving is None:
        log_event("header_malformed", level="WARNING", header=names.LEAVING, value=value)
    return bool(leaving)


def _tokens(values: Iterable[str]) -> list[str]:
    return [token.strip().lower() for value in values for token in value.split(",")]


def _key_digest(values: dict[str, str]) -> bytes | None:
    scheme, _, key = values.get(names.AUTHORIZATION.lower(), "").partition(" ")
    return key_digest(key.strip()) if scheme.lower() == names.KEY_SCHEME.lower() else None


def _total_tokens(values: dict[str, str]) -> int | None:
    value = values.get(names.TOKENS.lower())
    return None if value is None else sum(int(count or 0) for count in value.split(","))


def _prompt(values: dict[str, str]) -> Prompt | None:
    model = values.get(names.MODEL.lower())
    if model is None:
        return None
    name, _, adapter = model.partition("/")
    tokens_in, _, tokens_out = values.get(names.TOKENS.lower(), "0,0").partition(",")
    parts = values.get(names.PROMPT_PARTS.lower(), "")
    return Prompt(
        unit=Unit(name, adapter),
        tokens_in=int(tokens_in),
        most_tokens_out=int(tokens_out or 0),
        parts=tuple(map(_part, filter(None, parts.split(",")))),
    )


def _part(text: str) -> PromptPart:
    identity, _, tokens = text.strip().partition(":")
    return PromptPart(identity, int(tokens))
