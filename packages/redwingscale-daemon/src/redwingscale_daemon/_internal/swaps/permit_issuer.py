"""Issues permits to send requests to upstreams with a rate limit."""

import threading
import time
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.rate_limit_messages import PermitEntry, RateLimitEntry
from redwingscale_daemon._internal.fleet.rate_limits import MIN_PER_SECOND
from redwingscale_daemon._internal.fleet.send_permits import MAX_DELAY_SECONDS, PERMIT_SECONDS

# How long an entry counts after the update of the instance that contained it.
ENTRY_FRESH_SECONDS = 1.0
# The most permits that accumulate while no instance needs any: those of CAPACITY_SECONDS,
# or MIN_CAPACITY_PERMITS if these are more.
MIN_CAPACITY_PERMITS = 2.0
CAPACITY_SECONDS = 0.5
# Negative, as requests sent just before a limit was advertised count in its first window.
INITIAL_LEVEL_PERMITS = -1.5
# The former leader may have issued permits until just before this one begins.
HANDOVER_PAUSE_SECONDS = PERMIT_SECONDS + MAX_DELAY_SECONDS


class _Received(NamedTuple):
    received_at: float
    entry: RateLimitEntry


class _Bucket:
    """The token bucket of one upstream; ``per_second`` is its limit as observed at ``seen_at``."""

    def __init__(self, now: float) -> None:
        self.per_second: float | None = None
        self.seen_at = float("-inf")
        self.level = INITIAL_LEVEL_PERMITS
        self.refilled_at = now
        self.received_by_instance: dict[str, _Received] = {}
        # For a turn among instances: the one issued to least recently is next.
        self.issued_at_by_instance: dict[str, float] = {}


class PermitIssuer:
    """Keeps one token bucket per upstream, for all instances together.

    Instances that each applied the limit separately would together send many times as much.
    Equal shares of the limit would be wasted if only a few instances have requests for the
    upstream. A permit issued in one place counts once, whatever the number of instances.
    """

    def __init__(
        self,
        limited_ids: Callable[[], Collection[str]] = tuple,
        is_listed: Callable[[str], bool] = lambda _: True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        # The limits known to this instance itself, until updates of the others arrive.
        self._limited_ids = limited_ids
        self._is_listed = is_listed
        self._clock = clock
        self._lock = threading.Lock()
        self._by_id: dict[str, _Bucket] = {}
        # Whether a limit has changed since the last issue.
        self._limit_changed = False
        self._leading_since = clock()

    def begin(self) -> None:
        """Drop all state when this instance becomes the leader.

        The permits issued by the former leader are unknown, so none are issued during the
        handover pause.
        """
        with self._lock:
            self._by_id = {}
            self._leading_since = self._clock()

    def receive(self, instance: str, entries: Iterable[RateLimitEntry]) -> bool:
        """Take the entries of an update; return whether requests wait or a limit has changed."""
        now = self._clock()
        waiting, changed = 0, False
        with self._lock:
            for entry in entries:
                if not self._is_listed(entry.upstream):
                    continue
                bucket = self._by_id.get(entry.upstream)
                if bucket is None:
                    bucket = self._by_id[entry.upstream] = _Bucket(now)
                if now - entry.age > bucket.seen_at:
                    changed = changed or bucket.per_second != entry.per_second
                    bucket.per_second, bucket.seen_at = entry.per_second, now - entry.age
                bucket.received_by_instance[instance] = _Received(now, entry)
                waiting += entry.waiting
            self._limit_changed = self._limit_changed or changed
        return changed or waiting > 0

    def draw(self, upstream_id: str) -> bool:
        """Use one permit for a call of the leader itself; return whether the call is allowed."""
        with self._lock:
            bucket = self._by_id.get(upstream_id)
            if bucket is None:
                return upstream_id not in self._limited_ids()
            if bucket.per_second is None:
                return True
            if self._refill(bucket) < 1:
                return False
            bucket.level -= 1
            return True

    def issue(self, *, all_limits: bool) -> list[PermitEntry]:
        """Issue permits; return the limits of the upstreams for which any were issued.

        With ``all_limits``, or if any limit has changed, return the limits of all upstreams.
        """
        with self._lock:
            all_limits, self._limit_changed = all_limits or self._limit_changed, False
            entries = [self._entry(key, bucket) for key, bucket in self._by_id.items()]
        return [entry for entry in entries if all_limits or entry.permits_by_instance]

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop the state of upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._by_id.pop(key, None)

    def _entry(self, upstream_id: str, bucket: _Bucket) -> PermitEntry:
        now = self._clock()
        entries_by_instance = {
            name: one.entry
            for name, one in bucket.received_by_instance.items()
            if now - one.received_at < ENTRY_FRESH_SECONDS
        }
        permits = (
            {} if bucket.per_second is None else self._distribute(bucket, entries_by_instance, now)
        )
        if permits:
            log_event(
                "permits_issued",
                upstream=upstream_id,
                per_second=bucket.per_second,
                age=round(now - bucket.seen_at, 3),
                left=round(bucket.level, 2),
                permits=",".join(f"{name}:{count}" for name, count in permits.items()),
            )
        waiting = sum(entry.waiting for entry in entries_by_instance.values())
        age = round(now - bucket.seen_at, 3)
        return PermitEntry(upstream_id, bucket.per_second, age, waiting, permits)

    def _distribute(
        self, bucket: _Bucket, entries_by_instance: dict[str, RateLimitEntry], now: float
    ) -> dict[str, int]:
        """Issue permits, first to the instances whose requests have waited longest.

        These requests have no other upstream. Instances that could also use other upstreams
        get permits only if no request waits and the bucket has `MIN_CAPACITY_PERMITS`: the
        responses to their requests show when the limit has ended.
        """
        left = max(0, int(self._refill(bucket)))
        recipients = sorted(
            (name for name, entry in entries_by_instance.items() if entry.waiting),
            key=lambda name: entries_by_instance[name].longest_wait,
            reverse=True,
        )
        if not recipients and bucket.level >= MIN_CAPACITY_PERMITS:
            recipients = sorted(
                (name for name, entry in entries_by_instance.items() if entry.wanted),
                key=lambda name: bucket.issued_at_by_instance.get(name, 0.0),
            )
        permits_by_instance: dict[str, int] = {}
        for name in recipients:
            if not left:
                break
            permits_by_instance[name] = min(left, _usable_permits(entries_by_instance[name]))
            left -= permits_by_instance[name]
        bucket.level -= sum(permits_by_instance.values())
        bucket.issued_at_by_instance.update(dict.fromkeys(permits_by_instance, now))
        return permits_by_instance

    def _refill(self, bucket: _Bucket) -> float:
        now = self._clock()
        per_second = max(bucket.per_second or 0.0, MIN_PER_SECOND)
        refill_from = max(bucket.refilled_at, self._leading_since + HANDOVER_PAUSE_SECONDS)
        capacity = max(MIN_CAPACITY_PERMITS, per_second * CAPACITY_SECONDS)
        bucket.level = min(capacity, bucket.level + max(0.0, now - refill_from) * per_second)
        bucket.refilled_at = now
        return bucket.level


def _usable_permits(entry: RateLimitEntry) -> int:
    """Return how many permits an instance can use before they expire."""
    return max(1, entry.waiting, round(entry.used * PERMIT_SECONDS))
