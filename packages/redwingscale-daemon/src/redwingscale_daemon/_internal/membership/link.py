"""The sending side of the link to one peer, with its own thread and socket."""

import threading
import time
from collections.abc import Iterable
from typing import NamedTuple

import pynng
from redwingscale_common.utils.digests import rendezvous_score
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.anti_entropy import SETTLED_SECONDS, make_root
from redwingscale_daemon._internal.membership.entry import Entry, EntryKey
from redwingscale_daemon._internal.membership.frame import Frame, encode_frame
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.heartbeat_clock import (
    HEARTBEAT_NUMBERS_PER_SECOND,
    HeartbeatClock,
)
from redwingscale_daemon._internal.membership.message import Entries, Hello, Message
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats, heartbeat_id
from redwingscale_daemon._internal.membership.traffic import Traffic
from redwingscale_daemon._internal.utils.periodic import Periodic

SEND_TIMEOUT_MS = 500
MAX_BATCH_ENTRIES = 128
# Entries that arrive together are sent together: a burst costs one frame, not one each.
COALESCE_SECONDS = 0.02
# Each direction of a link has its own delay of up to this time, so that two ends that
# receive an entry at nearly the same time do not both send it to each other.
STAGGER_SECONDS = 0.13
# Heartbeats without a new acknowledgement after which a link is dialled again.
SILENCE_TIMEOUT_HEARTBEATS = 4
MAX_TIMEOUT_FACTOR = 8
SCORE_LIMIT = 1 << 64
# A link relays the heartbeat of another instance again once it rose by two heartbeat
# intervals, or by this time if that is less.
MAX_RELAY_INTERVAL_SECONDS = 2.5


class LinkTiming(NamedTuple):
    """Seconds between heartbeats and between full comparisons of the entries."""

    heartbeat: float
    full_cycle: float


class Sender(NamedTuple):
    """State that all links of an instance share."""

    instance: str
    failure_domain: str
    key: bytes
    gossip: GossipState
    heartbeats: PeerHeartbeats
    clock: HeartbeatClock
    traffic: Traffic
    timing: LinkTiming


