"""Issues permits to send to upstreams with a rate limit."""

import threading
import time
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.rate_limit_messages import PermitEntry, RateLimitEntry
from redwingscale_daemon._internal.fleet.rate_limits import MIN_PER_SECOND
from redwingscale_daemon._internal.fleet.send_permits import MAX_DELAY_SECONDS, PERMIT_SECONDS

# What an instance has told counts for this long without further news of it.
TOLD_SECONDS = 1.0
# Permits that are saved up while nobody asks.
MOST_SAVED = 2.0
SAVED_SECONDS = 0.5
# Requests just before a limit was advertised count in its first window as well.
FIRST_LEVEL = -1.5
# Another order giver may have issued permits until a moment before this one begins.
QUIET_SECONDS = PERMIT_SECONDS + MAX_DELAY_SECONDS


class _Told(NamedTuple):
    at: float
    entry: RateLimitEntry


class _Bucket:
    """One upstream's limit as of ``seen_at``, and the permits that it leaves."""

    def __init__(self, now: float) -> None:
        self.per_second: float | None = None
        self.seen_at = float("-inf")
        self.level = FIRST_LEVEL
        self.at = now
        self.told_by_instance: dict[str, _Told] = {}
        # Whoever was issued to least recently is next.
        self.issued_at_by_instance: dict[str, float] = {}


class PermitIssuer:
    """Keeps one token bucket an upstream, for all instances together.

    Instances that each kept the limit by themselves would send many times as much, and even
    parts are of no use where few instances are asked. A permit that one place issues is
    counted once, however many instances there are.
    """

    def __init__(
        self,
        limited: Callable[[], Collection[str]] = tuple,
        listed: Callable[[str], bool] = lambda _: True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        # What this instance knows by itself, until it has heard of the others.
        self._limited = limited
        self._listed = listed
        self._clock = clock
        self._lock = threading.Lock()
        self._by_id: dict[str, _Bucket] = {}
        # Whether a limit has changed since the last issue.
        self._changed = False
        self._begun_at = clock()

    def begin(self) -> None:
        """Forget all: what another order giver has issued is not known."""
        with self._lock:
            self._by_id = {}
            self._begun_at = self._clock()

    def receive(self, instance: str, entries: Iterable[RateLimitEntry]) -> bool:
        """Take what ``instance`` tells; return whether requests wait there, or a limit is new."""
        now = self._clock()
        waiting, changed = 0, False
        with self._lock:
            for entry in entries:
                if not self._listed(entry.upstream):
                    continue
                bucket = self._by_id.get(entry.upstream)
                if bucket is None:
                    bucket = self._by_id[entry.upstream] = _Bucket(now)
                if now - entry.age > bucket.seen_at:
                    changed = changed or bucket.per_second != entry.per_second
                    bucket.per_second, bucket.seen_at = entry.per_second, now - entry.age
                bucket.told_by_instance[instance] = _Told(now, entry)
                waiting += entry.waiting
            self._changed = self._changed or changed
        return changed or waiting > 0

    def draw(self, upstream_id: str) -> bool:
        """Use up one permit for a call of the order giver itself."""
        with self._lock:
            bucket = self._by_id.get(upstream_id)
            if bucket is None:
                return upstream_id not in self._limited()
            if bucket.per_second is None:
                return True
            if self._refill(bucket) < 1:
                return False
            bucket.level -= 1
            return True

    def issue(self, *, all_limits: bool) -> list[PermitEntry]:
        """Return the limits with the permits issued now.

        With ``all_limits``, and where one has changed, also those without any.
        """
        with self._lock:
            all_limits, self._changed = all_limits or self._changed, False
            entries = [self._entry(key, bucket) for key, bucket in self._by_id.items()]
        return [entry for entry in entries if all_limits or entry.permits_by_instance]

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._by_id.pop(key, None)

    def _entry(self, upstream_id: str, bucket: _Bucket) -> PermitEntry:
        now = self._clock()
        told = {
            name: one.entry
            for name, one in bucket.told_by_instance.items()
            if now - one.at < TOLD_SECONDS
        }
        permits = {} if bucket.per_second is None else self._share(bucket, told, now)
        if permits:
            log_event(
                "permits_issued",
                upstream=upstream_id,
                per_second=bucket.per_second,
                age=round(now - bucket.seen_at, 3),
                left=round(bucket.level, 2),
                permits=",".join(f"{name}:{count}" for name, count in permits.items()),
            )
        waiting = sum(entry.waiting for entry in told.values())
        age = round(now - bucket.seen_at, 3)
        return PermitEntry(upstream_id, bucket.per_second, age, waiting, permits)

    def _share(
        self, bucket: _Bucket, told: dict[str, RateLimitEntry], now: float
    ) -> dict[str, int]:
        """Issue to where requests have waited longest, for want of another upstream.

        Those that could use this one beside others get only what nobody has waited for:
        their answers tell that a limit has ended.
        """
        left = max(0, int(self._refill(bucket)))
        asking = sorted(
            (name for name, entry in told.items() if entry.waiting),
            key=lambda name: told[name].longest_wait,
            reverse=True,
        )
        if not asking and bucket.level >= MOST_SAVED:
            asking = sorted(
                (name for name, entry in told.items() if entry.wanted),
                key=lambda name: bucket.issued_at_by_instance.get(name, 0.0),
            )
        shares: dict[str, int] = {}
        for name in asking:
            if not left:
                break
            shares[name] = min(left, _most_used(told[name]))
            left -= shares[name]
        bucket.level -= sum(shares.values())
        bucket.issued_at_by_instance.update(dict.fromkeys(shares, now))
        return shares

    def _refill(self, bucket: _Bucket) -> float:
        now = self._clock()
        per_second = max(bucket.per_second or 0.0, MIN_PER_SECOND)
        since = max(bucket.at, self._begun_at + QUIET_SECONDS)
        most = max(MOST_SAVED, per_second * SAVED_SECONDS)
        bucket.level = min(most, bucket.level + max(0.0, now - since) * per_second)
        bucket.at = now
        return bucket.level


def _most_used(entry: RateLimitEntry) -> int:
    """Return how many permits an instance can use before they are void."""
    return max(1, entry.waiting, round(entry.used * PERMIT_SECONDS))
