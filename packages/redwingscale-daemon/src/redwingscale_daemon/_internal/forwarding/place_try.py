"""One request's search for a place at a holder."""

import time
from collections.abc import Callable

from redwingscale_daemon._internal.admission.place_queue import (
    Decision,
    Offer,
    PlaceQueue,
    PlaceTicket,
    Verdict,
)
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.chooser import PROMPT_TOKENS_PER_MS, Candidate
from redwingscale_daemon._internal.fleet.load_tracker import LoadTracker
from redwingscale_daemon._internal.forwarding.place_rule import Holders

MILLISECONDS_PER_SECOND = 1000.0
LEAST_RETRY_SECONDS = 0.3
# A waiting request looks at its holders at each announcement of their load, and after this
# time for the changes in the load of its own instance.
RECHECK_SECONDS = 0.1


class PlaceTry:
    """Decides again for each new load of the holders; `end` must follow.

    While the request waits, its tokens are announced as waiting at the holders, in equal
    parts: any of them may be the first with room. Only some requests share the room that becomes free with those
    of other instances, so the others are not announced.
    """

    def __init__(
        self,
        ticket: PlaceTicket,
        queue: PlaceQueue,
        found: Candidate,
        holders: Holders,
        load_tracker: LoadTracker,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.ticket = ticket
        self.found = found
        self._queue = queue
        self._holders = holders
        self._load_tracker = load_tracker
        self._clock = clock
        self._begun_at = clock()
        self._decided_at = float("-inf")
        self._announcement = 0.0
        # The tokens announced, by holder.
        self._announced: dict[str, int] = {}
        self.waited = False

    def decide(self) -> Verdict:
        """Return what to do now, for a holder of a sample.

        The best of all holders is used only if the request would be refused otherwise:
        all instances would send to the same one at once.
        """
        now = self._decided_at = self._clock()
        self._announcement = self._load_tracker.announcement()
        if self.waited:
            self.found = self._holders.again() or self.found
        verdict = self._decide(now, best=False)
        if verdict.decision is Decision.REFUSE:
            self.found = self._holders.best() or self.found
            verdict = self._decide(now, best=True)
        if verdict.decision is Decision.WAIT and not self.waited:
            self.waited = True
            self._announce()
        return verdict

    def result(self, verdict: Verdict) -> Candidate | Refusal:
        """Return the holder by a verdict to send, or why there is none."""
        refusal = self._holders.refusal(self.found)
        if refusal is not None:
            return refusal
        if verdict.decision is Decision.SEND:
            return self.found
        queue, limit = self.queue_seconds, self.ticket.arrival.limit_at(self._clock())
        return Refusal(
            503,
            "beyond_share" if self.ticket.arrival.beyond_share else "overloaded",
            f"{self.found.upstream.id} has {queue:.2f} s of others, of which rank "
            f"{self.ticket.arrival.rank} may join {limit:.2f} s ({verdict.reason})",
            retry_after_seconds=max(LEAST_RETRY_SECONDS, queue - limit),
        )

    def end(self) -> None:
        """Leave the queue, however the request has ended; a second call does nothing."""
        self._queue.leave(self.ticket)
        announced, self._announced = self._announced, {}
        for key, tokens in announced.items():
            self._load_tracker.add_waiting(key, -tokens)

    @property
    def due(self) -> bool:
        """Whether the load of the holders may have changed since the last decision."""
        return (
            self._clock() - self._decided_at >= RECHECK_SECONDS
            or self._load_tracker.announcement() != self._announcement
        )

    @property
    def queue_seconds(self) -> float:
        """The time that the holder found last needs to read its unread prompts.

        Requests that it only generates for delay a first event as well, but take no room.
        """
        return _reading_ms(self.found) / MILLISECONDS_PER_SECOND

    @property
    def wait_seconds(self) -> float:
        """The time that the request would spend behind others at the holder found last."""
        return self.found.queue_ms / MILLISECONDS_PER_SECOND

    @property
    def waited_seconds(self) -> float:
        """The seconds since the search began."""
        return self._clock() - self._begun_at

    def _decide(self, now: float, *, best: bool) -> Verdict:
        refused = self._holders.refusal(self.found) is not None
        return self._queue.decide(self.ticket, self._offer(refused=refused, best=best), now)

    def _announce(self) -> None:
        if not self.ticket.arrival.shares_room:
            return
        holders = self._holders.ids()
        tokens = self.ticket.arrival.tokens // max(1, len(holders))
        self._announced = dict.fromkeys(holders, tokens)
        for key in holders:
            self._load_tracker.add_waiting(key, tokens)

    def _offer(self, *, refused: bool, best: bool) -> Offer:
        return Offer(
            self.queue_seconds,
            self.wait_seconds,
            sum(self._load_tracker.total(key).waiting for key in self._holders.ids()),
            PROMPT_TOKENS_PER_MS * MILLISECONDS_PER_SECOND,
            self._load_tracker.announcement(),
            refused,
            best,
        )


def _reading_ms(found: Candidate) -> float:
    estimate = found.estimate
    if estimate is None:
        return found.queue_ms
    return min(found.queue_ms, estimate.ahead.queue_ms * estimate.slowness)
