"""Tracks whether the store answers one kind of read, and since when."""

import time

from redwingscale_common.utils.logs import log_event


class LinkState:
    """Tracks the reads of ``what``, and logs when the store stops or resumes answering."""

    def __init__(self, what: str) -> None:
        self._what = what
        self._lost_at: float | None = None
        self._answered_at = float("-inf")
        self._failed_at = float("-inf")

    @property
    def failed_at(self) -> float:
        """The monotonic time of the last call without a usable answer."""
        return self._failed_at

    @property
    def answered_at(self) -> float:
        """The monotonic time from which on the last answer holds."""
        return self._answered_at

    @property
    def lost(self) -> bool:
        """Whether the last call got no usable answer."""
        return self._lost_at is not None

    @property
    def age(self) -> float:
        """Seconds since the time from which on the last answer holds."""
        return time.monotonic() - self._answered_at

    def note_answer(self, as_of: float | None = None) -> None:
        """Note an answer to a call that began at the monotonic time ``as_of``, by default now.

        The state that a late answer tells may be as old as the call.
        """
        now = time.monotonic()
        if self._lost_at is not None:
            log_event("store_regained", what=self._what, lost_for=round(now - self._lost_at, 3))
            self._lost_at = None
        self._answered_at = now if as_of is None else as_of

    def note_failure(self, error: Exception) -> None:
        """Note a call without a usable answer; the log has the age of the last one."""
        now = time.monotonic()
        self._failed_at = now
        if self._lost_at is None:
            self._lost_at = now
            age = round(now - self._answered_at, 3)
            log_event("store_lost", level="WARNING", what=self._what, age=age, error=error)
