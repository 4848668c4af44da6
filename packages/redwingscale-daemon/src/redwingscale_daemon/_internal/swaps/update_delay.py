"""The delay of the leader's updates on their way to this instance."""

import time

# The most that two clocks drift apart, as a fraction of the elapsed time.
MAX_CLOCK_DRIFT = 2e-4


class UpdateDelay:
    """Compares the transit time of each update with the shortest one so far.

    The two instances share no clock. The offset between their clocks is the same for all
    updates, so the time that an update takes beyond the fastest one was spent in queues or
    on a faulty link. Without this measure, updates from behind a congested link would pass
    for current however old they are.
    """

    def __init__(self) -> None:
        self._start = ""
        # Receive time minus send time of the fastest update, each by its own clock; allowed
        # to grow by the drift since the previous update, which came at `_received_at`.
        self._min_difference = float("inf")
        self._received_at = 0.0

    def seconds(self, start: str, sent_at: float) -> float:
        """Return the delay of an update that was sent at ``sent_at`` of the leader's clock.

        ``start`` is the id of the leader's process: each process has a clock of its own.
        """
        now = time.monotonic()
        if start != self._start:
            self._start, self._min_difference = start, float("inf")
        max_difference = self._min_difference + (now - self._received_at) * MAX_CLOCK_DRIFT
        self._min_difference = min(max_difference, now - sent_at)
        self._received_at = now
        return now - sent_at - self._min_difference
