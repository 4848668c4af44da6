"""The receiving side of all links: one socket that takes many dialling peers."""

import threading

import pynng
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.board import Board
from redwingscale_daemon._internal.membership.frame import FrameRejected, decode_frame
from redwingscale_daemon._internal.membership.peer_beats import PeerBeats

RECEIVE_TIMEOUT_MS = 500


class Listener:
    """Receives frames, drops those of strangers, and feeds the board.

    ``Pull0`` takes several links at once: a peer that redials after its old
    link has gone silent is heard, where ``Pair0`` would refuse it.
    """

    def __init__(self, host: str, port: int, board: Board, beats: PeerBeats, key: bytes) -> None:
        self._board = board
        self._beats = beats
        self._key = key
        self._socket = pynng.Pull0(recv_timeout=RECEIVE_TIMEOUT_MS)
        self._address = f"tcp://{host}:{port}"
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)
        self.rejected = 0
        self.port = 0

    def start(self) -> None:
        """Bind and receive; raise `pynng.NNGException` when the address is taken."""
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
            self._take(data)

    def _take(self, data: bytes) -> None:
        try:
            frame = decode_frame(data, self._key)
        except FrameRejected as error:
            self.rejected += 1
            log_event("frame_rejected", level="WARNING", error=error)
            return
        self._beats.heard(frame.sender)
        for entry in frame.entries:
            self._board.accept(entry)
