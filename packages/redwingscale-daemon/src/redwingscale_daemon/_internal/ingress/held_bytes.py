"""The bytes that an instance holds for one request."""

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.ingress.byte_budget import ByteBudget

# Other instances have room, and here some is freed as soon as a request ends.
RETRY_SECONDS = 0.3
# A request that holds no more than this of its answer may always read on. Without it, an
# answer whose caller reads at once would stand still while others use up the budget.
FREE_BYTES = 16 << 10


class HeldBytes:
    """The body of one request, and what is held of its answers.

    The body counts until the request ends, since it may have to be sent again, and so does a
    failure that is kept in case that no other upstream succeeds. Both are kept here alone, and
    dropped when they no longer count: whatever still refers to the request then, such as a
    reference cycle, keeps no body alive. Used by one thread.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._kept_body: bytes | None = b""
        self._kept_failure = b""
        self._body = 0
        self._answer = 0
        self._unwritten = 0
        # What the budget counts of the answer; more than is held while room is reserved.
        self._counted = 0

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

    @property
    def body(self) -> bytes:
        """The whole body, empty without one; raises `RuntimeError` after the request has ended."""
        if self._kept_body is None:
            raise RuntimeError("the body of an ended request is gone")
        return self._kept_body

    def keep_body(self, body: bytes) -> None:
        """Keep a body, the bytes of which were counted before."""
        self._kept_body = body

    @property
    def failure(self) -> bytes:
        """The body of the failure that is kept, empty without one."""
        return self._kept_failure

    def keep_failure(self, body: bytes) -> None:
        """Keep the body of an upstream's failure until the request ends, and count it."""
        self._kept_failure = body
        self._recount()

    def take_room(self, count: int) -> bool:
        """Reserve room to read ``count`` bytes of the answer; return False beyond a bound.

        The room is reserved until the bytes held are set the next time.
        """
        held = self._answer + self._unwritten
        if held <= FREE_BYTES:
            return True
        added = held + len(self._kept_failure) + count - self._counted
        if added <= 0:
            return True
        if held + count > self._budget.most_of_answer or not self._budget.take_answer(added):
            return False
        self._counted += added
        return True

    def set_answer(self, count: int) -> None:
        """Set the bytes read of the answer and not yet written to the reply."""
        self._answer = count
        self._recount()

    def set_unwritten(self, count: int) -> None:
        """Set the bytes written to the reply that the caller's socket has not taken."""
        self._unwritten = count
        self._recount()

    def close(self) -> None:
        """Drop the body and count nothing any more; a second call does nothing."""
        self._kept_body, self._kept_failure = None, b""
        self._budget.give_body(self._body)
        self._body = 0
        self._answer = self._unwritten = 0
        self._recount()

    def _recount(self) -> None:
        count = self._answer + self._unwritten + len(self._kept_failure)
        if count != self._counted:
            self._budget.add_answer(count - self._counted)
            self._counted = count

    def _exceeds(self, count: int) -> bool:
        limits = self._budget.limits
        return limits is not None and count > limits.request
