"""Decides which of the requests for a unit are sent, wait for a place, or are refused."""

import random
import threading
from enum import Enum
from typing import NamedTuple

from redwingscale_daemon._internal.admission.fair_queue import FairQueue, Place
from redwingscale_daemon._internal.admission.place_request import PlaceRequest

# A request waits only if it has more time than until the next look at its holders.
MIN_SPARE_SECONDS = 0.05
# Of the requests of each rank that would be refused for their rank or workspace, this
# fraction is sent: none starves, however many more urgent ones there are.
GUARANTEED_FRACTION = 0.1
MAX_WAITING = 16


class Decision(Enum):
    """What to do with a request now."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class Verdict(NamedTuple):
    """A decision and its reason."""

    decision: Decision
    reason: str


class Offer(NamedTuple):
    """The holder found: its queue, how long a request waits behind it, and the tokens that wait at all instances for any holder.

    ``tokens_per_second`` is its speed. ``announcement`` differs whenever the load of the
    holders is announced anew. ``refused`` if no request may join it now, whatever its rank.
    ``best`` if no other holder has less queue.
    """

    queue_seconds: float
    wait_seconds: float
    waiting_tokens: int
    tokens_per_second: float
    announcement: float
    refused: bool = False
    best: bool = True


class PlaceTicket:
    """A request in the decision, and its place while it waits."""

    def __init__(self, arrival: PlaceRequest) -> None:
        self.arrival = arrival
        self.place: Place[PlaceTicket] | None = None
        self.shed = False
        self.drawn_at: float | None = None


class PlaceQueue:
    """The waiting requests of one instance for one unit, in weighted fair order.

    Answers some sixty instances, each with one or two streams a second, that see a free
    place at the same time: patient requests of all instances that wait for a holder are
    sent with a probability that fills its room once.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._lock = threading.Lock()
        self._queue: FairQueue[PlaceTicket] = FairQueue()
        self._guaranteed: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def decide(self, ticket: PlaceTicket, offer: Offer, now: float) -> Verdict:
        """Return what to do with a request; it stays in the queue as long as it waits."""
        with self._lock:
            verdict = self._decide(ticket, offer, now)
            match verdict.decision:
                case Decision.WAIT:
                    self._wait(ticket)
                    if ticket.shed:
                        return Verdict(Decision.REFUSE, "queue_full")
                case Decision.SEND:
                    self._send(ticket)
                case Decision.REFUSE:
                    self._drop(ticket)
            return verdict

    def leave(self, ticket: PlaceTicket) -> None:
        """Drop a request that is neither sent nor refused: its caller has left."""
        with self._lock:
            self._drop(ticket)

    def _decide(self, ticket: PlaceTicket, offer: Offer, now: float) -> Verdict:
        request = ticket.arrival
        if ticket.shed:
            return Verdict(Decision.REFUSE, "queue_full")
        limit = request.limit_at(now)
        spare = request.spare_at(now, offer.wait_seconds)
        reason = "beyond_share" if request.beyond_share else "rank_limit"
        if offer.refused:
            # Those that can wait do so until the requests that are due have begun.
            waits = request.limit.patient and spare > MIN_SPARE_SECONDS
            return Verdict(Decision.WAIT if waits else Decision.REFUSE, "too_late")
        if offer.queue_seconds <= limit:
            if spare <= MIN_SPARE_SECONDS or self._has_turn(ticket, offer, limit, now):
                return Verdict(Decision.SEND, "room")
            reason = "behind_others"
        if spare > MIN_SPARE_SECONDS:
            return Verdict(Decision.WAIT, reason)
        if offer.best and self._is_guaranteed(request.rank):
            return Verdict(Decision.SEND, "guaranteed")
        return Verdict(Decision.REFUSE, reason)

    def _has_turn(self, ticket: PlaceTicket, offer: Offer, limit: float, now: float) -> bool:
        request = ticket.arrival
        if self._ahead(ticket, offer, now):
            return False
        if not request.shares_room or not (offer.waiting_tokens or request.beyond_share):
            return True
        if request.beyond_share and ticket.place is None:
            # The others learn of it first: such requests are many.
            ticket.drawn_at = offer.announcement
        if ticket.drawn_at == offer.announcement:
            return False
        ticket.drawn_at = offer.announcement
        room = (limit - offer.queue_seconds) * offer.tokens_per_second
        others = sum(p.ticket.arrival.shares_room for p in self._queue if p.ticket is not ticket)
        # A new arrival is not among the waiting ones yet, and holders may have changed.
        added = 0 if ticket.place else request.tokens
        waiting = max(1, request.tokens, offer.waiting_tokens + added)
        return self._random.random() < (1 + others) * room / waiting

    def _ahead(self, ticket: PlaceTicket, offer: Offer, now: float) -> bool:
        """Return whether one before ``ticket`` may join the same queue, and is as urgent."""
        place, request = ticket.place or self._queue.place(ticket), ticket.arrival
        return any(
            one < place
            and one.ticket.arrival.rank <= request.rank
            and one.ticket.arrival.shares_room <= request.shares_room
            and one.ticket.arrival.limit_at(now) >= offer.queue_seconds
            for one in self._queue
        )

    def _is_guaranteed(self, rank: int) -> bool:
        credit = self._guaranteed.get(rank, 0.0) + GUARANTEED_FRACTION
        sent = credit >= 1.0
        self._guaranteed[rank] = credit - sent
        return sent

    def _wait(self, ticket: PlaceTicket) -> None:
        if ticket.place is not None:
            return
        ticket.place = self._queue.place(ticket)
        self._queue.add(ticket.place)
        if len(self._queue) > MAX_WAITING:
            last = self._queue.last().ticket
            last.shed = True
            self._drop(last)

    def _send(self, ticket: PlaceTicket) -> None:
        self._queue.admit(ticket.place or self._queue.place(ticket))
        ticket.place = None

    def _drop(self, ticket: PlaceTicket) -> None:
        if ticket.place is not None:
            self._queue.drop(ticket.place)
            ticket.place = None
