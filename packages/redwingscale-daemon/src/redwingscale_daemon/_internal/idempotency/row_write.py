"""A conditional write of one row, and its result."""

import threading
from dataclasses import dataclass

from redwingscale_daemon._internal.store.row import Row


@dataclass(frozen=True, slots=True)
class Written:
    """The row was written and now has ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class WriteConflict:
    """The row did not have the expected version; ``row`` is the stored one, None if absent."""

    row: Row | None


@dataclass(frozen=True, slots=True)
class Failed:
    """The platform did not answer; ``may_take_effect``: the write may have been or be applied."""

    detail: str
    may_take_effect: bool


WriteResult = Written | WriteConflict | Failed


class RowWrite:
    """A write of ``value`` to the row ``key``, made only if the row has ``version``."""

    def __init__(self, key: str, version: int, value: object) -> None:
        self.key = key
        self.version = version
        self.value = value
        self.write_ids: set[str] = set()
        self._condition = threading.Condition()
        self._result: WriteResult | None = None
        self._abandoned = False

    def settle(self, result: WriteResult) -> bool:
        """Set the result; return False if the waiter has timed out."""
        with self._condition:
            self._result = result
            self._condition.notify_all()
            return not self._abandoned

    def wait(self, timeout_seconds: float) -> WriteResult | None:
        """Return the result; on timeout mark the write as abandoned and return None."""
        with self._condition:
            self._condition.wait_for(lambda: self._result is not None, timeout_seconds)
            self._abandoned = self._result is None
            return self._result

    @property
    def abandoned(self) -> bool:
        """Whether the waiter has timed out."""
        return self._abandoned
