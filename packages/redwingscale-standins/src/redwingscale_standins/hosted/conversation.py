"""A caller that sends parts of one or more requests on a schedule, whatever comes meanwhile."""

import contextlib
import http.client
import io
import select
import socket
import time
from typing import Any

from redwingscale_standins.hosted.late_caller import LateAnswer, Part
from redwingscale_standins.hosted.waiting import WAIT_SECONDS

_PIECE_BYTES = 65536


class Conversation:
    """One connection; ``ends`` maps the number of a part that ends a request to its id.

    It waits for ``100 Continue`` as other callers do: until the time of the next part. It sends
    all parts unless the instance closes the connection, also after an answer has come.
    """

    def __init__(self, port: int, parts: list[Part], ends: dict[int, str]) -> None:
        self._port, self._parts, self._ends = port, parts, ends
        self._received = b""
        self._sent_at: dict[str, float] = {}

    def run(self, opens_at: float) -> list[LateAnswer]:
        """Open the connection at ``opens_at``, and return what came of each request."""
        time.sleep(max(0.0, opens_at - time.monotonic()))
        address = ("127.0.0.1", self._port)
        with contextlib.closing(socket.create_connection(address, WAIT_SECONDS)) as sock:
            with contextlib.suppress(OSError):
                self._send_all(sock)
            return self._answers(time.monotonic())

    def _send_all(self, sock: socket.socket) -> None:
        for number, part in enumerate(self._parts):
            if not self._receive_until(sock, part.at):
                return
            sock.sendall(part.data)
            if number in self._ends:
                self._sent_at[self._ends[number]] = time.monotonic()
        self._receive_until(sock, time.monotonic() + WAIT_SECONDS)

    def _receive_until(self, sock: socket.socket, at: float) -> bool:
        """Return False once the instance has closed the connection."""
        while (remaining := at - time.monotonic()) > 0:
            if not select.select([sock], [], [], remaining)[0]:
                return True
            if not (piece := sock.recv(_PIECE_BYTES)):
                return False
            self._received += piece
        return True

    def _answers(self, ended_at: float) -> list[LateAnswer]:
        received = _Received(self._received)
        return [self._answer(request, received, ended_at) for request in self._ends.values()]

    def _answer(self, request: str, received: "_Received", ended_at: float) -> LateAnswer:
        sent_at = self._sent_at.get(request)
        whole, status, retry_after = False, None, None
        with contextlib.suppress(OSError, http.client.HTTPException):
            response = http.client.HTTPResponse(received, method="POST")  # type: ignore[arg-type]
            response.begin()
            status, retry_after = response.status, response.headers.get("Retry-After")
            response.read()
            whole = True
        return LateAnswer(request, status, whole, retry_after, sent_at, ended_at)


class _Received(io.BytesIO):
    """Bytes that several answers are read from, one after the other."""

    def makefile(self, *_: Any) -> "_Received":
        """Return this object, as a socket returns its reader."""
        return self

    def close(self) -> None:
        """Stay open for the next answer."""
