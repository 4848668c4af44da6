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
    was closed before, and of the end of the answer or of the connection; ``first_at`` is that of
    its first byte. ``kept`` tells whether the connection may bring the next request.
    """

    request: str
    status: int | None
    whole: bool
    retry_after: str | None
    sent_at: float | None
    ended_at: float
    first_at: float | None = None
    body: bytes = b""
    kept: bool = False


def split_request(
    request: str,
    path: str,
    *,
    events: int = 0,
    body: bytes = b"{}",
    limit_ms: int | None = None,
    key: str | None = None,
    chunk_bytes: int | None = None,
) -> tuple[bytes, bytes, bytes]:
    """Return two halves of the head, and the body in one chunk, or in some of ``chunk_bytes``."""
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
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    head = "\r\n".join([*lines, "", ""]).encode()
    half = len(head) // 2
    step = chunk_bytes or len(body)
    chunks = [body[at : at + step] for at in range(0, len(body), step)]
    encoded = b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in chunks)
    return head[:half], head[half:], encoded + b"0\r\n\r\n"


def send_late(port: int, request: str, opens_at: float, parts: list[Part]) -> LateAnswer:
    """Open a connection at ``opens_at``, send ``parts``, and read the answer.

    Sends no more once the instance has answered or closed the connection, and closes it then.
    """
    _sleep_until(opens_at)
    with contextlib.closing(socket.create_connection(("127.0.0.1", port), WAIT_SECONDS)) as sock:
        return send_parts(sock, request, parts)


def send_parts(sock: socket.socket, request: str, parts: list[Part]) -> LateAnswer:
    """Send ``parts`` on an open connection until it is answered or closed; read the answer."""
    first_at = sent_at = None
    try:
        for number, part in enumerate(parts, 1):
            if not _is_quiet_until(sock, part.at):
                break
            first_at = first_at or time.monotonic()
            sock.sendall(part.data)
            if number == len(parts):
                sent_at = time.monotonic()
        response = http.client.HTTPResponse(sock, method="POST")
        response.begin()
    except (OSError, http.client.HTTPException):
        return LateAnswer(request, None, False, None, sent_at, time.monotonic(), first_at)
    body, whole = b"", False
    with contextlib.suppress(OSError, http.client.HTTPException), response:
        body = response.read()
        whole = True
    return LateAnswer(
        request,
        response.status,
        whole,
        response.headers.get("Retry-After"),
        sent_at,
        time.monotonic(),
        first_at,
        body,
        whole and sent_at is not None and not response.will_close,
    )


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
