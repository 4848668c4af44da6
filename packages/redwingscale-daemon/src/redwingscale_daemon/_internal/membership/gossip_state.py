"""The gossip state of this instance: the newest entry of each key."""

import itertools
import threading
import time
from collections.abc import Callable

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.entry import Entry, EntryKey
from redwingscale_daemon._internal.membership.stored_entry import StoredEntry, make_stored_entry

Subscriber = Callable[[Entry], None]
MAX_FORGOTTEN_ORIGINS = 4096


class GossipState:
    """Stores entries, notifies subscribers of a topic, and numbers this instance's entries.

    ``boot`` is the start of this process in Unix milliseconds, unless it was raised.
    """

    def __init__(self, instance: str) -> None:
        self._lock = threading.Lock()
        self._instance = instance
        self._sequence = itertools.count(1)
        self._stored_by_key: dict[EntryKey, StoredEntry] = {}
        self._forgotten_boots: dict[str, int] = {}
        self._subscribers: dict[str, list[Subscriber]] = {}
        self._forward: list[Callable[[Entry], None]] = []
        self.boot = time.time_ns() // 1_000_000

    def subscribe(self, topic: str, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each new entry of ``topic``, including this instance's own."""
        self._subscribers.setdefault(topic, []).append(subscriber)

    def on_forward(self, forward: Callable[[Entry], None]) -> None:
        """Call ``forward`` with each entry that the links must send on."""
        self._forward.append(forward)

    def publish(self, topic: str, key: str, value: object) -> None:
        """Publish ``value``, which MessagePack can encode, under ``key`` to all instances."""
        self._publish(topic, key, msgspec.msgpack.encode(value))

    def accept(self, entry: Entry, source: str = "") -> bool:
        """Store ``entry`` if it is new; return whether it was.

        ``source`` is the peer that sent it, empty for this instance's own entries.
        """
        if source and entry.origin == self._instance:
            self._republish_above(entry)
            return False
        with self._lock:
            stored = self._stored_by_key.get(entry.entry_key)
            if not entry.is_newer_than(stored.entry if stored else None):
                return False
            if entry.boot <= self._forgotten_boots.get(entry.origin, -1):
                return False
            self._stored_by_key[entry.entry_key] = make_stored_entry(entry)
        for forward in self._forward:
            forward(entry)
        self._notify(entry)
        return True

    def entries(self, topic: str | None = None) -> list[Entry]:
        """Return all entries, or those of ``topic``."""
        return [k.entry for k in self.stored_entries() if topic is None or k.entry.topic == topic]

    def is_own(self, entry: Entry) -> bool:
        """Return whether this instance has published ``entry``."""
        return entry.origin == self._instance

    def own_entries(self) -> list[Entry]:
        """Return the entries that this instance has published."""
        return [*filter(self.is_own, self.entries())]

    def stored_entries(self) -> list[StoredEntry]:
        """Return all entries with their hashes and times."""
        with self._lock:
            return list(self._stored_by_key.values())

    def expire(self, seconds: float) -> None:
        """Drop all entries that were stored more than ``seconds`` ago."""
        horizon = time.monotonic() - seconds
        with self._lock:
            for key in [k for k, s in self._stored_by_key.items() if s.stored_at < horizon]:
                del self._stored_by_key[key]

    def forget_origins(self, keep: set[str], seconds: float) -> None:
        """Drop entries of origins outside ``keep`` without a new entry for ``seconds``.

        Entries of a dropped boot are refused from then on: otherwise peers that
        have not dropped them yet would send them again, in a circle without end.
        """
        horizon = time.monotonic() - seconds
        with self._lock:
            newest: dict[str, float] = {}
            for item in self._stored_by_key.values():
                origin = item.entry.origin
                newest[origin] = max(newest.get(origin, 0.0), item.stored_at)
            gone = {o for o, at in newest.items() if at < horizon and o not in keep}
            gone.discard(self._instance)
            for key in [k for k in self._stored_by_key if k.origin in gone]:
                boot = self._stored_by_key.pop(key).entry.boot
                forgotten = self._forgotten_boots.get(key.origin, -1)
                self._forgotten_boots[key.origin] = max(boot, forgotten)
            excess = len(self._forgotten_boots) - MAX_FORGOTTEN_ORIGINS
            for origin in list(self._forgotten_boots)[: max(0, excess)]:
                del self._forgotten_boots[origin]

    def _publish(self, topic: str, key: str, payload: bytes) -> None:
        sequence = next(self._sequence)
        self.accept(Entry(self._instance, topic, key, self.boot, sequence, payload))

    def _republish_above(self, entry: Entry) -> None:
        """Raise the boot above that of ``entry`` and publish all own entries again.

        An own entry with a later boot remains at peers when the clock was set
        back before a restart. Peers would refuse everything that this process
        publishes as older than that entry.
        """
        with self._lock:
            if entry.boot <= self.boot:
                return
            self.boot = entry.boot + 1
            own = [
                k.entry for k in self._stored_by_key.values() if k.entry.origin == self._instance
            ]
        log_event("boot_raised", level="WARNING", boot=self.boot)
        for item in own:
            self._publish(item.topic, item.key, item.payload)

    def _notify(self, entry: Entry) -> None:
        for subscriber in self._subscribers.get(entry.topic, []):
            try:
                subscriber(entry)
            except Exception as error:
                # A payload of another shape (an older release, a faulty peer) must not
                # end the thread that receives from all peers, or a publisher's thread.
                log_event(
                    "entry_rejected",
                    level="WARNING",
                    origin=entry.origin,
                    topic=entry.topic,
                    key=entry.key,
                    error=repr(error),
                )
