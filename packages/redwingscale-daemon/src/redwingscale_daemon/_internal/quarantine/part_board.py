"""The messages by which instances agree on parts of prompts that end upstreams."""

import itertools
import time
from typing import Protocol

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.quarantine.part_record import PartCrash, PartTurn
from redwingscale_daemon._internal.quarantine.part_suspects import SUSPICION_SECONDS
from redwingscale_daemon._internal.quarantine.record import RecordKey
from redwingscale_daemon._internal.quarantine.shared_records import (
    BOARD_SLOTS,
    CLEARED_TOPIC,
    QUARANTINE_TOPIC,
    Board,
)
from redwingscale_daemon._internal.quarantine.store import StoredQuarantine

CRASH_TOPIC = "part-crash"
TURN_TOPIC = "part-turn"
SHARE_TOPIC = "part-share"
# Parts and whole requests share one set of quarantines.
KEY_PREFIX = "part:"


class PartListener(Protocol):
    """Takes what any instance has published, this one included."""

    def take_crash(self, crash: PartCrash, *, own: bool) -> None:
        """Take a crash; ``own`` if this instance has noted it."""

    def take_turn(self, key: RecordKey, turn: PartTurn) -> None:
        """Take a claim."""

    def take_shares(self, shares: dict[str, float]) -> None:
        """Take the shares of parts at another instance."""

    def take_condemned(self, part: str, engines: tuple[str, ...]) -> None:
        """Take a verdict, which explains the ends of ``engines``."""

    def take_condemned_request(self, request: str, engines: tuple[str, ...]) -> None:
        """Take a verdict on one request, by its fingerprint, which ended ``engines``."""

    def take_cleared(self, part: str) -> None:
        """Take the news that a part ends no upstreams."""


class PartBoard:
    """Publishes records of this instance, and decodes those of all instances."""

    def __init__(self, instance: str, board: Board, listener: PartListener) -> None:
        self._instance, self._board, self._listener = instance, board, listener
        self._slots = itertools.cycle(map(str, range(BOARD_SLOTS)))
        board.subscribe(CRASH_TOPIC, self._on_crash)
        board.subscribe(TURN_TOPIC, self._on_turn)
        board.subscribe(SHARE_TOPIC, self._on_shares)
        board.subscribe(QUARANTINE_TOPIC, self._on_quarantine)
        board.subscribe(CLEARED_TOPIC, self._on_cleared)

    def publish_crash(self, crash: PartCrash) -> None:
        """Publish a crash that this instance has noted."""
        self._board.publish(CRASH_TOPIC, next(self._slots), crash)

    def publish_turn(self, key: RecordKey, turn: PartTurn) -> None:
        """Publish a claim of this instance."""
        self._board.publish(TURN_TOPIC, str(key.slot), turn)

    def publish_shares(self, shares: dict[str, float]) -> None:
        """Publish the shares of some parts at this instance."""
        self._board.publish(SHARE_TOPIC, next(self._slots), shares)

    def _on_crash(self, entry: Entry) -> None:
        crash = msgspec.msgpack.decode(entry.payload, type=PartCrash)
        # Peers keep entries for longer.
        if crash.at > time.time() - SUSPICION_SECONDS:
            self._listener.take_crash(crash, own=entry.origin == self._instance)

    def _on_turn(self, entry: Entry) -> None:
        turn = msgspec.msgpack.decode(entry.payload, type=PartTurn)
        self._listener.take_turn(RecordKey(entry.origin, int(entry.key)), turn)

    def _on_shares(self, entry: Entry) -> None:
        if entry.origin != self._instance:
            shares = msgspec.msgpack.decode(entry.payload, type=dict[str, float])
            self._listener.take_shares(shares)

    def _on_quarantine(self, entry: Entry) -> None:
        quarantine = msgspec.msgpack.decode(entry.payload, type=StoredQuarantine)
        if quarantine.fingerprint.startswith(KEY_PREFIX):
            part = quarantine.fingerprint.removeprefix(KEY_PREFIX)
            self._listener.take_condemned(part, quarantine.crashed_engines)
        else:
            self._listener.take_condemned_request(
                quarantine.fingerprint, quarantine.crashed_engines
            )

    def _on_cleared(self, entry: Entry) -> None:
        key = msgspec.msgpack.decode(entry.payload, type=str)
        if key.startswith(KEY_PREFIX):
            self._listener.take_cleared(key.removeprefix(KEY_PREFIX))
