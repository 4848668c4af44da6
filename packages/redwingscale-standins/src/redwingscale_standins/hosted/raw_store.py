"""A row store on plain sockets: passes calls on to another one, or answers without end."""

import http.client
import socket

import urllib3

from redwingscale_standins.hosted.endless_answers import EndlessSender
from redwingscale_standins.hosted.raw_listener import RawListener

_PASSED_ON = ("Store-Era", "Content-Type")


class RawStore:
    """Passes calls on to the store at ``port``; ``break_off`` answers some without end."""

    def __init__(self, port: int) -> None:
        self._store = f"http://127.0.0.1:{port}"
        self._target = ""
        self._sender: EndlessSender | None = None
        # The calls that were answered without end.
        self.endless = 0
        self._listener = RawListener(self._serve)
        self.port = self._listener.port

    def break_off(self, target: str, sender: EndlessSender) -> None:
        """Answer calls for ``target`` without end from now on."""
        self._target, self._sender = target, sender

    def heal(self) -> None:
        """Answer all calls again."""
        self._sender = None

    def stop(self) -> None:
        """Accept no more connections."""
        self._listener.stop()

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        while line := reader.readline():
            method, target = line.decode().split()[:2]
            headers = http.client.parse_headers(reader)
            body = reader.read(int(headers.get("Content-Length", "0")))
            sender = self._sender
            if sender is not None and target.startswith(self._target):
                self.endless += 1
                sender.send(connection, b"Store-Era: 0\r\n")
                return
            connection.sendall(self._pass_on(method, target, body))

    def _pass_on(self, method: str, target: str, body: bytes) -> bytes:
        headers = {"Content-Type": "application/json"} if body else {}
        answer = urllib3.request(
            method, self._store + target, body=body or None, headers=headers, retries=False
        )
        lines = [f"HTTP/1.1 {answer.status} Answer", f"Content-Length: {len(answer.data)}"]
        lines += [
            f"{name}: {answer.headers[name]}" for name in _PASSED_ON if name in answer.headers
        ]
        return "\r\n".join((*lines, "", "")).encode() + answer.data
