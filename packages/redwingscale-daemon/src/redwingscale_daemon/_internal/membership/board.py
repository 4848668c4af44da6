"""What this instance knows of the others: the newest entry of each key."""

import itertools
import threading
import time
from collections.abc import Callable

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry, EntryKey

Subscriber = Callable[[Entry], None]
MILLISECONDS = 1000


class Board:
    """Keeps entries, tells subscribers of a topic, and numbers this instance's own."""

    def __init__(self, instance: str) -> None:
        self._lock = threading.Lock()
        self._instance = instance
        self._sequence = itertools.count(1)
        self._entries: dict[EntryKey, Entry] = {}
        self._subscribers: dict[str, list[Subscriber]] = {}
        self._forward: list[Callable[[Entry], None]] = []
        self.boot = time.time_ns() // 1_000_000

    def subscribe(self, topic: str, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each new entry of ``topic``, also this instance's own."""
        self._subscribers.setdefault(topic, []).append(subscriber)

    def on_forward(self, forward: Callable[[Entry], None]) -> None:
        """Call ``forward`` with each entry that the links have to carry on."""
        self._forward.append(forward)

    def publish(self, topic: str, key: str, value: object) -> None:
        """Tell all instances ``value`` (a MessagePack-able value) about ``key``."""
        entry = Entry(
            origin=self._instance,
            topic=topic,
            key=key,
            boot=self.boot,
            sequence=next(self._sequence),
            payload=msgspec.msgpack.encode(value),
        )
        self.accept(entry)

    def accept(self, entry: Entry) -> bool:
        """Take ``entry`` if it is new; return whether it was."""
        with self._lock:
            if not entry.is_newer_than(self._entries.get(entry.entry_key)):
                return False
            self._entries[entry.entry_key] = entry
        for forward in self._forward:
            forward(entry)
        for subscriber in self._subscribers.get(entry.topic, []):
            subscriber(entry)
        return True

    def entries(self) -> list[Entry]:
        """Return all entries known, for a full cycle to a peer."""
        with self._lock:
            return list(self._entries.values())
