"""Begun streams that wait for a unit at one software version."""

import threading
import time
from collections import defaultdict
from collections.abc import Iterable
from itertools import chain
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.messages import BoundWait, InstanceUpdate

# Each update of an instance replaces its previous one; those of one that is silent for longer
# are ignored.
FRESH_SECONDS = 1.5


class _Key(NamedTuple):
    service: str
    unit: Unit
    software: str


class LocalBoundWaits:
    """Counts the waits of this instance."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._ends_at: dict[_Key, list[float]] = defaultdict(list)

    def begin(self, service: str, unit: Unit, software: str, max_wait_seconds: float) -> None:
        """Count a stream that waits for ``unit`` at ``software`` for up to ``max_wait_seconds``."""
        with self._lock:
            ends_at = time.monotonic() + max_wait_seconds
            self._ends_at[_Key(service, unit, software)].append(ends_at)

    def end(self, service: str, unit: Unit, software: str) -> None:
        """Remove a stream that no longer waits."""
        key = _Key(service, unit, software)
        with self._lock:
            self._ends_at[key].pop(0)
            if not self._ends_at[key]:
                del self._ends_at[key]

    def entries(self) -> list[BoundWait]:
        """Return the waits of this moment."""
        now = time.monotonic()
        with self._lock:
            return [
                BoundWait(
                    key.service,
                    key.unit.model,
                    key.unit.adapter,
                    key.software,
                    len(ends_at),
                    max(ends_at) - now,
                )
                for key, ends_at in self._ends_at.items()
            ]


class BoundWaits:
    """The waits of all instances, at the leader."""

    def __init__(self) -> None:
        self._by_instance: dict[str, tuple[float, list[BoundWait]]] = {}

    def receive(self, update: InstanceUpdate) -> bool:
        """Take an instance's update; return whether streams wait there."""
        self._by_instance[update.instance] = (time.monotonic(), update.bound_waits)
        return bool(update.bound_waits)

    def all(self) -> Iterable[BoundWait]:
        """Return the waits that instances have told lately."""
        since = time.monotonic() - FRESH_SECONDS
        fresh = {key: told for key, told in list(self._by_instance.items()) if told[0] > since}
        self._by_instance = fresh
        return chain.from_iterable(waits for _, waits in fresh.values())
