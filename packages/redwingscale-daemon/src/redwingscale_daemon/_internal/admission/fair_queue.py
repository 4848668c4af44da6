"""A queue of waiting requests in weighted fair order."""

import itertools
from bisect import insort
from collections.abc import Hashable, Iterator
from typing import Generic, NamedTuple, Protocol, TypeVar


class Queued(Protocol):
    """What the order depends on: the flow of a request, and the weight of the flow."""

    @property
    def flow(self) -> Hashable: ...

    @property
    def weight(self) -> float: ...


class QueuedTicket(Protocol):
    """A request that may wait in the queue."""

    @property
    def arrival(self) -> Queued: ...


T = TypeVar("T", bound=QueuedTicket)


class Place(NamedTuple, Generic[T]):
    """The place of a ticket in the queue: the lowest ``finish`` is first.

    ``start`` and ``finish`` are virtual times; ``order`` breaks ties by arrival.
    """

    finish: float
    order: int
    start: float
    ticket: T


class FairQueue(Generic[T]):
    """Orders requests of several flows by start-time fair queueing.

    The requests of a flow are spaced by the inverse of its weight in virtual time, so a
    flood delays only its own flow. Virtual time follows the request that was admitted
    last, so an idle flow gains no credit.
    """

    def __init__(self) -> None:
        self._order = itertools.count()
        self._virtual = 0.0
        self._finish_by_flow: dict[Hashable, float] = {}
        self._places: list[Place[T]] = []

    def __len__(self) -> int:
        return len(self._places)

    def __iter__(self) -> Iterator[Place[T]]:
        """Iterate over a copy of the places, first to last."""
        return iter(tuple(self._places))

    def place(self, ticket: T) -> Place[T]:
        """Return the place that ``ticket`` would have if it were added now."""
        arrival = ticket.arrival
        start = max(self._virtual, self._finish_by_flow.get(arrival.flow, 0.0))
        return Place(start + 1.0 / arrival.weight, next(self._order), start, ticket)

    def add(self, place: Place[T]) -> None:
        """Add ``place`` to the queue."""
        self._finish_by_flow[place.ticket.arrival.flow] = place.finish
        insort(self._places, place)

    def admit(self, place: Place[T]) -> None:
        """Remove ``place``, or skip the queue if it was not added, since its ticket runs next."""
        if place in self._places:
            self._places.remove(place)
        else:
            self._finish_by_flow[place.ticket.arrival.flow] = place.finish
        self._virtual = max(self._virtual, place.start)
        self._forget_idle_flows()

    def drop(self, place: Place[T]) -> None:
        """Remove ``place`` of a ticket that will not run, and refund its flow's virtual time."""
        self._places.remove(place)
        arrival = place.ticket.arrival
        if arrival.flow in self._finish_by_flow:
            self._finish_by_flow[arrival.flow] -= 1.0 / arrival.weight

    def last(self) -> Place[T]:
        """Return the last place; the queue must not be empty."""
        return self._places[-1]

    def _forget_idle_flows(self) -> None:
        # A flow without an entry starts at the virtual time, as it would with an earlier one.
        past = [f for f, finish in self._finish_by_flow.items() if finish <= self._virtual]
        for flow in past:
            del self._finish_by_flow[flow]
