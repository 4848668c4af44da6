"""Admits requests in fair order and refuses those that cannot meet their deadline."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Generator, Iterator
from contextlib import contextmanager
from typing import NamedTuple, Protocol

from redwingscale_daemon._internal.admission.arrival import Arrival
from redwingscale_daemon._internal.admission.capacity import Room
from redwingscale_daemon._internal.admission.fair_queue import FairQueue, Place
from redwingscale_daemon._internal.admission.service_rates import Completion, ServiceRates
from redwingscale_daemon._internal.admission.ticket import Ticket
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.models.generation import EndEvent, StreamEvent

RECHECK_SECONDS = 0.05
# An admitted request counts as in flight only once its attempt starts. Until then, but
# at most for this time, it is subtracted from the room.
DISPATCH_SECONDS = 0.02
MIN_RETRY_AFTER_SECONDS = 0.5
# Fraction of its spare time that the estimated wait of a new arrival may use. With 1.0 the
# queue would grow to the longest that can meet its deadlines, and half of the waiting
# requests would be refused late.
WAIT_FRACTION = 0.6
RESERVED_DIVISOR = 10
QUEUE_DIVISOR = 5


class GateLimits(NamedTuple):
    """How many requests may run and wait at the same time in this instance."""

    running: int
    waiting: int


def gate_limits(threads: int) -> GateLimits:
    """Split the request threads; the remaining ones serve refusals and probes."""
    waiting = max(1, threads // QUEUE_DIVISOR)
    reserved = max(2, threads // RESERVED_DIVISOR)
    return GateLimits(max(1, threads - waiting - reserved), waiting)


class RoomSource(Protocol):
    """Returns how many more requests the engines can run; implemented by `Capacity`."""

    def room(self, unit: str) -> Room | None: ...


class Gate:
    """Admits, queues or refuses requests under one lock; each thread waits on its own ticket."""

    def __init__(
        self,
        limits: GateLimits,
        capacity: RoomSource,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._limits = limits
        self._capacity = capacity
        self._clock = clock
        self._lock = threading.Lock()
        self._queue: FairQueue[Ticket] = FairQueue()
        self._rates = ServiceRates()
        self._running: Counter[str] = Counter()
        self._dispatching: list[Ticket] = []

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._queue)

    @contextmanager
    def admitted(self, arrival: Arrival) -> Iterator[Ticket]:
        """Run the block as an admitted request; raise `Refusal` if it is not admitted."""
        ticket = self.enter(arrival)
        try:
            yield ticket
        finally:
            self.leave(ticket)

    def enter(self, arrival: Arrival) -> Ticket:
        """Block until the request may run; raise `Refusal` once it cannot meet its deadline."""
        ticket = self.offer(arrival)
        while not ticket.is_decided(RECHECK_SECONDS):
            # A newer report may show room without a request ending in this instance.
            self.recheck()
        if ticket.refusal is not None:
            raise ticket.refusal
        return ticket

    def leave_after(self, ticket: Ticket, events: Iterator[StreamEvent]) -> Iterator[StreamEvent]:
        """Yield ``events``, then call `leave`; the first event must have arrived already."""
        first_at = self._clock()
        try:
            for event in events:
                if isinstance(event, EndEvent):
                    self._record(ticket, event.total, first_at)
                yield event
        finally:
            # Closing the generator signals to the relay that the caller disconnected.
            if isinstance(events, Generator):
                events.close()
            self.leave(ticket)

    def offer(self, arrival: Arrival) -> Ticket:
        """Return a ticket that is admitted, refused, or waits for `recheck` or `leave`."""
        ticket = Ticket(arrival)
        with self._lock:
            # If room has appeared since the last check, waiting requests precede the new one.
            self._admit_waiting()
            self._decide(ticket)
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """End an admitted request and admit waiting ones."""
        with self._lock:
            self._running[ticket.arrival.unit] -= 1
            self._admit_waiting()

    def recheck(self) -> None:
        """Admit requests that have room, refuse those that can no longer meet their deadline."""
        with self._lock:
            self._admit_waiting()

    def _record(self, ticket: Ticket, tokens: int, first_at: float) -> None:
        assert ticket.admitted_at is not None
        completion = Completion(
            max_tokens=ticket.arrival.max_tokens,
            tokens=tokens,
            first_token_seconds=first_at - ticket.admitted_at,
            total_seconds=self._clock() - ticket.admitted_at,
        )
        with self._lock:
            self._rates.record(ticket.arrival.unit, completion)

    def _decide(self, ticket: Ticket) -> None:
        place = self._queue.place(ticket)
        if self._has_room(ticket.arrival):
            self._refuse_if_late(ticket, wait_seconds=0.0)
            if ticket.refusal is None:
                self._admit(place)
            return
        self._refuse_if_late(ticket, self._expected_wait_seconds(place))
        if ticket.refusal is None:
            self._queue.add(place)
            self._shed()

    def _admit(self, place: Place[Ticket]) -> None:
        now = self._clock()
        self._queue.admit(place)
        self._running[place.ticket.arrival.unit] += 1
        self._dispatching.append(place.ticket)
        place.ticket.admit(now)

    def _admit_waiting(self) -> None:
        full_units: set[str] = set()
        for place in self._queue:
            unit = place.ticket.arrival.unit
            self._refuse_if_late(place.ticket, wait_seconds=0.0)
            if place.ticket.refusal is not None:
                self._queue.drop(place)
            elif unit not in full_units and self._has_room(place.ticket.arrival):
                self._admit(place)
            else:
                full_units.add(unit)

    def _shed(self) -> None:
        """Refuse the last in fair order if too many wait: its flow most exceeds its share."""
        if len(self._queue) <= self._limits.waiting:
            return
        last = self._queue.last()
        self._queue.drop(last)
        last.ticket.refuse(
            Refusal(
                429,
                "overloaded",
                "more requests wait than fit, and this caller is the furthest above its share",
                retry_after_seconds=max(MIN_RETRY_AFTER_SECONDS, self._expected_wait_seconds(last)),
            )
        )

    def _refuse_if_late(self, ticket: Ticket, wait_seconds: float) -> None:
        arrival = ticket.arrival
        expected = self._rates.expected_seconds(arrival.unit, arrival.max_tokens)
        wait_needed = wait_seconds / WAIT_FRACTION
        late = self._clock() + wait_needed + expected - arrival.deadline_at
        if late <= 0:
            return
        ticket.refuse(
            Refusal(
                503,
                "deadline_unreachable",
                f"it could take {wait_needed + expected:.2f} s, {late:.2f} s too long",
                retry_after_seconds=max(MIN_RETRY_AFTER_SECONDS, min(late, wait_needed)),
            )
        )

    def _has_room(self, arrival: Arrival) -> bool:
        if self._running.total() >= self._limits.running:
            return False
        room = self._capacity.room(arrival.unit) if arrival.unit else None
        return room is None or room.free - self._count_dispatching(arrival.unit) >= 1

    def _count_dispatching(self, unit: str) -> int:
        horizon = self._clock() - DISPATCH_SECONDS
        self._dispatching = [
            t for t in self._dispatching if t.admitted_at is not None and t.admitted_at > horizon
        ]
        return sum(t.arrival.unit == unit for t in self._dispatching)

    def _expected_wait_seconds(self, place: Place[Ticket]) -> float:
        """Return how long the ticket of ``place`` is expected to wait."""
        arrival = place.ticket.arrival
        expected = self._rates.expected_seconds(arrival.unit, arrival.max_tokens)
        ahead = sum(p < place and p.ticket.arrival.unit == arrival.unit for p in self._queue)
        room = self._capacity.room(arrival.unit) if arrival.unit else None
        slots = room.slots if room else self._limits.running
        return (ahead + 1) * expected / max(1.0, slots)
