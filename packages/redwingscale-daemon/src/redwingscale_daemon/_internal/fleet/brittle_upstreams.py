"""Keeps brittle upstreams from having to reject requests."""

import threading
import time
import zlib
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.load_tracker import LoadTracker
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# Fraction of the rejections that a brittle upstream bears which all instances together may
# cause: other callers than these may cause some as well.
REJECTIONS_FRACTION = 0.5
# With fewer places than instances, the instances that may send one request change this often:
# as often as they announce their load.
TURN_SECONDS = 0.25


class _Room(NamedTuple):
    """The requests that an upstream ran at once when it rejected one, at a monotonic time."""

    requests: int
    rejected_at: float


class BrittleUpstreams:
    """What upstreams say they bear, by id, and whether there is room for one more request.

    A brittle upstream falls over if it has to reject more than some requests in a second,
    from all instances together. Each instance therefore sends no more than the upstream
    runs at once: up to its share, or while the announced load of all leaves room for every
    instance, or in its turn. The rest waits here, goes elsewhere or is refused. After a
    rejection the instance pauses, and assumes the room that was found, which grows by one in
    the time of a pause.
    """

    def __init__(
        self,
        instance: str,
        directory: UpstreamDirectory,
        load_tracker: LoadTracker,
        instances: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._instance = instance
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
        return self._pause_seconds(rejections)

    def has_room(self, upstream_id: str) -> bool:
        """Return whether this instance may send one more request, False to wait."""
        upstream = self._directory.get(upstream_id)
        rejections = self._rejections_by_id.get(upstream_id)
        if upstream is None or rejections is None:
            return True
        instances = max(1, self._instances())
        room = self._room(upstream_id, upstream.slots, rejections)
        own = self._load_tracker.own_at(upstream_id).requests
        total = self._load_tracker.total(upstream_id).requests
        # Every other instance may send one until its load is announced.
        if own < room // instances or total + instances <= room:
            return total < room
        return own == 0 and total < room and self._has_turn(upstream_id, room / instances)

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._rejections_by_id.pop(key, None)
                self._room_by_id.pop(key, None)

    def _has_turn(self, upstream_id: str, fraction: float) -> bool:
        """Return whether this instance is in the random ``fraction`` that may send now."""
        turn = int(self._clock() / TURN_SECONDS)
        drawn = zlib.crc32(f"{self._instance}/{upstream_id}/{turn}".encode())
        return drawn < fraction * 2**32

    def _pause_seconds(self, rejections: float) -> float:
        allowed = max(rejections, 1.0) * REJECTIONS_FRACTION
        return max(1, self._instances()) / allowed

    def _room(self, upstream_id: str, slots: int, rejections: float) -> int:
        """Return how many requests the upstream is assumed to run at once."""
        found = self._room_by_id.get(upstream_id)
        if found is None:
            return max(1, slots)
        grown = int((self._clock() - found.rejected_at) / self._pause_seconds(rejections))
        return max(1, min(slots, found.requests + grown))


def _for_log(value: float | None) -> float | str:
    return "-" if value is None else value
