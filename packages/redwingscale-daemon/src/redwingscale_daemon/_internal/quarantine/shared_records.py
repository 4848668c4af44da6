"""The records and quarantines that instances share, and the lock that guards them."""

import itertools
import threading
from collections.abc import Callable
from typing import Protocol

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.quarantine.quarantined import QuarantinedRequests
from redwingscale_daemon._internal.quarantine.record import Phase, Record, RecordKey
from redwingscale_daemon._internal.quarantine.refusals import quarantine_refusal
from redwingscale_daemon._internal.quarantine.store import StoredQuarantine
from redwingscale_daemon._internal.quarantine.suspects import Suspects

SUSPECT_TOPIC = "suspect"
QUARANTINE_TOPIC = "quarantine"
CLEARED_TOPIC = "cleared"
# Entries on the board that an instance keeps of quarantines and of what was cleared,
# replaced in turn. In a slot that is reused at once, a later entry would replace one that
# a link still delays.
BOARD_SLOTS = 256


class Board(Protocol):
    """Exchanges entries between instances."""

    def publish(self, topic: str, key: str, value: object) -> None:
        """Publish ``value`` to all instances, this one included."""

    def subscribe(self, topic: str, subscriber: Callable[[Entry], None]) -> None:
        """Call ``subscriber`` with each new entry of ``topic``."""


class SharedRecords:
    """What this instance knows of all suspects and quarantines.

    Its methods are called with ``changed`` held. The board calls back with what this instance
    publishes as well, so that own records and those of peers take the same way.
    """

    def __init__(self, instance: str, board: Board) -> None:
        self.changed = threading.Condition()
        self.suspects = Suspects()
        self.quarantined = QuarantinedRequests()
        # Called with the engines that crashed by a record, with ``changed`` held.
        self.on_crash: Callable[[tuple[str, ...]], None] = lambda engines: None
        self._instance = instance
        self._board = board
        self._slots = itertools.cycle(map(str, range(BOARD_SLOTS)))
        board.subscribe(SUSPECT_TOPIC, self._on_suspect)
        board.subscribe(QUARANTINE_TOPIC, self._on_quarantine)
        board.subscribe(CLEARED_TOPIC, self._on_cleared)

    def check(self, fingerprint: str, run: RunState) -> None:
        """Raise the final `Refusal`, with ``run``, if ``fingerprint`` is quarantined."""
        left = self.quarantined.seconds_left(fingerprint)
        if left > 0:
            raise quarantine_refusal(fingerprint, left, run)

    def publish(self, key: RecordKey, record: Record) -> None:
        """Publish a record of this instance."""
        self._board.publish(SUSPECT_TOPIC, str(key.slot), record)

    def publish_new(self, record: Record) -> RecordKey:
        """Publish a record under a new key, and return the key."""
        key = self.suspects.free_key(self._instance)
        self.publish(key, record)
        return key

    def publish_quarantine(self, quarantine: StoredQuarantine) -> None:
        """Publish a quarantine."""
        self._board.publish(QUARANTINE_TOPIC, next(self._slots), quarantine)

    def publish_cleared(self, fingerprint: str) -> None:
        """Publish that a request crashes no engines."""
        self._board.publish(CLEARED_TOPIC, next(self._slots), fingerprint)

    def add_quarantine(self, quarantine: StoredQuarantine) -> None:
        """Add a quarantine; what was suspect only because of its crashes no longer is."""
        self.quarantined.add(quarantine)
        attributed = set(quarantine.crashed_engines)
        self.suspects.drop(
            lambda record: (
                record.fingerprint == quarantine.fingerprint
                or attributed.issuperset(record.crashed_engines)
            )
        )
        self.changed.notify_all()

    def _on_suspect(self, entry: Entry) -> None:
        record = msgspec.msgpack.decode(entry.payload, type=Record)
        key = RecordKey(entry.origin, int(entry.key))
        with self.changed:
            self.suspects.pop(key)
            match record.phase:
                case Phase.CLEARED:
                    self._forget(record.fingerprint)
                case Phase.SUSPECT | Phase.WAITING | Phase.RUNNING:
                    self.suspects.put(key, record)
                    self.on_crash(record.crashed_engines)
            self.changed.notify_all()

    def _on_cleared(self, entry: Entry) -> None:
        fingerprint = msgspec.msgpack.decode(entry.payload, type=str)
        with self.changed:
            self._forget(fingerprint)
            self.changed.notify_all()

    def _on_quarantine(self, entry: Entry) -> None:
        quarantine = msgspec.msgpack.decode(entry.payload, type=StoredQuarantine)
        with self.changed:
            self.add_quarantine(quarantine)

    def _forget(self, fingerprint: str) -> None:
        self.suspects.forget(fingerprint)
        self.quarantined.pop(fingerprint)
