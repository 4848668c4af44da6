"""A model worker that answers requests with bytes of a script, on plain sockets."""

import http.client
import json
import socket
from collections.abc import Callable

from redwingscale_standins.hosted.raw_listener import RawListener

Script = Callable[[socket.socket, dict[str, str]], None]
_JSON_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"


class RawWorker:
    """Serves reports and health checks; each other request goes to ``script``.

    Without ``answers_calls`` those go to ``script`` as well. The connection is closed when the script returns. ``requests`` are the ids of those requests.
    """

    def __init__(
        self,
        worker_id: str,
        models: tuple[str, ...],
        script: Script,
        *,
        answers_calls: bool = True,
    ) -> None:
        self.id, self.models = worker_id, models
        self._answers_calls = answers_calls
        self.requests: list[str] = []
        self._script = script
        self._listener = RawListener(self._serve)
        self.port = self._listener.port

    def stop(self) -> None:
        """Accept no more connections."""
        self._listener.stop()

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        while line := reader.readline():
            target = line.split()[1].decode()
            parsed = http.client.parse_headers(reader)
            headers = {name.lower(): value for name, value in parsed.items()}
            reader.read(int(headers.get("content-length", "0")))
            if self._answers_calls and target.startswith(("/api/", "/healthz")):
                connection.sendall(self._report(target))
                continue
            self.requests.append(headers.get("x-redwingscale-request-id", ""))
            self._script(connection, headers)
            return

    def _report(self, target: str) -> bytes:
        if target == "/healthz":
            return (
                f"HTTP/1.1 200 OK\r\nX-Redwingscale-Instance-Id: {self.id}\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        models = [{"Name": name, "Version": 1, "Adapters": []} for name in self.models]
        data = json.dumps({"Models": models, "Busy": False, "Seq": 0}).encode()
        return _JSON_HEAD % (len(data), data)


def stream_head(headers: dict[str, str], *more: str) -> bytes:
    """Return the head of a stream that ends with its connection."""
    lines = (
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"X-Redwingscale-Request-Id: {headers['x-redwingscale-request-id']}",
        "X-Redwingscale-Response-Seal: seal",
        *more,
    )
    return "".join(f"{line}\r\n" for line in (*lines, "")).encode()


def events(first: int, last: int) -> bytes:
    """Return whole events of a stream."""
    return b"".join(b"id: %d\ndata: token%d v1\n\n" % (n, n) for n in range(first, last + 1))
