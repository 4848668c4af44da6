"""Corrects the prefix index by engines' cache events, which may be late or incomplete."""

from collections.abc import Sequence

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.models.cache_event import CacheEvent
from redwingscale_daemon._internal.routing.prefix_index import PrefixIndex

MAX_EVENT_AGE_SECONDS = 2.0
"""Age of the oldest event that a poll may return: a block routed since may be cached again."""


class CacheFeed:
    """Applies the events of each engine in the order of their sequence numbers.

    A gap may hide any eviction, and a lower number means that the engine has restarted
    with an empty cache. In both cases all earlier entries of the engine may be wrong,
    so they are dropped.
    """

    def __init__(self, index: PrefixIndex) -> None:
        self._index = index
        self._last_by_engine: dict[str, int] = {}

    def since(self, engine: str) -> int:
        """Return the number after which to poll ``engine``, so that its last event is repeated.

        A restarted engine has lower numbers than the last one, and would return no events
        for hours. A response without the last event reveals the restart.
        """
        return max(0, self._last_by_engine.get(engine, 0) - 1)

    def take(self, engine: str, events: Sequence[CacheEvent], now: float) -> None:
        """Apply the ``events`` polled at ``now``, a monotonic time."""
        cutoff = now - MAX_EVENT_AGE_SECONDS
        ordered = sorted(events)
        last = self._last_by_engine.pop(engine, 0)
        if last and (not ordered or ordered[0].sequence != last):
            self._forget(engine, cutoff, last, ordered[0].sequence if ordered else 0)
            last = ordered[0].sequence - 1 if ordered else 0
        for event in ordered:
            if event.sequence == last:
                continue
            if last and event.sequence != last + 1:
                self._forget(engine, cutoff, last, event.sequence)
            last = event.sequence
            if event.stored:
                self._index.add(engine, [event.digest], now)
            else:
                self._index.discard(engine, event.digest, cutoff)
        if last:
            self._last_by_engine[engine] = last

    def _forget(self, engine: str, before: float, last: int, following: int) -> None:
        log_event("cache_events_gap", upstream=engine, last=last, next=following)
        self._index.forget(engine, before)
