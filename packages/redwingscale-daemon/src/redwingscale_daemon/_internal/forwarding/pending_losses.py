"""Requests that were lost with a connection, while it is not known whether the upstream crashed."""

import threading
import time
from collections.abc import Callable, Collection
from typing import NamedTuple

from redwingscale_daemon._internal.quarantine.part_record import RunParts
from redwingscale_daemon._internal.quarantine.record import Crash, Turn

# Evidence of a crash may come this long after the loss of a request.
PENDING_SECONDS = 5.0
MAX_PENDING = 1024
# The crash of an upstream that another instance reports counts for the losses there at most
# this long before or after: a connection that was cut at another time may not have run.
REPORTED_SECONDS = 1.0


class Loss(NamedTuple):
    """A request that was lost with a connection, at ``at`` on the monotonic clock.

    ``turn`` is the one it was lost in, None if it ran without a turn. ``run`` has its parts if
    one of them may have ended the upstream.
    """

    fingerprint: str
    crash: Crash
    at: float
    turn: Turn | None
    run: RunParts | None = None


class PendingLosses:
    """Losses without evidence so far, each kept for `PENDING_SECONDS`."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._losses_by_upstream: dict[str, list[Loss]] = {}
        # Monotonic times at which instances reported crashes.
        self._reported_at_by_upstream: dict[str, float] = {}

    def __contains__(self, upstream_id: str) -> bool:
        return upstream_id in self._losses_by_upstream

    def at(self, upstream_id: str) -> list[Loss]:
        """Return the losses at an upstream."""
        return list(self._losses_by_upstream.get(upstream_id, ()))

    def add(self, loss: Loss) -> None:
        """Add a loss unless there are `MAX_PENDING`, and drop the old ones."""
        oldest = time.monotonic() - PENDING_SECONDS
        with self._lock:
            kept = {
                key: [one for one in losses if one.at > oldest]
                for key, losses in self._losses_by_upstream.items()
            }
            self._losses_by_upstream = {key: losses for key, losses in kept.items() if losses}
            if sum(map(len, self._losses_by_upstream.values())) < MAX_PENDING:
                self._losses_by_upstream.setdefault(loss.crash.engine, []).append(loss)

    def take(self, upstream_id: str, counts: Callable[[Loss], bool]) -> list[Loss]:
        """Remove and return the losses at an upstream for which ``counts`` holds."""
        with self._lock:
            pending = self._losses_by_upstream.pop(upstream_id, [])
            taken = [loss for loss in pending if counts(loss)]
            if len(taken) < len(pending):
                kept = [loss for loss in pending if loss not in taken]
                self._losses_by_upstream[upstream_id] = kept
        oldest = time.monotonic() - PENDING_SECONDS
        return [loss for loss in taken if loss.at > oldest]

    def note_reported(self, upstream_ids: Collection[str]) -> list[str]:
        """Note crashes that an instance has reported; return those with losses."""
        now = time.monotonic()
        with self._lock:
            recent = {
                key: at
                for key, at in self._reported_at_by_upstream.items()
                if at > now - REPORTED_SECONDS
            }
            self._reported_at_by_upstream = recent | dict.fromkeys(upstream_ids, now)
            return [key for key in upstream_ids if key in self._losses_by_upstream]

    def is_reported(self, upstream_id: str) -> bool:
        """Return whether a crash was reported within `REPORTED_SECONDS`."""
        at = self._reported_at_by_upstream.get(upstream_id, float("-inf"))
        return at > time.monotonic() - REPORTED_SECONDS

    def clear(self) -> None:
        """Drop all losses."""
        with self._lock:
            self._losses_by_upstream = {}
