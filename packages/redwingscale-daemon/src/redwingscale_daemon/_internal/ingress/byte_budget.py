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
    """Counts the bytes held: bodies of open requests, and answers read but not yet written.

    Designed for many callers that read slowly or send large bodies at once: without a
    bound, the instance exceeds its memory and is killed with all its requests. Without
    ``limits``, it only counts.
    """

    def __init__(self, limits: ByteLimits | None = None) -> None:
        self.limits = limits
        self._lock = threading.Lock()
        self._held = 0

    @property
    def held(self) -> int:
        """Bytes held now."""
        return self._held

    def take_body(self, count: int) -> bool:
        """Count ``count`` bytes of a body; return False, uncounted, beyond the bound."""
        return self._take(count, BODIES_FRACTION)

    def take_answer(self, count: int) -> bool:
        """Count ``count`` bytes of an answer; return False, uncounted, beyond the bound."""
        return self._take(count, 1.0)

    def give(self, count: int) -> None:
        """Remove ``count`` bytes that are no longer held."""
        with self._lock:
            self._held -= count

    def _take(self, count: int, fraction: float) -> bool:
        with self._lock:
            if self.limits is not None and self._held + count > self.limits.total * fraction:
                return False
            self._held += count
            return True
