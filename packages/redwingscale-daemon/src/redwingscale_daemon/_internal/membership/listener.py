"""The receiving side of all links: one socket that many peers dial."""

import threading
import time
from collections.abc import Callable

import pynng
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.frame import Frame, FrameRejected, decode_frame
from redwingscale_daemon._internal.membership.traffic import Traffic

RECEIVE_TIMEOUT_MS = 500
MAX_FRAME_BYTES = 8 << 20
REJECTED_LOG_INTERVAL_SECONDS = 10.0
WILDCARD_HOSTS = ("0.0.0.0", "[::]")

FrameHandler = Callable[[Frame], None]


class Listener:
    """Receives frames, rejects those that are not valid, and hands on the others.

    ``Pull0`` accepts several connections at once: frames of a peer that redials
    after its old link fell silent arrive, where ``Pair0`` would refuse the peer.
    """

    def __init__(
        self, host: str, port: int, key: bytes, on_frame: FrameHandler, traffic: Traffic
    ) -> None:
        self._key = key
        self._on_frame = on_frame
        self._traffic = traffic
        self._socket = pynng.Pull0(recv_timeout=RECEIVE_TIMEOUT_MS, recv_max_size=MAX_FRAME_BYTES)
        self._host = host
        self._address = f"tcp://{host}:{port}"
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)
        self._rejected_logged_at = float("-inf")
        self.port = 0

    @property
    def url(self) -> str:
        """URL of this instance for peers once it has started; empty for a wildcard host."""
        return "" if self._host in WILDCARD_HOSTS else f"tcp://{self._host}:{self.port}"

    def start(self) -> None:
        """Bind and start to receive.

        Raises `pynng.NNGException` if the address is in use.
        """
        listener = self._socket.listen(self._address)
        self.port = int(str(listener.local_address).rsplit(":", 1)[1])
        self._thread.start()

    def stop(self) -> None:
        self._stopped = True
        self._thread.join(timeout=2 * RECEIVE_TIMEOUT_MS / 1000)
        self._socket.close()

    def _run(self) -> None:
        while not self._stopped:
            try:
                data = self._socket.recv()
            except pynng.Timeout:
                continue
            except pynng.NNGException:
                return
            except RuntimeError as error:
                # pynng raises this for an empty message. Anyone who can connect may send
                # one; it must not end the thread, which receives from all peers.
                self._reject(error)
                continue
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        self._traffic.count_received(len(data))
        try:
            self._on_frame(decode_frame(data, self._key))
        except Exception as error:
            # No frame, whoever sent it and whatever fails in its handling, may end the
            # only thread that receives from peers.
            self._reject(error)

    def _reject(self, error: Exception) -> None:
        self._traffic.count_rejected()
        now = time.monotonic()
        # A sender of many invalid frames must not fill the log.
        if now - self._rejected_logged_at < REJECTED_LOG_INTERVAL_SECONDS:
            return
        self._rejected_logged_at = now
        count = self._traffic.frames_rejected
        kind = "frame_rejected" if isinstance(error, FrameRejected) else "frame_failed"
        log_event(kind, level="WARNING", error=repr(error), rejected=count)
