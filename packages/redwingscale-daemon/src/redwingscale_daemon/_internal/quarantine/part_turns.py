"""Lets requests with a suspect part run one at a time over all instances."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.quarantine.part_record import PartTurn, TurnPhase
from redwingscale_daemon._internal.quarantine.record import RecordKey
from redwingscale_daemon._internal.quarantine.turns import SETTLE_SECONDS

# A claim that is older belongs to an instance that has ended.
MAX_TURN_SECONDS = 5.0


class _SeenTurn(NamedTuple):
    turn: PartTurn
    seen_at: float


class PartTurns:
    """The claims of all instances; its methods are called with ``changed`` held."""

    def __init__(
        self,
        instance: str,
        publish: Callable[[RecordKey, PartTurn], None],
        changed: threading.Condition,
    ) -> None:
        self._instance = instance
        # Publishes a claim of this instance, which comes back to `put`.
        self._publish = publish
        self._changed = changed
        self._seen_by_key: dict[RecordKey, _SeenTurn] = {}

    def put(self, key: RecordKey, turn: PartTurn) -> None:
        """Note a claim of any instance."""
        if turn.phase is TurnPhase.ENDED:
            self._seen_by_key.pop(key, None)
        else:
            self._seen_by_key[key] = _SeenTurn(turn, time.monotonic())

    def is_taken(self, part: str) -> bool:
        """Return whether a request with ``part`` waits for its turn or runs in it."""
        return any(seen.turn.part == part for _, seen in self._current())

    def claim(
        self, part: str, is_needed: Callable[[str], bool], check_caller: Callable[[], None]
    ) -> RecordKey | None:
        """Return the claim once its turn has come, None if another request goes first.

        Returns None as well if the turn is not needed any more. Releases the lock while it waits.
        """
        key = self._new_key()
        self._publish(key, PartTurn(part, TurnPhase.WAITING))
        began = False
        try:
            settled_at = time.monotonic() + SETTLE_SECONDS
            while is_needed(part) and (left := settled_at - time.monotonic()) > 0:
                check_caller()
                self._changed.wait(left)
            began = is_needed(part) and self._is_first(key, part)
            if began:
                self._publish(key, PartTurn(part, TurnPhase.RUNNING))
        finally:
            if not began:
                self.end(key)
        return key if began else None

    def end(self, key: RecordKey) -> None:
        """End a claim; a second call does nothing."""
        seen = self._seen_by_key.get(key)
        if seen is not None:
            self._publish(key, seen.turn._replace(phase=TurnPhase.ENDED))

    def _new_key(self) -> RecordKey:
        used = {key.slot for key in self._seen_by_key if key.origin == self._instance}
        free = (number for number in range(len(used) + 1) if number not in used)
        return RecordKey(self._instance, next(free))

    def _is_first(self, key: RecordKey, part: str) -> bool:
        return key in self._seen_by_key and not any(
            other.turn.phase is TurnPhase.RUNNING or other_key < key
            for other_key, other in self._current()
            if other_key != key and other.turn.part == part
        )

    def _current(self) -> list[tuple[RecordKey, _SeenTurn]]:
        oldest = time.monotonic() - MAX_TURN_SECONDS
        return [item for item in self._seen_by_key.items() if item[1].seen_at > oldest]
