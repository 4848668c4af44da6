"""Requests texts from peers when the platform is unavailable."""

import itertools
import queue
import zlib
from collections.abc import Callable

import msgspec
from redwingscale_common.utils.digests import sha256_hex
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.configuration.accepted import Pointer, VersionedText
from redwingscale_daemon._internal.membership.mesh import Mesh

TOPIC = "configuration"
MAX_TEXT_BYTES = 16 << 20


class TextRequest(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """Requests the version in force, if it is ``version`` or a later one."""

    version: int


class TextOffer(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A version with its text, compressed by zlib."""

    pointer: Pointer
    compressed: bytes


TextMessage = TextRequest | TextOffer


class PeerTexts:
    """Requests a version from linked peers and responds to their requests.

    Offers arrive on the thread that receives from all peers, which must not check
    and parse a text of hundreds of kilobytes. They wait in a queue for the thread
    that calls `take_offers`.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._request_count = itertools.count()
        self._offers: queue.SimpleQueue[TextOffer] = queue.SimpleQueue()
        self._in_force: Callable[[], VersionedText | None] = lambda: None
        self._wake: Callable[[], None] = lambda: None
        mesh.on_direct(TOPIC, self._on_direct)

    def serve(self, in_force: Callable[[], VersionedText | None], wake: Callable[[], None]) -> None:
        """Respond with what ``in_force`` returns; call ``wake`` when an offer arrives."""
        self._in_force = in_force
        self._wake = wake

    def request(self, peers: set[str], version: int) -> None:
        """Send a request to one linked peer of ``peers``, another one each time."""
        linked = [peer for peer in self._mesh.linked_peers() if peer in peers]
        if linked:
            peer = linked[next(self._request_count) % len(linked)]
            self._send(peer, TextRequest(version))

    def take_offers(self) -> list[VersionedText]:
        """Return the valid offers that arrived since the last call."""
        queued = [self._offers.get() for _ in range(self._offers.qsize())]
        texts = [_decompress(offer) for offer in queued]
        return [versioned for versioned in texts if versioned is not None]

    def _on_direct(self, peer: str, payload: bytes) -> None:
        match msgspec.msgpack.decode(payload, type=TextMessage):
            case TextRequest(version=version):
                self._reply(peer, version)
            case TextOffer() as offer:
                self._offers.put(offer)
                self._wake()

    def _reply(self, peer: str, version: int) -> None:
        in_force = self._in_force()
        if in_force is not None and in_force.pointer.version >= version:
            self._send(peer, TextOffer(in_force.pointer, zlib.compress(in_force.text.encode())))

    def _send(self, peer: str, message: TextMessage) -> None:
        self._mesh.send_direct(peer, TOPIC, msgspec.msgpack.encode(message))


def _decompress(offer: TextOffer) -> VersionedText | None:
    try:
        data = zlib.decompressobj().decompress(offer.compressed, MAX_TEXT_BYTES)
        text = data.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        log_event("configuration_offer_invalid", level="WARNING", error=repr(error))
        return None
    if sha256_hex(data) != offer.pointer.digest:
        log_event(
            "configuration_offer_invalid", level="WARNING", error="text does not match its digest"
        )
        return None
    return VersionedText(offer.pointer, text)
