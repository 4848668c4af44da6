"""Which service and software version began each stream, by the id of its first request."""

import hashlib
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable
from itertools import takewhile
from typing import NamedTuple, Protocol

import msgspec

from redwingscale_daemon._internal.leases.clock import Clock, lease_clock

# The oldest are dropped beyond this; their streams count as unknown. An entry takes some
# 300 bytes.
MAX_ENTRIES = 20_000
KEY_BYTES = 12
# An id that is longer names no stream.
MAX_ID_CHARACTERS = 200


class OriginEntry(msgspec.Struct, array_like=True):
    """The ``service`` and ``software`` that began the stream ``key``, ``age`` seconds ago."""

    key: bytes
    service: str
    software: str
    age: float = 0.0


class Found(NamedTuple):
    """A known origin; ``source`` is "own", "peer" if told before, "row" or "asked"."""

    service: str
    software: str
    source: str
    age: float


class _Kept(NamedTuple):
    """An entry and how it is known; ``number`` counts all entries."""

    began_at: float
    service: str
    software: str
    source: str
    number: int


class OriginPeers(Protocol):
    """The other instances."""

    def tell(self, entry: OriginEntry) -> None:
        """Send an entry to some of them, without waiting."""

    def ask(self, key: bytes) -> OriginEntry | None:
        """Return what one of them knows, None if none answers in time that it knows."""


class StreamOrigins:
    """Remembers how streams began here and at the instances that told this one.

    Entries are found by a digest of the workspace and the id: an id tells a caller of another
    workspace nothing.
    """

    def __init__(
        self,
        peers: OriginPeers,
        stream_seconds: Callable[[], float],
        on_software: Callable[[str, str, float], None] = lambda service, software, age: None,
        clock: Clock = lease_clock,
    ) -> None:
        self._peers = peers
        self._stream_seconds = stream_seconds
        # Called with the service, version and age of each entry of another instance.
        self._on_software = on_software
        self._clock = clock
        self._lock = threading.Lock()
        # In the order in which they were learned.
        self._by_key: OrderedDict[bytes, _Kept] = OrderedDict()
        self._newest = 0

    def note(
        self, workspace: str, request: str, service: str, software: str, *, tell: bool
    ) -> None:
        """Note a stream that begins; ``tell`` the other instances as well."""
        entry = OriginEntry(origin_key(workspace, request), service, software)
        self._keep(entry, "own")
        if tell:
            self._peers.tell(entry)

    def receive(self, entries: Iterable[OriginEntry]) -> None:
        """Take what another instance tells."""
        for entry in entries:
            self._on_software(entry.service, entry.software, max(0.0, entry.age))
            self._keep(entry, "peer")

    def known(self, workspace: str, request: str) -> Found | None:
        """Return the origin of a stream if it is known here."""
        return self._find(origin_key(workspace, request))

    def ask(self, workspace: str, request: str) -> Found | None:
        """Return the origin of a stream as another instance knows it."""
        key = origin_key(workspace, request)
        entry = self._peers.ask(key)
        if entry is None:
            return None
        self.receive([entry])
        return Found(entry.service, entry.software, "asked", entry.age)

    def entry(self, key: bytes) -> OriginEntry | None:
        """Return the entry for an instance that asks, None if the stream is not known."""
        found = self._find(key)
        return found and OriginEntry(key, found.service, found.software, found.age)

    def since(self, number: int) -> tuple[list[OriginEntry], int]:
        """Return what was learned after entry ``number``, and the number of the last entry."""
        with self._lock:
            newer = takewhile(lambda item: item[1].number > number, reversed(self._by_key.items()))
            found = [OriginEntry(key, kept.service, kept.software) for key, kept in newer]
            return found[::-1], self._newest

    def restore(self, entries: Iterable[OriginEntry]) -> None:
        """Keep what former processes knew; how long ago these streams began is not known."""
        for entry in entries:
            self._keep(entry, "row")

    def _find(self, key: bytes) -> Found | None:
        with self._lock:
            kept = self._by_key.get(key)
        if kept is None:
            return None
        age = self._clock() - kept.began_at
        if age >= self._stream_seconds():
            return None
        return Found(kept.service, kept.software, kept.source, age)

    def _keep(self, entry: OriginEntry, source: str) -> None:
        began_at = self._clock() - max(0.0, entry.age)
        oldest = self._clock() - self._stream_seconds()
        with self._lock:
            if entry.key not in self._by_key:
                self._newest += 1
                self._by_key[entry.key] = _Kept(
                    began_at, entry.service, entry.software, source, self._newest
                )
            while self._by_key and (
                len(self._by_key) > MAX_ENTRIES
                or next(iter(self._by_key.values())).began_at < oldest
            ):
                self._by_key.popitem(last=False)


def origin_key(workspace: str, request: str) -> bytes:
    """Return the key of the stream that the request ``request`` began."""
    text = f"{workspace}\0{request}".encode(errors="surrogateescape")
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
