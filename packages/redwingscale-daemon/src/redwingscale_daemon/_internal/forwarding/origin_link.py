"""Tells other instances how streams began, and asks them, by datagrams."""

import random
import socket
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from contextlib import closing

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.forwarding.stream_origins import OriginEntry

# Each stream is told to so many instances, the leader among them; an instance that asks asks all
# that it knows.
MOST_TOLD = 6
# How long the thread of a request waits for what other instances know.
ASK_SECONDS = 0.15
# Datagrams may be lost: those that have not answered are asked again after this time.
ASK_AGAIN_SECONDS = 0.06
STOP_SECONDS = 1.0
# Bounds the log lines of a socket that fails.
FAILED_PAUSE_SECONDS = 0.05
# Larger than any message here.
MAX_BYTES = 4096

Address = tuple[str, int]


class OriginMessage(msgspec.Struct, array_like=True):
    """Entries that are told, or a question for ``asked`` or the answer to one.

    An answer has the ``number`` of its question and at most one entry.
    """

    entries: list[OriginEntry] = []
    asked: bytes = b""
    number: int = 0


class _Question:
    """One question, and what was answered so far."""

    def __init__(self) -> None:
        self.condition = threading.Condition()
        self.answered: set[Address] = set()
        self.entry: OriginEntry | None = None


class OriginLink:
    """A datagram socket on the port number of the peer server.

    Instances of the release before have no such socket: what is sent there is lost.
    """

    def __init__(
        self,
        own_address: Callable[[], str],
        peers: Callable[[], Sequence[str]],
        leader: Callable[[], str | None],
        on_sent: Callable[[str, int, int], None] = lambda kind, datagrams, size: None,
    ) -> None:
        # Returns "HOST:PORT" of the peer server, which is open before `start`.
        self._own_address = own_address
        self._peers = peers
        self._leader = leader
        # Called with the kind, number and total bytes of datagrams sent.
        self._on_sent = on_sent
        self._receive: Callable[[Sequence[OriginEntry]], None] = lambda entries: None
        self._find: Callable[[bytes], OriginEntry | None] = lambda key: None
        self._socket: socket.socket | None = None
        self._stopped = False
        self._lock = threading.Lock()
        self._questions: dict[int, _Question] = {}
        self._decoder = msgspec.msgpack.Decoder(OriginMessage)
        # Not for secrets: it spreads what is told, and numbers questions.
        self._random = random.Random()
        self._thread = threading.Thread(target=self._run, name="stream-origins", daemon=True)

    def connect(
        self,
        receive: Callable[[Sequence[OriginEntry]], None],
        find: Callable[[bytes], OriginEntry | None],
    ) -> None:
        """Pass entries that are told to ``receive``, and answer questions by ``find``."""
        self._receive, self._find = receive, find

    def start(self) -> None:
        """Open the socket; without one, this instance knows its own streams only."""
        host, _, port = self._own_address().rpartition(":")
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            opened.bind((host, int(port)))
        except OSError as error:
            opened.close()
            log_event("origin_link_not_opened", level="WARNING", error=error)
            return
        self._socket = opened
        self._thread.start()

    def stop(self) -> None:
        """Close the socket."""
        self._stopped = True
        if self._socket is not None:
            # The thread waits for a datagram.
            self._send(self._socket.getsockname(), b"")
            self._thread.join(STOP_SECONDS)

    def tell(self, entry: OriginEntry) -> None:
        """Send an entry to the leader and some other instances, without waiting."""
        message = msgspec.msgpack.encode(OriginMessage([entry]))
        self._send_all("told", self._told(), message)

    def ask(self, key: bytes) -> OriginEntry | None:
        """Return what an instance knows, None if none says so within `ASK_SECONDS`."""
        asked = set(self._addresses())
        if not asked or self._socket is None:
            return None
        question, number = _Question(), self._random.getrandbits(48)
        message = msgspec.msgpack.encode(OriginMessage(asked=key, number=number))
        with self._lock:
            self._questions[number] = question
        ends_at = time.monotonic() + ASK_SECONDS
        try:
            with question.condition:
                while (
                    question.entry is None
                    and (silent := asked - question.answered)
                    and (left := ends_at - time.monotonic()) > 0
                ):
                    self._send_all("asked", silent, message)
                    question.condition.wait_for(
                        lambda: question.entry is not None or question.answered >= asked,
                        min(left, ASK_AGAIN_SECONDS),
                    )
                return question.entry
        finally:
            with self._lock:
                del self._questions[number]

    def _addresses(self) -> list[Address]:
        """Return the leader's address first, then those of the other instances known."""
        texts = dict.fromkeys([*filter(None, [self._leader()]), *self._peers()])
        texts.pop(self._own_address(), None)
        return [(host, int(port)) for host, _, port in (text.rpartition(":") for text in texts)]

    def _told(self) -> list[Address]:
        addresses = self._addresses()
        if len(addresses) <= MOST_TOLD:
            return addresses
        return [addresses[0], *self._random.sample(addresses[1:], MOST_TOLD - 1)]

    def _send_all(self, kind: str, addresses: Iterable[Address], message: bytes) -> None:
        sent = sum(self._send(address, message) for address in addresses)
        self._on_sent(kind, sent, sent * len(message))

    def _send(self, address: Address, message: bytes) -> bool:
        """Send a datagram without waiting; return whether the kernel took it."""
        if self._socket is None:
            return False
        try:
            self._socket.sendto(message, socket.MSG_DONTWAIT, address)
        except OSError as error:
            log_event("origin_not_sent", level="WARNING", peer=address[0], error=error)
            return False
        return True

    def _run(self) -> None:
        assert self._socket is not None, "started without a socket"
        with closing(self._socket):
            while not self._stopped:
                try:
                    data, sender = self._socket.recvfrom(MAX_BYTES)
                    if data:
                        self._take(data, sender)
                except Exception as error:
                    # One datagram must not end the thread that answers the other instances.
                    log_event("origin_not_taken", level="WARNING", error=repr(error))
                    time.sleep(FAILED_PAUSE_SECONDS)

    def _take(self, data: bytes, sender: Address) -> None:
        try:
            message = self._decoder.decode(data)
        except msgspec.DecodeError as error:
            log_event("origin_message_invalid", level="WARNING", peer=sender[0], error=error)
            return
        if message.asked:
            entry = self._find(message.asked)
            answer = OriginMessage([entry] if entry else [], number=message.number)
            self._send_all("answered", [sender], msgspec.msgpack.encode(answer))
        elif message.number:
            self._take_answer(message, sender)
        else:
            self._receive(message.entries)

    def _take_answer(self, message: OriginMessage, sender: Address) -> None:
        with self._lock:
            question = self._questions.get(message.number)
        if question is None:
            return
        with question.condition:
            question.answered.add(sender)
            question.entry = question.entry or next(iter(message.entries), None)
            question.condition.notify_all()
