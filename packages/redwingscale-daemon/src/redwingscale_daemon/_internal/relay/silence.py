"""Bounds how long an upstream may send nothing before it counts as silent."""

import time
from typing import NamedTuple

# The timeout of a token, in mean gaps between tokens.
MAX_SILENT_GAPS = 8.0
FIRST_TOKEN_FRACTION = 0.5


class SilenceBounds(NamedTuple):
    """The shortest and the longest timeout of a stream, in seconds."""

    min_seconds: float
    max_seconds: float

    def first_token_timeout(self, deadline_at: float) -> float:
        """Return the timeout of the first token, which includes queueing and prefill.

        It is half of the time until the deadline, so that another attempt can follow.
        """
        timeout_seconds = (deadline_at - time.monotonic()) * FIRST_TOKEN_FRACTION
        return max(self.min_seconds, timeout_seconds)

    def token_timeout(self, gap_seconds: float) -> float:
        """Return the timeout of the next token, given the mean gap between tokens."""
        return min(self.max_seconds, max(self.min_seconds, MAX_SILENT_GAPS * gap_seconds))
