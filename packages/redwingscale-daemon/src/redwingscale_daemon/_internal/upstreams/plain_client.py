"""Calls to plain services."""

from typing import NamedTuple

import urllib3
from redwingscale_common.network.client import new_pool, timeout

from redwingscale_daemon._internal.exceptions import UpstreamError
from redwingscale_daemon._internal.models.member import PlainMember
from redwingscale_daemon._internal.models.run_state import RunState

ATTEMPT_HEADER = "X-Attempt-Id"
NOT_RUN_STATUSES = frozenset({503})


class PlainCall(NamedTuple):
    """A call as the caller made it; ``path`` begins with a slash."""

    attempt_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class PlainAnswer(NamedTuple):
    """A whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainClient:
    """Sends each call exactly once, on a fresh connection.

    A pooled idle connection may be dead; its failure would not tell whether the
    call was run. On a fresh one, a failure to connect is truly not run.
    """

    def __init__(self, connect_seconds: float) -> None:
        self._connect_seconds = connect_seconds

    def call(self, member: PlainMember, call: PlainCall, timeout_seconds: float) -> PlainAnswer:
        """Return the answer; raise `UpstreamError`, which tells if it may have run."""
        headers = call.headers | {ATTEMPT_HEADER: call.attempt_id, "Connection": "close"}
        with new_pool(connections=1) as pool:
            try:
                response = pool.request(
                    call.method,
                    member.url + call.path,
                    body=call.body or None,
                    headers=headers,
                    timeout=timeout(self._connect_seconds, max(0.01, timeout_seconds)),
                )
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ) as error:
                raise UpstreamError(member.id, repr(error), run=RunState.NOT_RUN) from error
            except urllib3.exceptions.HTTPError as error:
                raise UpstreamError(member.id, repr(error), run=RunState.UNKNOWN) from error
        if response.status in NOT_RUN_STATUSES:
            raise UpstreamError(member.id, f"status {response.status}", run=RunState.NOT_RUN)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return PlainAnswer(response.status, content_type, response.data)
