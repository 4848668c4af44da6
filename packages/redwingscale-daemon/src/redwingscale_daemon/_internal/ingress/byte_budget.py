"""Bounds the bytes that an instance holds for its callers and upstreams."""

import threading
from typing import NamedTuple

BYTES_PER_MB = 1_000_000
# The rest of the memory is for the interpreter, the threads, the state of the deployment and
# the second copy that reading a body or an answer makes for a moment.
TOTAL_FRACTION = 0.25
# The largest body that the limits of a deployment allow, 4 MB, passes on the smallest
# instance, of 160 MB.
REQUEST_FRACTION = TOTAL_FRACTION / 8
# Bodies leave the rest to answers: refusing a request costs less than cutting an answer that
# an upstream has already worked on.
BODIES_FRACTION = 0.75
# Answers that callers do not take leave the rest to bodies: callers that stall must not make
# the instance refuse the requests of others. What each request may always hold is beyond it.
ANSWERS_FRACTION = 0.5
# What is kept at most of one answer for a caller that does not read. The upstream of a longer
# one stays unread meanwhile.
ANSWER_BYTES = 4 * BYTES_PER_MB
# An upstream holds the requests of up to 70 instances, at 2.4 to 14 KB each. One instance may
# send it as much as the largest body that the limits allow.
UPSTREAM_BYTES = 4 * BYTES_PER_MB


class ByteLimits(NamedTuple):
    """Bounds in bytes: for all requests together, for one, and for those at one upstream."""

    total: int
    request: int
    upstream: int = UPSTREAM_BYTES


def limits_of(memory_mb: float | None) -> ByteLimits | None:
    """Return the bounds of an instance with ``memory_mb`` of memory, None if it is unlimited."""
    if memory_mb is None:
        return None
    memory = memory_mb * BYTES_PER_MB
    return ByteLimits(int(memory * TOTAL_FRACTION), int(memory * REQUEST_FRACTION))


class ByteBudget:
    """Counts the bytes held: bodies of open requests, and answers that callers have not taken.

    Designed for many callers that read slowly or send large bodies at once: without a
    bound, the instance exceeds its memory and is killed with all its requests. Without
    ``limits``, it only counts.
    """

    def __init__(self, limits: ByteLimits | None = None) -> None:
        self.limits = limits
        self._lock = threading.Lock()
        self._bodies = 0
        self._answers = 0

    @property
    def held(self) -> int:
        """Bytes held now."""
        return self._bodies + self._answers

    @property
    def most_of_answer(self) -> int:
        """The bound in bytes on what is held of one answer."""
        return ANSWER_BYTES if self.limits is None else min(ANSWER_BYTES, self.limits.request)

    def take_body(self, count: int) -> bool:
        """Count ``count`` bytes of a body; return False, uncounted, beyond the bound."""
        with self._lock:
            if self._exceeds(self.held + count, BODIES_FRACTION):
                return False
            self._bodies += count
            return True

    def give_body(self, count: int) -> None:
        """Remove ``count`` bytes of a body that are no longer held."""
        with self._lock:
            self._bodies -= count

    def take_answer(self, count: int) -> bool:
        """Count ``count`` bytes of an answer; return False, uncounted, beyond the bound."""
        with self._lock:
            if self._exceeds(self._answers + count, ANSWERS_FRACTION):
                return False
            if self._exceeds(self.held + count, 1.0):
                return False
            self._answers += count
            return True

    def add_answer(self, count: int) -> None:
        """Count ``count`` bytes of an answer whatever the bound, or fewer if it is negative."""
        with self._lock:
            self._answers += count

    def _exceeds(self, count: int, fraction: float) -> bool:
        return self.limits is not None and count > self.limits.total * fraction
