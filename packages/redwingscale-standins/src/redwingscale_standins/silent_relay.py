"""A TCP relay whose connections can go silent, for tests of links."""

import socket
import threading

CHUNK_BYTES = 65536


class SilentRelay:
    """Forwards connections to a target on loopback until told to swallow bytes.

    `silence` is what a middlebox does that has lost track of a connection: the
    ends stay connected, each send succeeds and nothing arrives, while a new
    connection works. `cut` swallows new connections as well.
    """

    def __init__(self, target_port: int = 0) -> None:
        self.target_port = target_port
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._lock = threading.Lock()
        self._generation = 0
        self._cut = False
        self._sockets: list[socket.socket] = []
        self.accepted = 0
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def url(self) -> str:
        """Where to connect in place of the target."""
        return f"tcp://127.0.0.1:{self._listener.getsockname()[1]}"

    def silence(self) -> None:
        """Let every connection that is open now go silent for good."""
        with self._lock:
            self._generation += 1

    def cut(self) -> None:
        """Let nothing through, also not on new connections, until `heal`."""
        self._cut = True

    def heal(self) -> None:
        """Let new connections work; those of the time of the cut stay silent."""
        self.silence()
        self._cut = False

    def close(self) -> None:
        """End all connections."""
        self._listener.close()
        for end in self._sockets:
            end.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection(("127.0.0.1", self.target_port))
            except OSError:
                if self._listener.fileno() < 0:
                    return
                near.close()
                continue
            self.accepted += 1
            self._sockets += [near, far]
            for source, sink in ((near, far), (far, near)):
                arguments = (source, sink, self._generation)
                threading.Thread(target=self._pump, args=arguments, daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket, generation: int) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if generation == self._generation and not self._cut:
                    sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return
