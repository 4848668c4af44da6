"""A TCP relay on loopback that delays, holds, resets or swallows what passes it."""

import socket
import struct
import threading
import time
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

CHUNK_BYTES = 65536
HOLD_LOOK_SECONDS = 0.02
# Closing with this set sends a reset in place of an end.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultyLink:
    """Forwards connections to ``target_port``; each fault lasts until `heal`.

    ``hold_to`` and ``hold_from`` keep the bytes of one direction back and deliver
    them at the end, as a network does that drops packets which are sent again.
    `silence` swallows for good what passes connections that are open now.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.delay_seconds = 0.0
        self.hold_to = False
        self.hold_from = False
        self.refuse = False
        self._generation = 0
        self._closed = False
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def heal(self) -> None:
        """End every fault; what was swallowed stays so."""
        self.delay_seconds = 0.0
        self.hold_to = self.hold_from = self.refuse = False

    def silence(self) -> None:
        """Swallow what passes the connections that are open now, for good."""
        self._generation += 1

    def reset(self) -> None:
        """Reset the connections that are open now."""
        with self._lock:
            ends, self._open = self._open, set()
        for end in ends:
            _reset(end)

    def close(self) -> None:
        """Take no more connections and reset the open ones."""
        self._closed = True
        self._listener.close()
        self.reset()

    def _accept(self) -> None:
        while not self._closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                if self.refuse:
                    raise ConnectionRefusedError
                far = socket.create_connection(("127.0.0.1", self.target_port), timeout=5.0)
            except OSError:
                _reset(near)
                continue
            far.settimeout(None)
            with self._lock:
                self._open |= {near, far}
            try:
                self._pump_both(near, far)
            except RuntimeError as error:
                # No room for one more thread: this connection is lost, not the link.
                log_event("link_without_thread", level="ERROR", port=self.port, error=error)
                _reset(near)
                _reset(far)

    def _pump_both(self, near: socket.socket, far: socket.socket) -> None:
        generation = self._generation
        for source, sink, held in (
            (near, far, lambda: self.hold_to),
            (far, near, lambda: self.hold_from),
        ):
            threading.Thread(
                target=self._pump, args=(source, sink, held, generation), daemon=True
            ).start()

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        held: Callable[[], bool],
        generation: int,
    ) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self._wait(held):
                    _raise_if_reset(source)
                if generation == self._generation:
                    sink.sendall(data)
            self._wait(held)
            if generation == self._generation:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end was reset: so is the other.
            with self._lock:
                self._open -= {source, sink}
            _reset(source)
            _reset(sink)

    def _wait(self, held: Callable[[], bool]) -> bool:
        """Wait as the faults tell; return whether bytes were held up."""
        if self.delay_seconds:
            time.sleep(self.delay_seconds)
        was_held = held()
        while held() and not self._closed:
            time.sleep(HOLD_LOOK_SECONDS)
        return was_held


def _raise_if_reset(source: socket.socket) -> None:
    # Bytes that are held up are in the sender's buffer: a reset there drops them. Here
    # some may have been read and others not, so the socket's error tells it.
    if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise ConnectionResetError("reset while its bytes were held up")


def _reset(end: socket.socket) -> None:
    try:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        # A shutdown wakes the thread that reads it; a close alone does not.
        end.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It was closed by its peer: nothing is left to reset.
        pass
    end.close()
