"""Client of the operators' HTTP API of one instance."""

from typing import Any, NamedTuple

import msgspec
import urllib3
from redwingscale_common.network.client import new_pool, timeout

from redwingscale_cli._internal.exceptions import Refused, Unreachable

CONNECT_SECONDS = 3.0
READ_SECONDS = 20.0
UNAUTHORIZED = 401
SUCCESSFUL = range(200, 300)


class Reply(NamedTuple):
    """Status and decoded JSON body of a response."""

    status: int
    value: Any

    @property
    def ok(self) -> bool:
        """Whether the status reports success."""
        return self.status in SUCCESSFUL


class OperatorsClient:
    """Sends requests to the instance at ``url``; every instance serves all commands."""

    def __init__(self, url: str, token: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {token}"}
        self._pool = new_pool(connections=4)

    def get(self, path: str) -> Any:
        """Return the JSON body of the response; raise `Unreachable` or `Refused`."""
        return self._checked(self.call("GET", path), path)

    def post(self, path: str, body: object) -> Any:
        """Send ``body``; return the JSON body of the response or raise `Unreachable` or `Refused`."""
        return self._checked(self.call("POST", path, body), path)

    def call(self, method: str, path: str, body: object = None) -> Reply:
        """Return the response with any status; raise `Unreachable` if there is none."""
        data = None if body is None else msgspec.json.encode(body)
        try:
            response = self._pool.request(
                method,
                self._url + path,
                body=data,
                headers=self._headers,
                timeout=timeout(CONNECT_SECONDS, READ_SECONDS),
            )
        except urllib3.exceptions.HTTPError as error:
            raise Unreachable(
                f"no response: {error}",
                context=self._url,
                hint="select another instance with --instance; every instance serves all commands",
            ) from error
        return Reply(response.status, _decoded(response.data))

    def _checked(self, reply: Reply, path: str) -> Any:
        if reply.status == UNAUTHORIZED:
            raise Refused(
                "the operators' token is missing or wrong",
                context=self._url,
                hint="set REDWINGSCALE_TOKEN or --token",
            )
        if not reply.ok:
            raise Refused(f"status {reply.status}: {reply.value}", context=self._url + path)
        return reply.value


def _decoded(data: bytes) -> Any:
    try:
        return msgspec.json.decode(data) if data else {}
    except msgspec.DecodeError:
        return data.decode("utf-8", "replace")
