"""Earlier states of a row store, from which it may come back."""

import itertools
import time
from collections import deque
from typing import NamedTuple

RowKey = tuple[str, str, str]
# Copies are some seconds old.
KEPT_SECONDS = 60.0


class RowState(NamedTuple):
    """All rows with their versions, the versions at which others were deleted, and the counter."""

    rows: dict[RowKey, tuple[int, str]]
    deleted: dict[RowKey, int]
    version: int


class OutsideWrite(NamedTuple):
    """What the operator or an upstream wrote; ``value`` is None if it removed the row."""

    at: float
    key: RowKey
    value: object


class RowCopies:
    """Keeps each state of the last `KEPT_SECONDS`, and the writes that are made again."""

    def __init__(self) -> None:
        self._states: deque[tuple[float, RowState]] = deque()
        self._writes: deque[OutsideWrite] = deque()

    def keep(self, state: RowState) -> None:
        """Keep ``state``, which begins now."""
        now = time.monotonic()
        copied = RowState(dict(state.rows), dict(state.deleted), state.version)
        self._states.append((now, copied))
        while len(self._states) > 1 and self._states[1][0] < now - KEPT_SECONDS:
            self._states.popleft()
        while self._writes and self._writes[0].at < now - KEPT_SECONDS:
            self._writes.popleft()

    def note_write(self, key: RowKey, value: object) -> None:
        """Note a write of the operator or of an upstream."""
        self._writes.append(OutsideWrite(time.monotonic(), key, value))

    def is_last(self, write: OutsideWrite) -> bool:
        """Return whether nobody outside has written the row again since ``write``."""
        return next(one for one in reversed(self._writes) if one.key == write.key) is write

    def state_at(self, at: float) -> RowState:
        """Return the state at the monotonic time ``at``, the oldest one if none is as old."""
        older = itertools.takewhile(lambda kept: kept[0] <= at, self._states)
        *_, (_, state) = itertools.chain([self._states[0]], older)
        return RowState(dict(state.rows), dict(state.deleted), state.version)

    def writes_since(self, at: float) -> list[OutsideWrite]:
        """Return the writes since ``at`` that are made again."""
        return [write for write in self._writes if write.at > at]
