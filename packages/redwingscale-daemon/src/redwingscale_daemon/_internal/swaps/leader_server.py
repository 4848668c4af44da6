"""The leader's end of the connections between the instances and the leader."""

import threading
import time
from collections.abc import Callable

import msgspec
import pynng
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.swaps.messages import InstanceUpdate, LeaderUpdate
from redwingscale_daemon._internal.utils.documents import decode_message

_RECEIVE_TIMEOUT_MS = 1000
# Updates come four times a second: an instance without one for this long has stopped or
# is cut off.
SEEN_SECONDS = 2.0

OnUpdate = Callable[[InstanceUpdate], None]


class LeaderServer:
    """Listens on two ports: one receives the instances' updates, one sends the leader's.

    Every instance listens, so that a new leader can be reached at once. ``Pull0`` and
    ``Pub0`` accept several connections each: one that has gone silent does not prevent
    the instance at its other end from reconnecting.
    """

    def __init__(self, host: str, news_port: int, needs_port: int, on_update: OnUpdate) -> None:
        self._pub = pynng.Pub0()
        self._pull = pynng.Pull0(recv_timeout=_RECEIVE_TIMEOUT_MS)
        self._addresses = (f"tcp://{host}:{news_port}", f"tcp://{host}:{needs_port}")
        self._on_update = on_update
        self._encoder = msgspec.msgpack.Encoder()
        self._received_at: dict[str, float] = {}
        # The ports in use after `start`, also where port 0 was requested.
        self.news_port = news_port
        self.needs_port = needs_port
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="giver-hub", daemon=True)

    def start(self) -> None:
        """Listen on both ports; raise `OSError` if one is in use."""
        self.news_port = open_port(self._pub, self._addresses[0])
        self.needs_port = open_port(self._pull, self._addresses[1])
        self._thread.start()

    def stop(self) -> None:
        """Close both ports."""
        self._stopped = True
        self._thread.join(2 * _RECEIVE_TIMEOUT_MS / 1000)
        self._pub.close()
        self._pull.close()

    def publish(self, update: LeaderUpdate) -> int:
        """Send an update to all connected instances without blocking; return its size in bytes."""
        sent = msgspec.structs.replace(update, sent_at=time.monotonic())
        message = self._encoder.encode(sent)
        try:
            self._pub.send(message, block=False)
        except pynng.NNGException as error:
            log_event("giver_news_failed", level="WARNING", error=error)
        return len(message)

    def instances_seen(self) -> int:
        """Return the number of other instances seen lately."""
        since = time.monotonic() - SEEN_SECONDS
        return sum(1 for received_at in list(self._received_at.values()) if received_at > since)

    def _run(self) -> None:
        while not self._stopped:
            try:
                update = decode_message(self._pull.recv(), InstanceUpdate)
            except pynng.Timeout:
                continue
            except pynng.Closed:
                return
            except (msgspec.DecodeError, pynng.NNGException) as error:
                log_event("instance_news_invalid", level="WARNING", error=error)
                continue
            self._received_at[update.instance] = time.monotonic()
            self._on_update(update)


def open_port(sock: pynng.Socket, address: str) -> int:
    """Listen on ``address`` and return the port; raise `OSError` if it is in use."""
    try:
        listener = sock.listen(address)
    except pynng.NNGException as error:
        raise OSError(f"{address}: {error}") from error
    return int(str(listener.local_address).rsplit(":", 1)[1])
