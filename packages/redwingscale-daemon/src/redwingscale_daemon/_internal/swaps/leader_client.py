"""An instance's connection to the leader."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec
import pynng
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.swaps.leader_lease import LeaderLease
from redwingscale_daemon._internal.swaps.lease_record import LeaderRecord
from redwingscale_daemon._internal.swaps.messages import InstanceUpdate, LeaderUpdate
from redwingscale_daemon._internal.swaps.update_delay import UpdateDelay

UPDATE_SECONDS = 0.25
_RECEIVE_TIMEOUT_MS = 250
# Six periodic updates: if none of them arrives, the connection is lost, not an update.
SILENT_SECONDS = 1.5
# A longer delay of an update is logged, once until an update arrives in time again.
LATE_SECONDS = 0.5

# Its argument tells whether the update contains the initial snapshot.
MakeUpdate = Callable[[bool], InstanceUpdate]
OnUpdate = Callable[[LeaderUpdate], None]


class _Sockets(NamedTuple):
    sub: pynng.Sub0
    push: pynng.Push0


class LeaderClient:
    """Sends this instance's updates to the leader, and receives the leader's.

    A connection can go silent without being closed, so it is dropped and opened again
    if no update of the leader arrives for `SILENT_SECONDS`.
    """

    def __init__(
        self,
        lease: LeaderLease,
        instance: str,
        make_update: MakeUpdate,
        on_update: OnUpdate,
        deliver_locally: Callable[[InstanceUpdate], None],
    ) -> None:
        self._lease = lease
        self._instance = instance
        self._make_update = make_update
        self._on_update = on_update
        self._deliver_locally = deliver_locally
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(LeaderUpdate)
        self._wake = threading.Event()
        self._stopped = False
        self._record: LeaderRecord | None = None
        self._sockets: _Sockets | None = None
        # Seconds of receives in a row that found no update. The time in which this process was
        # slow does not count: updates may wait in the socket meanwhile.
        self._empty_seconds = 0.0
        self._delay = UpdateDelay()
        self._update_late = False
        # The initial snapshot is sent once over each connection, and delivered once to this
        # instance each time that it becomes the leader.
        self._snapshot_sent_over: _Sockets | None = None
        self._snapshot_delivered = False
        self._threads = [
            threading.Thread(target=self._receive, name="giver-news", daemon=True),
            threading.Thread(target=self._send, name="giver-needs", daemon=True),
        ]

    def start(self) -> None:
        """Start to follow the current leader."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and close the connection."""
        self._stopped = True
        self._wake.set()
        for thread in self._threads:
            thread.join(1.0)
        self._close()

    def wake(self) -> None:
        """Send an update at once."""
        self._wake.set()

    def _receive(self) -> None:
        while not self._stopped:
            self._follow_leader()
            sockets = self._sockets
            if sockets is None:
                time.sleep(_RECEIVE_TIMEOUT_MS / 1000)
                continue
            try:
                update = self._decoder.decode(sockets.sub.recv())
            except pynng.Timeout:
                self._empty_seconds += _RECEIVE_TIMEOUT_MS / 1000
                continue
            except (pynng.NNGException, msgspec.DecodeError, RecursionError) as error:
                log_event("giver_news_invalid", level="WARNING", error=repr(error))
                self._close()
                continue
            self._empty_seconds = 0.0
            self._on_update(update.delayed(self._delay_seconds(update)))

    def _delay_seconds(self, update: LeaderUpdate) -> float:
        start = self._record.start if self._record else ""
        seconds = self._delay.seconds(start, update.sent_at)
        late = seconds > LATE_SECONDS
        if late != self._update_late:
            self._update_late = late
            log_event("giver_news_late", giver=update.leader, late=late, seconds=round(seconds, 3))
        return seconds

    def _follow_leader(self) -> None:
        record = self._lease.record
        if record is None or record.released or record.instance == self._instance:
            self._close()
            return
        silent = self._empty_seconds >= SILENT_SECONDS
        if self._sockets is not None and record == self._record and not silent:
            return
        if self._sockets is not None:
            log_event("giver_link_dropped", giver=record.instance, silent=silent)
        self._close()
        self._sockets = _dial(record)
        self._record = record
        self._empty_seconds = 0.0

    def _close(self) -> None:
        sockets, self._sockets = self._sockets, None
        if sockets is not None:
            sockets.sub.close()
            sockets.push.close()

    def _send(self) -> None:
        while not self._stopped:
            self._wake.wait(UPDATE_SECONDS)
            self._wake.clear()
            if self._lease.is_leader:
                self._deliver_locally(self._make_update(not self._snapshot_delivered))
                self._snapshot_delivered = True
                continue
            self._snapshot_delivered = False
            sockets = self._sockets
            update = self._make_update(
                sockets is not None and sockets is not self._snapshot_sent_over
            )
            if sockets is not None:
                self._push(sockets, update)

    def _push(self, sockets: _Sockets, update: InstanceUpdate) -> None:
        try:
            sockets.push.send(self._encoder.encode(update), block=False)
        except pynng.TryAgain:
            # Not connected yet: the snapshot is sent once the connection is open.
            return
        except pynng.NNGException as error:
            log_event("giver_needs_failed", level="WARNING", error=repr(error))
            return
        self._snapshot_sent_over = sockets


def _dial(record: LeaderRecord) -> _Sockets:
    sub = pynng.Sub0(recv_timeout=_RECEIVE_TIMEOUT_MS, topics=b"")
    push = pynng.Push0()
    sub.dial(f"tcp://{record.host}:{record.news_port}", block=False)
    push.dial(f"tcp://{record.host}:{record.needs_port}", block=False)
    return _Sockets(sub, push)
