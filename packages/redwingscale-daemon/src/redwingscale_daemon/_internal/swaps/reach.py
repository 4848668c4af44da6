"""Decides whether the leader still reaches a worker."""

import time
from collections.abc import Callable

# One call without an answer may be a lost packet, or a worker that was slow for a moment.
LOST_AFTER_CALLS = 2
# How long it counts as evidence that instances do not reach a worker either, or that another
# worker of its failure domain stopped answering.
SUSPICION_SECONDS = 2.0


class Reach:
    """Counts the calls to one worker that got no answer in a row, and weighs other evidence.

    Designed for the cut-off of a failure domain with 10 to 15 workers, of which some are in the
    middle of a swap. A call takes 0.5 to 0.6 s to time out: with two calls, or with one if there is
    other evidence, a worker is lost within a second of the first.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._unanswered = 0
        self._unanswered_since = 0.0
        self._suspected_at = float("-inf")
        self.lost = False

    @property
    def doubtful(self) -> bool:
        """Whether the latest call got no answer."""
        return self._unanswered > 0

    @property
    def newly_doubtful(self) -> bool:
        """Whether the worker stopped answering just now: others may be cut off with it."""
        return self.doubtful and self._clock() - self._unanswered_since < SUSPICION_SECONDS

    def note_answer(self) -> bool:
        """Record an answer; return whether the worker was lost."""
        was_lost, self.lost = self.lost, False
        self._unanswered = 0
        return was_lost

    def note_no_answer(self) -> bool:
        """Record a call without an answer; return whether the worker is lost from now on."""
        now = self._clock()
        if not self._unanswered:
            self._unanswered_since = now
        self._unanswered += 1
        suspected = now - self._suspected_at < SUSPICION_SECONDS
        was_lost = self.lost
        self.lost = was_lost or suspected or self._unanswered >= LOST_AFTER_CALLS
        return self.lost and not was_lost

    def suspect(self) -> bool:
        """Record evidence from others; return False if it is already known.

        A worker whose latest call got no answer is lost.
        """
        now = self._clock()
        if now - self._suspected_at < SUSPICION_SECONDS:
            return False
        self._suspected_at = now
        self.lost = self.lost or self.doubtful
        return True
