"""Rate limits that upstreams advertise, and whether requests may be sent to them."""

import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.rate_limit_messages import PermitEntry, RateLimitEntry
from redwingscale_daemon._internal.fleet.send_permits import SendPermits
from redwingscale_daemon._internal.utils.decaying_rate import DecayingRate

# The end of a limit is announced for this long; an instance that receives no such entry
# learns of the end from an answer.
LIFTED_ENTRY_SECONDS = 30.0
# An upstream counts as wanted for this long after a request that could have used it.
WANTED_SECONDS = 1.0
USED_HALF_LIFE_SECONDS = 1.0
# A limit seen in an answer is announced for this long, since a message may be lost.
CHANGE_FRESH_SECONDS = 2.0
# An upstream with a lower limit is still sent this many requests a second: only answers
# show that its limit has ended.
MIN_PER_SECOND = 0.25


class RateLimit(NamedTuple):
    """A limit of ``per_second`` requests from all instances, as of ``seen_at``, monotonic.

    ``per_second`` is None if the upstream no longer has a limit. ``observed`` is whether
    this instance saw it in an answer.
    """

    per_second: float | None
    seen_at: float
    observed: bool = False


class RateLimits:
    """Rate limits by upstream id, for as long as the upstreams advertise them.

    A limit applies to all instances together: an instance sends to a limited upstream only
    with permits that the leader has issued to it. Without a leader it gives itself a
    fraction of the limit, see `SendPermits`.
    """

    def __init__(
        self,
        instance: str = "",
        instances: Callable[[], int] = lambda: 1,
        listed: Callable[[str], bool] = lambda _: True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._instance = instance
        # Entries of upstreams that are gone are refused: nothing would drop them again.
        self._listed = listed
        self._clock = clock
        self._lock = threading.Lock()
        self._by_id: dict[str, RateLimit] = {}
        self._wake: Callable[[], None] = lambda: None
        # Upstreams whose limits have changed since `drain_changed`.
        self._changed: set[str] = set()
        self._notify: Callable[[], None] = lambda: None
        self._permits = SendPermits(instances, clock)
        self._wanted_at: dict[str, float] = {}
        # When each began to wait, by upstream.
        self._waiting_since: dict[str, list[float]] = defaultdict(list)
        self._used: dict[str, DecayingRate] = defaultdict(
            lambda: DecayingRate(USED_HALF_LIFE_SECONDS)
        )
        # Over all instances, as announced by the leader.
        self._all_waiting: dict[str, int] = {}

    def on_update(self, wake: Callable[[], None]) -> None:
        """Call ``wake`` when the leader must be sent a waiting request or a limit at once."""
        self._wake = wake

    def on_change(self, notify: Callable[[], None]) -> None:
        """Call ``notify`` when a limit has changed, from any source."""
        self._notify = notify

    @property
    def known(self) -> bool:
        """Whether any limit is or was known; if not, requests skip further checks."""
        return bool(self._by_id)

    def per_second(self, upstream_id: str) -> float | None:
        """Return the limit of ``upstream_id``, None where it has none."""
        rate = self._by_id.get(upstream_id)
        return rate.per_second if rate else None

    def limited(self) -> dict[str, float]:
        """Return the limits in force, by upstream id."""
        return {
            key: rate.per_second
            for key, rate in list(self._by_id.items())
            if rate.per_second is not None
        }

    def may_send(self, upstream_id: str) -> bool:
        """Return whether a permit is available, and note that one is wanted."""
        per_second = self.per_second(upstream_id)
        if per_second is None:
            return True
        with self._lock:
            self._wanted_at[upstream_id] = self._clock()
            return self._permits.left(upstream_id, per_second) >= 1

    def draw(self, upstream_id: str) -> bool:
        """Use up one permit; return whether there was one."""
        per_second = self.per_second(upstream_id)
        if per_second is None:
            return True
        with self._lock:
            drawn = self._permits.draw(upstream_id, per_second)
            if drawn:
                self._used[upstream_id] = self._used[upstream_id].with_events(1.0, self._clock())
            return drawn

    @contextmanager
    def waiting(self, upstream_ids: Iterable[str]) -> Iterator[None]:
        """Count a request that waits for a permit for one of ``upstream_ids``."""
        ids = tuple(upstream_ids)
        since = self._clock()
        with self._lock:
            for key in ids:
                self._waiting_since[key].append(since)
        if ids:
            self._wake()
        try:
            yield
        finally:
            with self._lock:
                for key in ids:
                    self._waiting_since[key].remove(since)

    def wait_seconds(self, upstream_ids: Iterable[str]) -> float:
        """Return for how long the requests that already wait use up the limits.

        This is the shortest such time among the upstreams.
        """
        with self._lock:
            return min(map(self._wait_seconds, upstream_ids), default=0.0)

    def note_limit(self, upstream_id: str, per_second: float, source: str) -> None:
        """Store the limit that an answer of ``upstream_id`` advertises."""
        self._take(upstream_id, RateLimit(per_second, self._clock(), observed=True), source)

    def note_no_limit(self, upstream_id: str, sent_at: float, source: str) -> None:
        """Note an answer without a limit, to a request that was sent at ``sent_at``.

        The answer may have been in transit when the upstream began to advertise: the limit
        ends only with an answer to a request that was sent after it was seen.
        """
        before = self._by_id.get(upstream_id)
        if before is not None and before.per_second is not None and sent_at > before.seen_at:
            self._take(upstream_id, RateLimit(None, self._clock(), observed=True), source)

    def updates(self, *, full: bool = False) -> list[RateLimitEntry]:
        """Return the entries for the leader: recent changes, and limits that requests meet.

        With ``full``, return all entries. Not the default, since hundreds of instances
        that always sent all entries would saturate the leader's link.
        """
        now = self._clock()
        with self._lock:
            entries = [
                (rate, self._entry(key, rate, now))
                for key, rate in self._by_id.items()
                if rate.per_second is not None or now - rate.seen_at < LIFTED_ENTRY_SECONDS
            ]
        return [
            entry
            for rate, entry in entries
            if full or entry.wanted or entry.waiting or _is_recent(rate, now)
        ]

    def drain_changed(self) -> list[RateLimitEntry]:
        """Return the limits that have changed since the last call."""
        now = self._clock()
        with self._lock:
            changed, self._changed = self._changed, set()
            return [self._entry(key, self._by_id[key], now) for key in changed & self._by_id.keys()]

    def receive_from_peer(self, entries: Iterable[RateLimitEntry]) -> None:
        """Take the entries of another instance that are newer than those stored."""
        now = self._clock()
        for entry in entries:
            self._take_if_newer(
                entry.upstream, RateLimit(entry.per_second, now - entry.age), "peer"
            )

    def receive(self, entries: Iterable[PermitEntry]) -> None:
        """Take the leader's limits and the permits that it issues."""
        now = self._clock()
        for entry in filter(lambda one: self._listed(one.upstream), entries):
            limit = RateLimit(entry.per_second, now - entry.age)
            self._take_if_newer(entry.upstream, limit, "order giver")
            with self._lock:
                self._all_waiting[entry.upstream] = entry.waiting
                permits = entry.permits_by_instance.get(self._instance, 0)
                self._permits.take(entry.upstream, permits)

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._by_id.pop(key, None)
                self._wanted_at.pop(key, None)
                self._all_waiting.pop(key, None)
                self._used.pop(key, None)
                self._permits.forget(key)

    def _wait_seconds(self, upstream_id: str) -> float:
        per_second = self.per_second(upstream_id) or MIN_PER_SECOND
        ahead = max(self._all_waiting.get(upstream_id, 0), len(self._waiting_since[upstream_id]))
        return ahead / max(per_second, MIN_PER_SECOND)

    def _entry(self, upstream_id: str, rate: RateLimit, now: float) -> RateLimitEntry:
        waiting_since = self._waiting_since[upstream_id]
        return RateLimitEntry(
            upstream_id,
            rate.per_second,
            round(now - rate.seen_at, 3),
            now - self._wanted_at.get(upstream_id, float("-inf")) < WANTED_SECONDS,
            len(waiting_since),
            round(self._used[upstream_id].now(now), 2),
            round(now - min(waiting_since, default=now), 3),
        )

    def _take_if_newer(self, upstream_id: str, limit: RateLimit, source: str) -> None:
        before = self._by_id.get(upstream_id)
        if before is None or limit.seen_at > before.seen_at:
            self._take(upstream_id, limit, source)

    def _take(self, upstream_id: str, after: RateLimit, source: str) -> None:
        with self._lock:
            before = self._by_id.get(upstream_id)
            if not self._listed(upstream_id) or (before is None and after.per_second is None):
                return
            self._by_id[upstream_id] = after
            unchanged = before is not None and before.per_second == after.per_second
            if not unchanged:
                self._changed.add(upstream_id)
        if unchanged:
            return
        self._notify()
        if after.observed:
            self._wake()
        log_event(
            "upstream_rate_limit",
            upstream=upstream_id,
            per_second=_for_log(after.per_second),
            before=_for_log(before.per_second if before else None),
            age=round(after.seen_at - before.seen_at, 3) if before else "-",
            source=source,
        )


def _is_recent(rate: RateLimit, now: float) -> bool:
    return rate.observed and now - rate.seen_at < CHANGE_FRESH_SECONDS


def _for_log(per_second: float | None) -> float | str:
    return "-" if per_second is None else per_second
