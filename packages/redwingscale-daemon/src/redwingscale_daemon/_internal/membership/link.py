"""The sending side of one link to a peer: its own thread and socket."""

import queue
import time
from typing import NamedTuple

import pynng
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.board import Board
from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.frame import Frame, encode_frame
from redwingscale_daemon._internal.utils.periodic import Periodic

SEND_TIMEOUT_MS = 500
QUEUE_ENTRIES = 4096
BATCH_ENTRIES = 128


class LinkTiming(NamedTuple):
    """Seconds between heartbeats and between full cycles."""

    heartbeat: float
    full_cycle: float


class Link:
    """Pushes heartbeats and entries to one peer; a failed send redials."""

    def __init__(
        self, instance: str, peer: str, url: str, board: Board, key: bytes, timing: LinkTiming
    ) -> None:
        self._instance = instance
        self._board = board
        self._key = key
        self._timing = timing
        self._queue: queue.Queue[Entry] = queue.Queue(QUEUE_ENTRIES)
        self._socket: pynng.Push0 | None = None
        self._full_cycle_at = 0.0
        self._task = Periodic(f"link-{peer}", timing.heartbeat, self._step)
        self.peer = peer
        self.url = url

    def start(self) -> None:
        self._task.start()

    def stop(self) -> None:
        self._task.stop()
        self._close()

    def offer(self, entry: Entry) -> None:
        """Send ``entry`` soon; when the queue is full the next full cycle carries it."""
        try:
            self._queue.put_nowait(entry)
        except queue.Full:
            return
        self._task.wake()

    def redial(self) -> None:
        """Drop the socket; the next step dials anew and begins with a full cycle."""
        self._close()
        self._full_cycle_at = 0.0

    def _step(self) -> None:
        entries = self._due_entries()
        chunks = [entries[i : i + BATCH_ENTRIES] for i in range(0, len(entries), BATCH_ENTRIES)]
        for chunk in chunks or [[]]:
            self._send(Frame(self._instance, self._board.boot, chunk))

    def _due_entries(self) -> list[Entry]:
        queued = [self._queue.get_nowait() for _ in range(self._queue.qsize())]
        now = time.monotonic()
        if now < self._full_cycle_at:
            return queued
        self._full_cycle_at = now + self._timing.full_cycle
        return self._board.entries()

    def _send(self, frame: Frame) -> None:
        try:
            self._open().send(encode_frame(frame, self._key))
        except pynng.NNGException as error:
            log_event("link_failed", level="WARNING", peer=self.peer, error=repr(error))
            self.redial()

    def _open(self) -> pynng.Push0:
        if self._socket is None:
            self._socket = pynng.Push0(send_timeout=SEND_TIMEOUT_MS)
            self._socket.dial(self.url, block=False)
        return self._socket

    def _close(self) -> None:
        if self._socket is not None:
            self._socket.close()
        self._socket = None
