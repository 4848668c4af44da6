"""Which service and software version began each stream, by the id of its first request."""

import hashlib
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable
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
    """A known origin; ``source`` is "own", "peer" if told before, or "asked"."""

    service: str
    software: str
    source: str
    age: float


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
        # When each stream began, its service, its version and how that is known; oldest first.
        self._by_key: OrderedDict[bytes, tuple[float, str, str, str]] = OrderedDict()

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

    def _find(self, key: bytes) -> Found | None:
        with self._lock:
            kept = self._by_key.get(key)
        if kept is None:
            return None
        at, service, software, source = kept
        age = self._clock() - at
        return Found(service, software, source, age) if age < self._stream_seconds() else None

    def _keep(self, entry: OriginEntry, source: str) -> None:
        began_at = self._clock() - max(0.0, entry.age)
        oldest = self._clock() - self._stream_seconds()
        with self._lock:
            self._by_key.setdefault(entry.key, (began_at, entry.service, entry.software, source))
            while self._by_key and (
                len(self._by_key) > MAX_ENTRIES or next(iter(self._by_key.values()))[0] < oldest
            ):
                self._by_key.popitem(last=False)


def origin_key(workspace: str, request: str) -> bytes:
    """Return the key of the stream that the request ``request`` began."""
    text = f"{workspace}\0{request}".encode(errors="surrogateescape")
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
