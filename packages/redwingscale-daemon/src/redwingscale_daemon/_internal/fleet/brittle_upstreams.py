"""Keeps brittle upstreams from having to reject requests."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.load_tracker import LoadTracker
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# Fraction of the rejections that a brittle upstream bears which all instances together may
# cause: other callers than these may cause some as well.
REJECTIONS_FRACTION = 0.5
# An upstream that has rejected a request gets one more at once after this time, from one of
# all instances.
GROWTH_SECONDS = 2.0


class _Room(NamedTuple):
    """The requests that an upstream ran at once when it rejected one, at a monotonic time."""

    requests: int
    rejected_at: float


class BrittleUpstreams:
    """What upstreams say they bear, by id, and whether there is room for one more request.

    A brittle upstream falls over if it has to reject more than some requests in a second,
    from all instances together. Each instance therefore sends no more than the upstream
    runs at once: up to its share, or while the announced load of all leaves room for every
    instance. The rest waits here, goes elsewhere or is refused. After a rejection the
    instance pauses, and assumes no more room than was found.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        load_tracker: LoadTracker,
        instances: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._directory = directory
        self._load_tracker = load_tracker
        self._instances = instances
        self._clock = clock
        self._lock = threading.Lock()
        # Rejections in a second that each bears.
        self._rejections_by_id: dict[str, float] = {}
        self._room_by_id: dict[str, _Room] = {}

    @property
    def known(self) -> bool:
        """Whether any upstream is brittle; if not, requests skip further checks."""
        return bool(self._rejections_by_id)

    def note(self, upstream_id: str, rejections_per_second: float | None) -> None:
        """Take what an answer says; None if the upstream bears any number."""
        before = self._rejections_by_id.get(upstream_id)
        if before == rejections_per_second:
            return
        with self._lock:
            if rejections_per_second is None:
                self._rejections_by_id.pop(upstream_id, None)
                self._room_by_id.pop(upstream_id, None)
            else:
                self._rejections_by_id[upstream_id] = rejections_per_second
        log_event(
            "upstream_brittle",
            upstream=upstream_id,
            rejections=_for_log(rejections_per_second),
            before=_for_log(before),
        )

    def note_rejected(self, upstream_id: str) -> float | None:
        """Note a request that was rejected for want of room.

        Returns for how many seconds this instance sends nothing, so that all instances
        together stay within what a brittle upstream bears. None for one that is not brittle.
        """
        rejections = self._rejections_by_id.get(upstream_id)
        if rejections is None:
            return None
        # The rejected request still counts.
        running = max(1, self._load_tracker.total(upstream_id).requests - 1)
        self._room_by_id[upstream_id] = _Room(running, self._clock())
        return max(1, self._instances()) / max(
            rejections * REJECTIONS_FRACTION, REJECTIONS_FRACTION
        )

    def has_room(self, upstream_id: str) -> bool:
        """Return whether this instance may send one more request, False to wait."""
        upstream = self._directory.get(upstream_id)
        if upstream is None or upstream_id not in self._rejections_by_id:
            return True
        instances = max(1, self._instances())
        room = self._room(upstream_id, upstream.slots, instances)
        total = self._load_tracker.total(upstream_id).requests
        if self._load_tracker.own_at(upstream_id).requests < room // instances:
            return total < room
        # Every other instance may send one until its load is announced.
        return total + instances <= room

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._rejections_by_id.pop(key, None)
                self._room_by_id.pop(key, None)

    def _room(self, upstream_id: str, slots: int, instances: int) -> int:
        """Return how many requests the upstream is assumed to run at once."""
        found = self._room_by_id.get(upstream_id)
        if found is None:
            return max(1, slots)
        grown = int((self._clock() - found.rejected_at) / (GROWTH_SECONDS * instances))
        return max(1, min(slots, found.requests + grown))


def _for_log(value: float | None) -> float | str:
    return "-" if value is None else value
