"""HTTP calls to the platform's service."""

from typing import NamedTuple

import urllib3
from redwingscale_common.network.client import new_pool, timeout

from redwingscale_daemon._internal.exceptions import PlatformUnavailable, WriteUnknown

SENDER_HEADER = "X-Sender"
SERVER_ERROR = 500
# With this status the platform states that a write has not started.
SERVICE_UNAVAILABLE = 503


class PlatformResponse(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes


class PlatformHttp:
    """Sends each call to the platform once, with a timeout."""

    def __init__(self, url: str, sender: str, timeout_seconds: float) -> None:
        self._pool = new_pool(connections=8)
        self._url = url
        self._headers = {SENDER_HEADER: sender}
        self._timeout = timeout(timeout_seconds, timeout_seconds)

    def get(self, path: str, fields: list[tuple[str, str]] | None = None) -> PlatformResponse:
        """Read ``path``; raise `PlatformUnavailable` if there is no usable answer."""
        try:
            response = self._pool.request(
                "GET",
                self._url + path,
                fields=fields,
                headers=self._headers,
                timeout=self._timeout,
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailable(str(error)) from error
        if response.status >= SERVER_ERROR:
            raise PlatformUnavailable(f"status {response.status}")
        return PlatformResponse(response.status, response.data)

    def send(self, method: str, path: str, body: bytes) -> PlatformResponse:
        """Write to ``path``; raise `PlatformUnavailable` or `WriteUnknown`.

        If the connection could not be established, nothing was written. After any
        later failure the write may have taken effect.
        """
        try:
            response = self._pool.request(
                method, self._url + path, body=body, headers=self._headers, timeout=self._timeout
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            raise PlatformUnavailable(str(e)) from e
        except urllib3.exceptions.HTTPError as error:
            raise WriteUnknown(str(error)) from error
        if response.status == SERVICE_UNAVAILABLE:
            raise PlatformUnavailable("the platform refuses writes")
        if response.status >= SERVER_ERROR:
            raise WriteUnknown(f"status {response.status}")
        return PlatformResponse(response.status, response.data)