class Link:
    """Pushes heartbeats and messages to one peer, and redials when it is silent.

    A ``Push0`` whose connection has fallen silent accepts every send, and nothing
    arrives. Only the peer notices: its own frames acknowledge the last heartbeat
    that it received on this link. If the acknowledgement does not rise for a few
    heartbeats, the socket is closed and the peer dialled again, which also
    restores a link that was cut in one direction only.
    """

    def __init__(
        self, sender: Sender, peer: str, url: str, own_url: str, *, same_domain: bool, chosen: bool
    ) -> None:
        self._sender = sender
        self._own_url = own_url
        self._chosen = chosen
        self._same_domain = same_domain
        self._lock = threading.Lock()
        self._pending: dict[EntryKey, Entry] = {}
        self._messages: list[Message] = []
        self._relayed_by_id: dict[int, int] = {}
        # Held to use the socket: a close waits for the end of a send of another thread.
        self._socket_lock = threading.RLock()
        self._socket: pynng.Push0 | None = None
        self._ended = False
        self._full_cycle_at = 0.0
        self._is_new_connection = True
        self._acknowledged = 0
        self._acknowledged_at = time.monotonic()
        self._timeout_factor = 1
        self._failing = False
        share = rendezvous_score(sender.instance, peer) / SCORE_LIMIT
        self._delay_seconds = COALESCE_SECONDS + STAGGER_SECONDS * share
        self._task = Periodic(f"link-{peer}", sender.timing.heartbeat, self._step)
        self.peer, self.url = peer, url

    def start(self) -> None:
        self._task.start()

    def stop(self) -> None:
        """Inform the peer that the link is no longer chosen, and end it once no send runs.

        A peer that links back would otherwise continue for some cycles, receive no
        acknowledgement and redial to no effect.
        """
        self._task.stop()
        with self._socket_lock:
            if self._socket is not None:
                self._send([Hello(self._own_url, False)])
            self._close()
            self._ended = True

    def set_chosen(self, chosen: bool) -> None:
        """Set whether this end chooses the link; send a change to the peer at once."""
        if chosen != self._chosen:
            self._chosen = chosen
            self.send(Hello(self._own_url, chosen))

    def offer(self, entry: Entry) -> None:
        """Send ``entry`` soon; it replaces a pending older one."""
        with self._lock:
            self._pending[entry.entry_key] = entry
        self._task.wake()

    def send(self, message: Message) -> None:
        """Send ``message`` soon; it is lost if the link breaks first."""
        with self._lock:
            self._messages.append(message)
        self._task.wake()

    def drop_pending(self, entries: Iterable[Entry]) -> None:
        """Drop pending entries that the peer itself has just sent."""
        with self._lock:
            for entry in entries:
                waiting = self._pending.get(entry.entry_key)
                if waiting is not None and not waiting.is_newer_than(entry):
                    del self._pending[entry.entry_key]

    def note_relayed(self, heartbeats: Iterable[tuple[int, int]]) -> None:
        """Note heartbeats that the peer has just relayed, so they are not relayed back."""
        for key, heartbeat in heartbeats:
            self._relayed_by_id[key] = max(heartbeat, self._relayed_by_id.get(key, 0))

    def acknowledge(self, heartbeat: int) -> None:
        """Note that the peer has received ``heartbeat`` of this instance."""
        if heartbeat > self._acknowledged:
            self._acknowledged = heartbeat
            self._acknowledged_at = time.monotonic()
            self._timeout_factor = 1

    def _step(self) -> None:
        if self._pending:
            time.sleep(self._delay_seconds)
        self._redial_if_silent()
        messages = self._due_messages()
        self._send(messages[0] if messages else [])
        for more in messages[1:]:
            self._send(more)

    def _redial_if_silent(self) -> None:
        limit = self._sender.timing.heartbeat * SILENCE_TIMEOUT_HEARTBEATS * self._timeout_factor
        if time.monotonic() - self._acknowledged_at < limit:
            return
        log_event("link_silent", level="WARNING", peer=self.peer, url=self.url)
        self._sender.traffic.count_redial()
        # The timeout of a peer that stays silent doubles up to a bound.
        self._timeout_factor = min(self._timeout_factor * 2, MAX_TIMEOUT_FACTOR)
        self._close()

    def _due_messages(self) -> list[list[Message]]:
        with self._lock:
            entries = list(self._pending.values())
            self._pending.clear()
            first, self._messages = self._messages, []
        first = self._full_cycle() + first
        chunks = [
            entries[i : i + MAX_BATCH_ENTRIES] for i in range(0, len(entries), MAX_BATCH_ENTRIES)
        ]
        batches: list[list[Message]] = [[Entries(chunk)] for chunk in chunks]
        return [first, *batches] if first else batches

    def _full_cycle(self) -> list[Message]:
        now = time.monotonic()
        if now < self._full_cycle_at:
            return []
        self._full_cycle_at = now + self._sender.timing.full_cycle
        settled_seconds = 0.0 if self._is_new_connection else SETTLED_SECONDS
        self._is_new_connection = False
        hello = Hello(self._own_url, self._chosen)
        return [hello, make_root(self._sender.gossip.stored_entries(), settled_seconds)]

    def _send(self, messages: list[Message]) -> None:
        sender = self._sender
        frame = Frame(
            sender.instance,
            sender.failure_domain,
            sender.clock.now(),
            sender.heartbeats.latest(self.peer),
            self._due_heartbeats() if self._same_domain else [],
            messages,
        )
        data = encode_frame(frame, sender.key)
        with self._socket_lock:
            if self._ended:
                return
            try:
                self._open().send(data)
                self._failing = False
                sender.traffic.count_sent(len(data))
            except pynng.NNGException as error:
                self._fail(error)

    def _fail(self, error: Exception) -> None:
        if not self._failing:
            log_event("link_failed", level="WARNING", peer=self.peer, error=repr(error))
        self._failing = True
        self._close()

    def _due_heartbeats(self) -> list[tuple[int, int]]:
        """Return the heartbeats that rose enough since this link last relayed them."""
        step = int(
            min(MAX_RELAY_INTERVAL_SECONDS, 2 * self._sender.timing.heartbeat)
            * HEARTBEAT_NUMBERS_PER_SECOND
        )
        own = (heartbeat_id(self._sender.instance), heartbeat_id(self.peer))
        shared = self._relayed_by_id
        due = [
            (key, heartbeat)
            for key, heartbeat in self._sender.heartbeats.relayed()
            if heartbeat >= shared.get(key, 0) + step and key not in own
        ]
        shared.update(due)
        return due

    def _open(self) -> pynng.Push0:
        if self._socket is None:
            self._socket = pynng.Push0(send_timeout=SEND_TIMEOUT_MS)
            self._socket.dial(self.url, block=False)
        return self._socket

    def _close(self) -> None:
        """Close the socket; the next one begins with a comparison of all entries."""
        with self._socket_lock:
            closed, self._socket = self._socket, None
            if closed is not None:
                closed.close()
        self._is_new_connection = True
        self._full_cycle_at = 0.0
        self._relayed_by_id.clear()
        self._acknowledged_at = time.monotonic()
