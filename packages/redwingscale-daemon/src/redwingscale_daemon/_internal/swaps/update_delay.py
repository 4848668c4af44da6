"""How long the order giver's news were on their way."""

import time

# Two clocks that run at different rates drift apart by less than this part of the time.
MAX_CLOCK_DRIFT = 2e-4


class UpdateDelay:
    """Compares each message's way with the shortest one so far.

    No clock is shared: what two clocks differ by is in every message alike, so that what
    one takes longer than the quickest is time that it spent in queues or on a harmed link.
    Without it, news of a giver behind a full link seem new however old they are.
    """

    def __init__(self) -> None:
        self._start = ""
        # By the two clocks, of the quickest message; and when it was heard.
        self._min_difference = float("inf")
        self._received_at = 0.0

    def seconds(self, start: str, sent_at: float) -> float:
        """Return how late a message is that ``start`` of a giver sent at its ``sent_at``."""
        now = time.monotonic()
        if start != self._start:
            self._start, self._min_difference = start, float("inf")
        max_difference = self._min_difference + (now - self._received_at) * MAX_CLOCK_DRIFT
        self._min_difference = min(max_difference, now - sent_at)
        self._received_at = now
        return now - sent_at - self._min_difference
