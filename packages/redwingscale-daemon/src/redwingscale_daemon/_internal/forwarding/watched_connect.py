"""Opens a connection while the caller and the deadline of a request are watched."""

import errno
import os
import socket

from redwingscale_daemon._internal.forwarding.watch import Watch


def connect_watched(host: str, port: int, seconds: float, watch: Watch) -> socket.socket:
    """Return a socket that has connected within ``seconds`` to one of the addresses of ``host``.

    Raises `OSError`, `TimeoutError`, and what `Watch.wait_until_connected` raises.
    """
    failure = OSError(f"no address of {host}")
    for family, kind, protocol, _, address in socket.getaddrinfo(
        host, port, type=socket.SOCK_STREAM
    ):
        sock = socket.socket(family, kind, protocol)
        try:
            _connect(sock, address, seconds, watch)
        except OSError as error:
            sock.close()
            failure = error
        except BaseException:
            sock.close()
            raise
        else:
            sock.settimeout(seconds)
            return sock
    raise failure


def _connect(sock: socket.socket, address: object, seconds: float, watch: Watch) -> None:
    sock.setblocking(False)
    code = sock.connect_ex(address)  # type: ignore[arg-type]
    if code == errno.EINPROGRESS:
        if not watch.wait_until_connected(sock, seconds):
            raise TimeoutError(f"not connected within {seconds} s")
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, os.strerror(code))
