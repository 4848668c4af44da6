"""The bytes that an instance holds for one request."""

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.ingress.byte_budget import ByteBudget
from redwingscale_daemon._internal.models.run_state import RunState

# Other instances have room, and here some is freed as soon as a request ends.
RETRY_SECONDS = 0.3


class HeldBytes:
    """The body of one request, and the part of its answer that is not yet written.

    The body counts until the request ends, since it may have to be sent again. Used by one
    thread.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._body = 0
        self._answer = 0

    def add_body(self, count: int) -> None:
        """Count bytes before they are read; raise `Refusal`, as not run, beyond a bound."""
        if self._exceeds(self._body + count) or not self._budget.take_body(count):
            raise Refusal(
                503,
                "bytes_held",
                f"{self._body + count} bytes of the body, {self._budget.held} held in all",
                retry_after_seconds=RETRY_SECONDS,
            )
        self._body += count

    def set_answer(self, count: int) -> None:
        """Set the bytes read of the answer and not yet written; raise `Refusal` beyond a bound."""
        added = count - self._answer
        if not added:
            return
        if added < 0:
            self._budget.give(-added)
        elif self._exceeds(count) or not self._budget.take_answer(added):
            raise Refusal(
                502,
                "bytes_held",
                f"{count} bytes of the answer, {self._budget.held} held in all",
                run=RunState.UNKNOWN,
            )
        self._answer = count

    def close(self) -> None:
        """Count nothing any more; a second call does nothing."""
        self._budget.give(self._body + self._answer)
        self._body = self._answer = 0

    def _exceeds(self, count: int) -> bool:
        limits = self._budget.limits
        return limits is not None and count > limits.request
