"""One conditional write of a row on its way through the committer."""

import threading
from dataclasses import dataclass

from redwingscale_daemon._internal.store.row import Row


@dataclass(frozen=True, slots=True)
class Written:
    """The row is written and has ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """The row did not have the version expected; ``row`` is what stands there."""

    row: Row | None


@dataclass(frozen=True, slots=True)
class Failed:
    """The platform gave no word; ``may_arrive``: the write may (yet) take effect."""

    detail: str
    may_take_effect: bool


WriteResult = Written | WriteConflict | Failed


class RowWrite:
    """A write of ``value`` to row ``key`` if the row has ``version``."""

    def __init__(self, key: str, version: int, value: object) -> None:
        self.key = key
        self.version = version
        self.value = value
        self.write_ids: set[str] = set()
        self._condition = threading.Condition()
        self._result: WriteResult | None = None
        self._abandoned = False

    def settle(self, result: WriteResult) -> bool:
        """Set the result; return whether somebody still waits for it."""
        with self._condition:
            self._result = result
            self._condition.notify_all()
            return not self._abandoned

    def wait(self, timeout_seconds: float) -> WriteResult | None:
        """Return the result; None after the time, when the write is given up."""
        with self._condition:
            self._condition.wait_for(lambda: self._result is not None, timeout_seconds)
            self._abandoned = self._result is None
            return self._result

    @property
    def abandoned(self) -> bool:
        """Whether nobody waits any more."""
        return self._abandoned
