"""A TCP relay on loopback that delays, holds, resets or discards traffic."""

import socket
import struct
import threading
import time
from contextlib import suppress

from redwingscale_common.utils.logs import log_event

from redwingscale_standins.soak.process_paths import PathFault, ProcessPaths

CHUNK_BYTES = 65536
HOLD_POLL_SECONDS = 0.02
# SO_LINGER with a timeout of zero: closing sends a reset instead of a FIN.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultyLink:
    """Forwards connections to ``target_port``; each fault lasts until `heal`.

    ``hold_to`` and ``hold_from`` hold the bytes of one direction and deliver them when
    the fault ends, like a network that drops packets which are retransmitted later.
    ``delay_seconds`` delays both directions, ``delay_from_seconds`` what the target sends;
    resets are delayed like bytes.
    `stall_new` keeps new connections from opening for seconds, as a path with a long round
    trip does. `silence` discards all further traffic of the connections that are open now. ``paths``
    has the client processes that the link fails for.
    """

    def __init__(self, target_port: int, paths: ProcessPaths | None = None) -> None:
        self.target_port = target_port
        self._paths = paths or ProcessPaths()
        # The fault of each accepted connection, and the version of the paths it was found at.
        self._fault_by_client: dict[socket.socket, tuple[int, PathFault | None]] = {}
        self.delay_seconds = 0.0
        self.delay_from_seconds = 0.0
        self.hold_to = False
        self.hold_from = False
        self.refuse = False
        self._generation = 0
        self._stalls_new = False
        self._holds_accepted = threading.Event()
        # Own connections that fill the queue of those to be accepted.
        self._fillers: list[socket.socket] = []
        self._closed = False
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def heal(self) -> None:
        """End every fault; silenced connections stay silent."""
        self.delay_seconds = self.delay_from_seconds = 0.0
        self.hold_to = self.hold_from = self.refuse = False

    def silence(self) -> None:
        """Discard all further traffic of the connections that are open now."""
        self._generation += 1

    def stall_new(self) -> None:
        """Keep new connections from opening until the link is closed."""
        self._stalls_new = True
        # The kernel drops what opens a connection while the queue is full: one connection is
        # accepted and held, another one waits.
        self._listener.listen(0)
        for _ in range(2):
            # It does not open if another connection waits already.
            with suppress(TimeoutError):
                self._fillers.append(socket.create_connection(("127.0.0.1", self.port), 1.0))
            self._holds_accepted.wait()

    def reset(self) -> None:
        """Reset the connections that are open now."""
        with self._lock:
            sockets, self._open = self._open, set()
        for end in sockets:
            _reset(end)

    def reset_cut(self) -> None:
        """Reset the open connections of processes with the fault `PathFault.RESET`."""
        for client in list(self._fault_by_client):
            if self._fault(client) is PathFault.RESET:
                _reset(client)

    def _fault(self, client: socket.socket) -> PathFault | None:
        version, fault = self._fault_by_client.get(client, (-1, None))
        if version != self._paths.version:
            version = self._paths.version
            fault = self._paths.fault(client)
            self._fault_by_client[client] = (version, fault)
        return fault

    def close(self) -> None:
        """Stop accepting connections and reset the open ones."""
        self._closed = True
        self._listener.close()
        for filler in self._fillers:
            filler.close()
        self.reset()

    def _accept(self) -> None:
        while not self._closed:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            while self._stalls_new and not self._closed:
                self._holds_accepted.set()
                time.sleep(HOLD_POLL_SECONDS)
            try:
                if self.refuse or self._fault(client) in (PathFault.RESET, PathFault.REFUSE_NEW):
                    raise ConnectionRefusedError
                server = socket.create_connection(("127.0.0.1", self.target_port), timeout=5.0)
            except OSError:
                self._fault_by_client.pop(client, None)
                _reset(client)
                continue
            server.settimeout(None)
            with self._lock:
                self._open |= {client, server}
            try:
                self._pump_both(client, server)
            except RuntimeError as error:
                # The machine can't start another thread: this connection is lost, not the link.
                log_event("link_without_thread", level="ERROR", port=self.port, error=error)
                _reset(client)
                _reset(server)

    def _pump_both(self, client: socket.socket, server: socket.socket) -> None:
        generation = self._generation
        for from_target in (False, True):
            threading.Thread(
                target=self._pump, args=(client, server, from_target, generation), daemon=True
            ).start()

    def _pump(
        self, client: socket.socket, server: socket.socket, from_target: bool, generation: int
    ) -> None:
        source, sink = (server, client) if from_target else (client, server)
        try:
            while data := source.recv(CHUNK_BYTES):
                if self._wait(client, from_target):
                    _raise_if_reset(source)
                if generation == self._generation:
                    sink.sendall(data)
            self._wait(client, from_target)
            if generation == self._generation:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end was reset, so reset the other too.
            if not self._closed:
                time.sleep(self._delay(from_target))
            with self._lock:
                self._open -= {source, sink}
            for end in (source, sink):
                self._fault_by_client.pop(end, None)
            _reset(source)
            _reset(sink)

    def _is_held(self, client: socket.socket, from_target: bool) -> bool:
        held = self.hold_from if from_target else self.hold_to
        return held or self._fault(client) is PathFault.HOLD

    def _delay(self, from_target: bool) -> float:
        return self.delay_seconds + (self.delay_from_seconds if from_target else 0.0)

    def _wait(self, client: socket.socket, from_target: bool) -> bool:
        """Wait as the current faults require; return whether bytes were held."""
        if delay_seconds := self._delay(from_target):
            time.sleep(delay_seconds)
        was_held = self._is_held(client, from_target)
        while self._is_held(client, from_target) and not self._closed:
            time.sleep(HOLD_POLL_SECONDS)
        return was_held


def _raise_if_reset(source: socket.socket) -> None:
    # A reset by the sender drops held bytes, since on a real network they are still in its
    # buffer. Here some may have been read already, so the socket's error is checked.
    if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise ConnectionResetError("reset while its bytes were held")


def _reset(end: socket.socket) -> None:
    try:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        # A shutdown wakes the thread that reads the socket; a close alone does not.
        end.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The peer closed the connection, so there is nothing to reset.
        pass
    end.close()
