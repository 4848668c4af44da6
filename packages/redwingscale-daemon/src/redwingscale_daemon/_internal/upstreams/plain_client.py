"""Sends calls to plain services."""

from typing import NamedTuple

import urllib3
from redwingscale_common.network.client import new_pool, timeout

from redwingscale_daemon._internal.exceptions import UpstreamError
from redwingscale_daemon._internal.models.member import PlainMember
from redwingscale_daemon._internal.models.run_state import RunState

ATTEMPT_HEADER = "X-Attempt-Id"
RETRY_AFTER = "Retry-After"
SERVICE_UNAVAILABLE = 503
BODILESS_STATUSES = frozenset({204, 304})
MIN_READ_SECONDS = 0.01


class PlainCall(NamedTuple):
    """A call as received from the caller; ``path`` begins with a slash."""

    attempt_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class PlainAnswer(NamedTuple):
    """A complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainClient:
    """Sends each call exactly once, on a fresh connection.

    A pooled idle connection may be dead, and its failure would not show whether the
    call was run. On a fresh one, a failure to connect means that it was not run.
    """

    def __init__(self, connect_seconds: float) -> None:
        self._connect_seconds = connect_seconds

    def call(self, member: PlainMember, call: PlainCall, timeout_seconds: float) -> PlainAnswer:
        """Return the response; raise `UpstreamError`, whose ``run`` says if the call may have run."""
        with new_pool(connections=1) as pool:
            response = self._send(pool, member, call, timeout_seconds)
            self._check(member, call, response)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return PlainAnswer(response.status, content_type, response.data)

    def _send(
        self,
        pool: urllib3.PoolManager,
        member: PlainMember,
        call: PlainCall,
        timeout_seconds: float,
    ) -> urllib3.BaseHTTPResponse:
        headers = call.headers | {ATTEMPT_HEADER: call.attempt_id, "Connection": "close"}
        read_seconds = max(MIN_READ_SECONDS, timeout_seconds)
        try:
            return pool.request(
                call.method,
                member.url + call.path,
                body=call.body or None,
                headers=headers,
                timeout=timeout(min(self._connect_seconds, read_seconds), read_seconds),
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise UpstreamError(member.id, repr(error), run=RunState.NOT_RUN) from error
        except urllib3.exceptions.HTTPError as error:
            raise UpstreamError(member.id, repr(error), run=RunState.UNKNOWN) from error

    def _check(
        self, member: PlainMember, call: PlainCall, response: urllib3.BaseHTTPResponse
    ) -> None:
        answered = response.headers.get(ATTEMPT_HEADER, call.attempt_id)
        if answered != call.attempt_id:
            raise UpstreamError(member.id, "an answer to another attempt", run=RunState.UNKNOWN)
        if not _shows_truncation(call.method, response):
            raise UpstreamError(member.id, "an answer without its length", run=RunState.UNKNOWN)
        # A service may return a bare 503 after it has acted on the call. One with
        # Retry-After asks for the call to be repeated, so the call was not run.
        if response.status == SERVICE_UNAVAILABLE and RETRY_AFTER in response.headers:
            raise UpstreamError(member.id, "refused, not run", run=RunState.NOT_RUN)


def _shows_truncation(method: str, response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether truncation of this response would have raised an error."""
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return True
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    return chunked or "Content-Length" in response.headers
