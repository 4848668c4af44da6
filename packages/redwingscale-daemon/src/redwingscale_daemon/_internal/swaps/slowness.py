"""What the leader knows and sends about the speed of upstreams and models."""

import itertools
import math
import threading
import time
from collections.abc import Iterable, Mapping

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.first_event_fit import FirstEvent, FirstEventFit
from redwingscale_daemon._internal.fleet.read_times import Ahead
from redwingscale_daemon._internal.fleet.slowness_fit import HALF_WEIGHT_MS
from redwingscale_daemon._internal.fleet.slowness_view import MEAN_KEY
from redwingscale_daemon._internal.swaps.messages import FirstEventEntry
from redwingscale_daemon._internal.swaps.slow_spells import SlowSpells

# A value is sent at once if it differs by more than this fraction from the one sent last.
CHANGED_FRACTION = 0.1
# All values are sent again within this time, a part of them with each periodic update, for
# instances that were disconnected.
REPEAT_SECONDS = 2.0
# A value takes 20 to 35 bytes. This many keep the field at about 1 KB; the largest changes go
# first, the others with the next update.
MAX_ENTRIES = 32
# Of these, changes need some: with hundreds of models, a repetition takes longer.
MAX_REPEATED = 24
SIGNIFICANT_DIGITS = 3


class Slowness:
    """Slowness of upstreams and models over the first events of all instances.

    Designed for a load in which one instance sees one or two streams a second and all of them
    together over a hundred: only the sum shows within a quarter of a second that an upstream
    is slow for a moment.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._fit = FirstEventFit()
        self._spells = SlowSpells()
        self._sent: dict[str, float] = {}
        self._repeated: list[str] = []
        self._sent_at = time.monotonic()
        self._logged_at = float("-inf")

    def receive(self, first_events: Iterable[FirstEventEntry]) -> None:
        """Take the first events of an instance."""
        with self._lock:
            for entry in first_events:
                known = self._spells.excess_log(entry.upstream)
                deviation = self._fit.observe(_event(entry), known)
                weight = entry.expected_ms / (entry.expected_ms + HALF_WEIGHT_MS)
                self._spells.observe(entry.upstream, deviation, weight)

    def begin(self, values: Mapping[str, float], upstream_ids: Iterable[str]) -> None:
        """Continue from the ``values`` that the former leader sent, at the start of a term."""
        with self._lock:
            self._fit, self._spells, self._sent = FirstEventFit(), SlowSpells(), {}
            by_key = {key: one for key, one in values.items() if not key.startswith(MEAN_KEY)}
            self._fit.slowness.seed(values.get(MEAN_KEY), by_key, set(upstream_ids))
            self._fit.read_times.seed(values)

    def changes(self) -> dict[str, float]:
        """Return the values for the next periodic update, by upstream id and model name."""
        now = time.monotonic()
        with self._lock:
            values = self._values()
            changed = sorted(
                (key for key in values if self._change(key, values[key]) > CHANGED_FRACTION),
                key=lambda key: -self._change(key, values[key]),
            )
            repeated = self._due_again(values, now - self._sent_at)
            self._sent_at = now
            keys = list(dict.fromkeys([*repeated, *changed]))[:MAX_ENTRIES]
            sent = {key: _rounded(values[key]) for key in keys}
            self._sent |= sent
        self._log(values, len(sent), now)
        return sent

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            self._fit.slowness.forget(upstream_ids)
            self._spells.forget(upstream_ids)
            for key in upstream_ids:
                self._sent.pop(key, None)

    def _values(self) -> dict[str, float]:
        fit = self._fit.slowness
        upstreams = {
            key: math.exp(fit.upstream_log(key) + self._spells.excess_log(key))
            for key in fit.upstream_ids()
        }
        if not upstreams:
            return {}
        models = {key: math.exp(fit.model_log(key)) for key in fit.models()}
        shared = {MEAN_KEY: math.exp(fit.level.log)} | self._fit.read_times.values()
        return shared | models | upstreams

    def _change(self, key: str, value: float) -> float:
        sent = self._sent.get(key)
        return math.inf if sent is None else abs(value / sent - 1.0)

    def _due_again(self, values: Mapping[str, float], seconds: float) -> list[str]:
        """Return the values whose turn it is; each has one within `REPEAT_SECONDS`."""
        due = math.ceil(len(values) * min(1.0, seconds / REPEAT_SECONDS))
        count = min(MAX_REPEATED, due)
        known = [key for key in self._repeated if key in values]
        added = values.keys() - set(known)
        order = [*known, *sorted(added)]
        self._repeated = [*order[count:], *order[:count]]
        return list(itertools.islice(order, count))

    def _log(self, values: Mapping[str, float], sent: int, now: float) -> None:
        if not values or now - self._logged_at < REPEAT_SECONDS:
            return
        self._logged_at = now
        upstream_ids = self._fit.slowness.upstream_ids()
        slowest = max(upstream_ids, key=lambda key: values.get(key, 0.0), default="-")
        log_event(
            "slowness",
            mean=_rounded(values[MEAN_KEY]),
            slowest=slowest,
            slowest_value=_rounded(values.get(slowest, 0.0)),
            values=len(values),
            sent=sent,
        )


def first_event_entry(event: FirstEvent, expected_ms: float) -> FirstEventEntry:
    """Return the entry for an instance's update; times in whole ms take fewer bytes."""
    ahead = event.ahead
    return FirstEventEntry(
        event.upstream_id,
        event.model,
        round(expected_ms),
        round(event.real_ms),
        round(ahead.own_ms),
        round(ahead.queue_ms),
        ahead.requests,
        ahead.priority,
    )


def _event(entry: FirstEventEntry) -> FirstEvent:
    ahead = Ahead(entry.own_ms, entry.queue_ms, entry.requests, entry.priority)
    return FirstEvent(entry.upstream, entry.model, ahead, entry.real_ms)


def _rounded(value: float) -> float:
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")
