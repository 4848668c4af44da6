"""Reads the events of a stream ahead of their delivery."""

import itertools
from collections.abc import Iterator

from redwingscale_daemon._internal.forwarding.events import Event
from redwingscale_daemon._internal.forwarding.stream_progress import Progress


class EventReader:
    """Reads events, and keeps those that were read before they are wanted."""

    def __init__(self, events: Iterator[Event]) -> None:
        self._events = events

    def read_next(self, progress: Progress) -> None:
        """Read up to the event that follows ``progress``; raises as `read_events` does."""
        for event in self._events:
            if progress.is_next(event):
                self._events = itertools.chain([event], self._events)
                return

    def __iter__(self) -> Iterator[Event]:
        return self._events
