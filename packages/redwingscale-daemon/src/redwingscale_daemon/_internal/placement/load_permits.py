"""Permission for single loads, retries included, right before they go out."""

from typing import Protocol


class LoadPermits(Protocol):
    """Asked before each load; never blocks.

    A refused load is asked for again at the owner's next step.
    """

    def try_enter(self, upstream: str, order_id: str, size_bytes: int) -> bool:
        """Return whether load ``order_id`` may go out to ``upstream`` now."""

    def leave(self, order_id: str) -> None:
        """Take note that the load has ended, or never went out; unknown ids are ignored."""


class UnlimitedLoads:
    """Lets every load through."""

    def try_enter(self, upstream: str, order_id: str, size_bytes: int) -> bool:
        """Return True."""
        return True

    def leave(self, order_id: str) -> None:
        """Do nothing."""
