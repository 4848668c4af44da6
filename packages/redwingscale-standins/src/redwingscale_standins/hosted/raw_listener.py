"""A port on plain sockets, each connection of which is served by a thread."""

import contextlib
import socket
import threading
from collections.abc import Callable


class RawListener:
    """Accepts connections from its construction on; ``serve`` need not close them."""

    def __init__(self, serve: Callable[[socket.socket], None]) -> None:
        self._serve = serve
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Accept no more connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection: socket.socket) -> None:
        # The instance resets connections that it has given up.
        with contextlib.suppress(OSError, ValueError), connection:
            self._serve(connection)
