"""Texts asked of peers, for when the platform cannot give them."""

import itertools
import queue
import zlib
from collections.abc import Callable

import msgspec
from redwingscale_common.utils.digests import sha256_hex
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.configuration.accepted import Pointer, Versioned
from redwingscale_daemon._internal.membership.mesh import Mesh

TOPIC = "configuration"
TEXT_BYTES = 16 << 20


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Send the version in force, if it is ``version`` or a later one."""

    version: int


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A version with its text, compressed by zlib."""

    pointer: Pointer
    compressed: bytes


Exchange = Ask | Offer


class PeerTexts:
    """Asks linked peers for a version and answers them; offers wait in a queue.

    Offers come in on the thread that hears all peers, which must not check and
    build a text of hundreds of kilobytes; `offers` hands them to the caller's.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._turn = itertools.count()
        self._offers: queue.SimpleQueue[Offer] = queue.SimpleQueue()
        self._in_force: Callable[[], Versioned | None] = lambda: None
        self._wake: Callable[[], None] = lambda: None
        mesh.on_direct(TOPIC, self._on_direct)

    def serve(self, in_force: Callable[[], Versioned | None], wake: Callable[[], None]) -> None:
        """Answer with what ``in_force`` returns; call ``wake`` when an offer came."""
        self._in_force = in_force
        self._wake = wake

    def ask(self, peers: set[str], version: int) -> None:
        """Ask one linked peer of ``peers``, another one each time."""
        linked = [peer for peer in self._mesh.linked_peers() if peer in peers]
        if linked:
            peer = linked[next(self._turn) % len(linked)]
            self._send(peer, Ask(version))

    def offers(self) -> list[Versioned]:
        """Return the offers that came since the last call, whole ones only."""
        waiting = [self._offers.get() for _ in range(self._offers.qsize())]
        texts = [_open(offer) for offer in waiting]
        return [versioned for versioned in texts if versioned is not None]

    def _on_direct(self, peer: str, payload: bytes) -> None:
        match msgspec.msgpack.decode(payload, type=Exchange):
            case Ask(version=version):
                self._answer(peer, version)
            case Offer() as offer:
                self._offers.put(offer)
                self._wake()

    def _answer(self, peer: str, version: int) -> None:
        held = self._in_force()
        if held is not None and held.pointer.version >= version:
            self._send(peer, Offer(held.pointer, zlib.compress(held.text.encode())))

    def _send(self, peer: str, exchange: Exchange) -> None:
        self._mesh.send_direct(peer, TOPIC, msgspec.msgpack.encode(exchange))


def _open(offer: Offer) -> Versioned | None:
    try:
        data = zlib.decompressobj().decompress(offer.compressed, TEXT_BYTES)
        text = data.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        log_event("configuration_offer_invalid", level="WARNING", error=repr(error))
        return None
    if sha256_hex(data) != offer.pointer.digest:
        log_event("configuration_offer_invalid", level="WARNING", error="digest differs")
        return None
    return Versioned(offer.pointer, text)
