"""A caller that writes to its connection and reads from it as the test says."""

import re
import socket
from typing import NamedTuple

from redwingscale_standins.hosted.documents import HOST
from redwingscale_standins.hosted.waiting import WAIT_SECONDS

_LAST_CHUNK = b"\r\n0\r\n\r\n"
_PIECE_BYTES = 65536


class Answer(NamedTuple):
    """What was read of an answer; ``whole`` if its last chunk came."""

    whole: bool
    ids: list[int]
    error: str


class RawCaller:
    """One kept connection, with a receive buffer of ``buffer_bytes``."""

    def __init__(self, port: int, buffer_bytes: int | None = None) -> None:
        self.socket = socket.socket()
        if buffer_bytes is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.socket.settimeout(WAIT_SECONDS)
        self.socket.connect(("127.0.0.1", port))

    def send(self, data: bytes) -> None:
        """Send bytes of a request."""
        self.socket.sendall(data)

    def read_answer(self) -> Answer:
        """Read until the last chunk, the end of the connection or an error."""
        data, error = b"", ""
        try:
            while _LAST_CHUNK not in data and (piece := self.socket.recv(_PIECE_BYTES)):
                data += piece
        except OSError as failure:
            error = repr(failure)
        ids = [int(number) for number in re.findall(rb"^id: (\d+)$", data, re.MULTILINE)]
        return Answer(_LAST_CHUNK in data, ids, error)

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()


def stream_request(request: str, events: int, path: str = "/live/x") -> bytes:
    """Return the bytes of a request for a stream of ``events`` events."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Redwingscale-Request-Id: {request}",
        "X-Redwingscale-Model-Name: m1",
        f"X-Redwingscale-Token-Usage: 10,{events}",
        "Content-Length: 0",
    ]
    return "\r\n".join([*lines, "", ""]).encode()
