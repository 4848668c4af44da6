"""How long an upstream may send nothing before it is taken to be silent."""

import time
from typing import NamedTuple

MAX_SILENT_GAPS = 8.0
FIRST_TOKEN_FRACTION = 0.5


class SilenceBounds(NamedTuple):
    """Seconds: the least and the most that a stream may be silent."""

    min_seconds: float
    max_seconds: float

    def first_token_timeout(self, deadline_at: float) -> float:
        """Return the wait for a first token: it also covers queueing and prefill.

        Half of what is left, so that there is time for another attempt.
        """
        remaining = (deadline_at - time.monotonic()) * FIRST_TOKEN_FRACTION
        return max(self.min_seconds, remaining)

    def token_timeout(self, gap_seconds: float) -> float:
        """Return the wait that a mean gap between tokens calls for."""
        return min(self.max_seconds, max(self.min_seconds, MAX_SILENT_GAPS * gap_seconds))
