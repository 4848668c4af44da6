"""A caller that opens its connection early and sends the parts of its request late."""

import contextlib
import http.client
import socket
import time
from typing import NamedTuple

from redwingscale_standins.hosted.documents import HOST
from redwingscale_standins.hosted.waiting import WAIT_SECONDS


class Part(NamedTuple):
    """Bytes of a request, and the monotonic time at which they are sent."""

    at: float
    data: bytes


class LateAnswer(NamedTuple):
    """What came of a request; ``status`` is None if its connection ended without an answer.

    ``sent_at`` and ``ended_at`` are the monotonic times of its last byte, None if the connection
    was closed before, and of the end of the answer or of the connection.
    """

    request: str
    status: int | None
    whole: bool
    retry_after: str | None
    sent_at: float | None
    ended_at: float


def split_request(
    request: str, path: str, *, events: int = 0, body: bytes = b"{}", limit_ms: int | None = None
) -> tuple[bytes, bytes, bytes]:
    """Return two halves of the head, and the body in one chunk."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Redwingscale-Request-Id: {request}",
        "Transfer-Encoding: chunked",
    ]
    if events:
        lines += ["X-Redwingscale-Model-Name: m1", f"X-Redwingscale-Token-Usage: 10,{events}"]
    if limit_ms is not None:
        lines.append(f"X-Redwingscale-Deadline-Ms: {limit_ms}")
    head = "\r\n".join([*lines, "", ""]).encode()
    half = len(head) // 2
    return head[:half], head[half:], b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def send_late(port: int, request: str, opens_at: float, parts: list[Part]) -> LateAnswer:
    """Open a connection at ``opens_at``, send ``parts``, and read the answer.

    Sends no more once the instance has answered or closed the connection, and closes it then.
    """
    _sleep_until(opens_at)
    sent_at = None
    with contextlib.closing(socket.create_connection(("127.0.0.1", port), WAIT_SECONDS)) as sock:
        try:
            for number, part in enumerate(parts, 1):
                if not _is_quiet_until(sock, part.at):
                    break
                sock.sendall(part.data)
                if number == len(parts):
                    sent_at = time.monotonic()
            response = http.client.HTTPResponse(sock, method="POST")
            response.begin()
        except (OSError, http.client.HTTPException):
            return LateAnswer(request, None, False, None, sent_at, time.monotonic())
        try:
            response.read()
            whole = True
        except (OSError, http.client.HTTPException):
            whole = False
        retry_after = response.headers.get("Retry-After")
        return LateAnswer(request, response.status, whole, retry_after, sent_at, time.monotonic())


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))


def _is_quiet_until(sock: socket.socket, at: float) -> bool:
    """Wait until ``at``; return False once the instance has answered or closed the connection."""
    sock.settimeout(max(0.001, at - time.monotonic()))
    try:
        sock.recv(1, socket.MSG_PEEK)
    except TimeoutError:
        return True
    finally:
        sock.settimeout(WAIT_SECONDS)
    return False
