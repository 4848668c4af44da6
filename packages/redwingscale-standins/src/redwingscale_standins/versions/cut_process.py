"""Runs an instance whose network to other instances, to the store or to both can be cut.

The daemon is not changed: calls of its sockets wait or lose datagrams, as a control file says.
Started as a module with the arguments of the daemon; the control file lies beside the settings.
"""

import json
import random
import runpy
import socket
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pynng

from redwingscale_standins.versions.cut import Cut, control_file

POLL_SECONDS = 0.02
_BYTE_CALLS = ("recv", "recv_into", "send", "sendall")
_NO_CUT = Cut()
# For sockets whose receiving has no time limit.
_LONGEST_RECEIVE_SECONDS = 1.0


class _Control:
    """The cut that the control file asks for, read again each `POLL_SECONDS`."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.cut = _NO_CUT
        threading.Thread(target=self._follow, name="cut-control", daemon=True).start()

    def _follow(self) -> None:
        while True:
            if self._path.exists():
                self.cut = Cut(**json.loads(self._path.read_text()))
            time.sleep(POLL_SECONDS)

    def holds(self, one: socket.socket, address: Any = None) -> bool:
        """Return whether the bytes of a connection, or its opening to ``address``, wait."""
        cut = self.cut
        if not (cut.instances or cut.store) or one.type != socket.SOCK_STREAM:
            return False
        try:
            ports = {one.getsockname()[1], (address or one.getpeername())[1]}
        except OSError:
            # Closed meanwhile, or not connected.
            return False
        if cut.store_port in ports:
            return cut.store
        return cut.instances and not ports & set(cut.open_ports)

    def loses(self) -> bool:
        """Return whether a datagram is lost."""
        return self.cut.instances or random.random() < self.cut.lost

    def wait(self, one: socket.socket, address: Any = None) -> None:
        """Wait while the connection is cut, at most for the socket's own time limit."""
        limit = one.gettimeout()
        ends_at = None if limit is None else time.monotonic() + limit
        while self.holds(one, address):
            if ends_at is not None and time.monotonic() >= ends_at:
                raise TimeoutError("timed out")
            time.sleep(POLL_SECONDS)


def _install(control: _Control) -> None:
    for name in _BYTE_CALLS:
        setattr(socket.socket, name, _held(control, getattr(socket.socket, name)))
    connect, sendto, recvfrom = (
        getattr(socket.socket, name) for name in ("connect", "sendto", "recvfrom")
    )

    def connect_late(one: socket.socket, address: Any) -> None:
        control.wait(one, address)
        connect(one, address)

    def send_some(one: socket.socket, data: bytes, *more: Any) -> int:
        return len(data) if data and control.loses() else sendto(one, data, *more)

    def receive_some(one: socket.socket, *more: Any) -> tuple[bytes, Any]:
        while True:
            received: tuple[bytes, Any] = recvfrom(one, *more)
            # An empty one is the daemon's own, which ends its thread.
            if not received[0] or not control.loses():
                return received

    setattr(socket.socket, "connect", connect_late)  # noqa: B010
    setattr(socket.socket, "sendto", send_some)  # noqa: B010
    setattr(socket.socket, "recvfrom", receive_some)  # noqa: B010


def _install_messages(control: _Control) -> None:
    """Cut the message sockets: what is sent is lost, what has arrived is received late."""
    send, receive = pynng.Socket.send, pynng.Socket.recv
    late: dict[int, bytes] = {}

    def send_some(one: pynng.Socket, data: bytes, block: bool = True) -> None:
        if not control.cut.instances:
            send(one, data, block)

    def receive_late(one: pynng.Socket, block: bool = True) -> bytes:
        limit_ms = one.recv_timeout
        limit = _LONGEST_RECEIVE_SECONDS if limit_ms < 0 else limit_ms / 1000
        ends_at = time.monotonic() + limit
        while control.cut.instances:
            if time.monotonic() >= ends_at:
                raise pynng.Timeout("cut", 5)
            time.sleep(POLL_SECONDS)
        if id(one) in late:
            return late.pop(id(one))
        data: bytes = receive(one, block)
        if control.cut.instances:
            late[id(one)] = data
            raise pynng.Timeout("cut", 5)
        return data

    pynng.Socket.send, pynng.Socket.recv = send_some, receive_late


def _held(control: _Control, call: Callable[..., Any]) -> Callable[..., Any]:
    def wait_and_call(one: socket.socket, *arguments: Any) -> Any:
        control.wait(one)
        result = call(one, *arguments)
        # Bytes that came during the cut are still on the way.
        control.wait(one)
        return result

    return wait_and_call


if __name__ == "__main__":
    control = _Control(control_file(Path(sys.argv[sys.argv.index("--settings") + 1])))
    _install(control)
    _install_messages(control)
    runpy.run_module("redwingscale_daemon", run_name="__main__", alter_sys=True)
