"""Lends what upstreams in need take to the instances that can use it."""

import threading
import time
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.lent_sendings import LENT_SECONDS
from redwingscale_daemon._internal.fleet.named_rates import LEAST_PER_SECOND
from redwingscale_daemon._internal.fleet.rate_messages import LentEntry, RateEntry

# What an instance has told counts for this long without further news of it.
TOLD_SECONDS = 1.0
# Sendings that are saved up while nobody asks.
MOST_SAVED = 2.0
SAVED_SECONDS = 0.5
# What came just before a rate was named counts in its first window as well.
FIRST_LEVEL = -1.5
# Another order giver may have lent until a moment before this one begins.
QUIET_SECONDS = LENT_SECONDS + 0.5


class _Told(NamedTuple):
    at: float
    entry: RateEntry


class _Lent:
    """One upstream's rate as of ``seen_at``, and what of it is left to lend."""

    def __init__(self, now: float) -> None:
        self.per_second: float | None = None
        self.seen_at = float("-inf")
        self.level = FIRST_LEVEL
        self.at = now
        self.told_by_instance: dict[str, _Told] = {}
        # Whoever was lent to least recently is next.
        self.lent_at_by_instance: dict[str, float] = {}


class RateLender:
    """Keeps one bucket of sendings an upstream, for all instances together.

    Each instance by itself would send a whole rate, or a part of it that its callers may
    not need, and a hundred instances that each send once at the same moment are more than
    any rate. What one place lends is counted once, however many instances there are.
    """

    def __init__(
        self,
        in_need: Callable[[], Collection[str]] = tuple,
        listed: Callable[[str], bool] = lambda _: True,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        # What this instance knows by itself, until it has heard of the others.
        self._in_need = in_need
        self._listed = listed
        self._clock = clock
        self._lock = threading.Lock()
        self._by_id: dict[str, _Lent] = {}
        self._begun_at = clock()

    def begin(self) -> None:
        """Forget all: what another order giver has lent is not known."""
        with self._lock:
            self._by_id = {}
            self._begun_at = self._clock()

    def heard(self, instance: str, entries: Iterable[RateEntry]) -> bool:
        """Take what ``instance`` tells; return whether requests wait there."""
        now = self._clock()
        waiting = 0
        with self._lock:
            for entry in entries:
                if not self._listed(entry.upstream):
                    continue
                lent = self._by_id.get(entry.upstream)
                if lent is None:
                    lent = self._by_id[entry.upstream] = _Lent(now)
                if now - entry.age > lent.seen_at:
                    lent.per_second, lent.seen_at = entry.per_second, now - entry.age
                lent.told_by_instance[instance] = _Told(now, entry)
                waiting += entry.waiting
        return waiting > 0

    def draw(self, upstream_id: str) -> bool:
        """Use up one sending for a call of the order giver itself."""
        with self._lock:
            lent = self._by_id.get(upstream_id)
            if lent is None:
                return upstream_id not in self._in_need()
            if lent.per_second is None:
                return True
            if self._refill(lent) < 1:
                return False
            lent.level -= 1
            return True

    def lend(self, *, all_rates: bool) -> list[LentEntry]:
        """Return the rates with what is lent now; with ``all_rates`` also where it is nothing."""
        with self._lock:
            entries = [self._entry(key, lent) for key, lent in self._by_id.items()]
        return [entry for entry in entries if all_rates or entry.sendings_by_instance]

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._by_id.pop(key, None)

    def _entry(self, upstream_id: str, lent: _Lent) -> LentEntry:
        now = self._clock()
        told = {
            name: one.entry
            for name, one in lent.told_by_instance.items()
            if now - one.at < TOLD_SECONDS
        }
        sendings = {} if lent.per_second is None else self._share(lent, told, now)
        if sendings:
            log_event(
                "sendings_lent",
                upstream=upstream_id,
                per_second=lent.per_second,
                age=round(now - lent.seen_at, 3),
                left=round(lent.level, 2),
                sendings=",".join(f"{name}:{count}" for name, count in sendings.items()),
            )
        waiting = sum(entry.waiting for entry in told.values())
        age = round(now - lent.seen_at, 3)
        return LentEntry(upstream_id, lent.per_second, age, waiting, sendings)

    def _share(self, lent: _Lent, told: dict[str, RateEntry], now: float) -> dict[str, int]:
        """Lend to where requests have waited longest, for want of another upstream.

        Those that could use this one beside others get only what nobody has waited for:
        their answers tell that a need has ended.
        """
        left = max(0, int(self._refill(lent)))
        asking = sorted(
            (name for name, entry in told.items() if entry.waiting),
            key=lambda name: told[name].longest_wait,
            reverse=True,
        )
        if not asking and lent.level >= MOST_SAVED:
            asking = sorted(
                (name for name, entry in told.items() if entry.wanted),
                key=lambda name: lent.lent_at_by_instance.get(name, 0.0),
            )
        shares: dict[str, int] = {}
        for name in asking:
            if not left:
                break
            shares[name] = min(left, _most_used(told[name]))
            left -= shares[name]
        lent.level -= sum(shares.values())
        lent.lent_at_by_instance.update(dict.fromkeys(shares, now))
        return shares

    def _refill(self, lent: _Lent) -> float:
        now = self._clock()
        per_second = max(lent.per_second or 0.0, LEAST_PER_SECOND)
        since = max(lent.at, self._begun_at + QUIET_SECONDS)
        most = max(MOST_SAVED, per_second * SAVED_SECONDS)
        lent.level = min(most, lent.level + max(0.0, now - since) * per_second)
        lent.at = now
        return lent.level


def _most_used(entry: RateEntry) -> int:
    """Return how many sendings an instance can use before they are void."""
    return max(1, entry.waiting, round(entry.used * LENT_SECONDS))
