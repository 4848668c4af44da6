"""What all instances have told the order giver of upstreams, summed up."""

import time
from collections import Counter, defaultdict
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.load_tracker import NO_LOAD, Load
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.messages import InstanceUpdate

# Instances tell four times a second; one that has been silent for longer counts for
# nothing until it is heard of again.
FRESH_SECONDS = 1.0
# An instance that an upstream has served within this time counts as served by it.
RECENTLY_SERVED_SECONDS = 3.0


class Totals(NamedTuple):
    """Loads and open requests by unit, by upstream id, over all instances.

    ``cut_off`` upstreams cannot be reached by most instances. ``rejecting`` ones have
    turned more instances away than they serve.
    """

    loads: dict[str, Load]
    uses: dict[str, dict[Unit, int]]
    cut_off: set[str]
    rejecting: set[str]


NO_TOTALS = Totals({}, {}, set(), set())


class _Received(NamedTuple):
    received_at: float
    update: InstanceUpdate


class InstanceTotals:
    """Keeps each instance's newest news."""

    def __init__(self) -> None:
        self._latest_by_instance: dict[str, _Received] = {}
        # When each instance was served last, by upstream.
        self._served_at: dict[str, dict[str, float]] = defaultdict(dict)

    def __len__(self) -> int:
        return len(self._latest_by_instance)

    def receive(self, update: InstanceUpdate) -> bool:
        """Take an instance's news; return whether it has just come, or come back."""
        now = time.monotonic()
        before = self._latest_by_instance.get(update.instance)
        self._latest_by_instance[update.instance] = _Received(now, update)
        served = {entry.upstream for entry in update.loads if entry.requests}
        served.update(entry.upstream for entry in update.outcomes if entry.answered)
        for upstream in served - set(update.rejecting):
            self._served_at[upstream][update.instance] = now
        return before is None or now - before.received_at > FRESH_SECONDS

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        for key in upstream_ids:
            self._served_at.pop(key, None)

    def addresses(self) -> list[str]:
        """Return where the instances that were heard of lately answer questions."""
        since = time.monotonic() - FRESH_SECONDS
        return [
            one.update.address
            for one in list(self._latest_by_instance.values())
            if one.received_at > since and one.update.address
        ]

    def sum(self) -> Totals:
        """Return the totals of the instances that were heard of lately."""
        since = time.monotonic() - FRESH_SECONDS
        latest = list(self._latest_by_instance.values())
        fresh = [one.update for one in latest if one.received_at > since]
        return Totals(_loads(fresh), _uses(fresh), _cut_off(fresh), self._rejecting(fresh))

    def _rejecting(self, fresh: list[InstanceUpdate]) -> set[str]:
        """Return the upstreams that reject more instances than they serve.

        What they hold is missed by the callers whom they turn away, and a model that is
        brought there could not be used. Among hundreds of instances most send such an
        upstream nothing at all, so those that it serves are counted, not all there are.
        """
        since = time.monotonic() - RECENTLY_SERVED_SECONDS
        rejected_by_id: dict[str, set[str]] = defaultdict(set)
        for update in fresh:
            for key in update.rejecting:
                rejected_by_id[key].add(update.instance)
        return {
            key
            for key, rejected in rejected_by_id.items()
            if len(rejected) > len(self._served_since(key, since) - rejected)
        }

    def _served_since(self, upstream_id: str, since: float) -> set[str]:
        served = self._served_at.get(upstream_id, {})
        return {instance for instance, at in list(served.items()) if at > since}


def _loads(fresh: list[InstanceUpdate]) -> dict[str, Load]:
    totals: dict[str, Load] = defaultdict(lambda: NO_LOAD)
    for entry in (entry for update in fresh for entry in update.loads):
        total = totals[entry.upstream]
        totals[entry.upstream] = Load(
            total.requests + entry.requests, total.prompt_tokens + entry.prompt_tokens
        )
    return totals


def _uses(fresh: list[InstanceUpdate]) -> dict[str, dict[Unit, int]]:
    totals: dict[str, dict[Unit, int]] = defaultdict(Counter)
    for entry in (entry for update in fresh for entry in update.uses):
        totals[entry.upstream][Unit(entry.model, entry.adapter)] += entry.requests
    return totals


def _cut_off(fresh: list[InstanceUpdate]) -> set[str]:
    """Return the upstreams that more than half of the instances cannot reach.

    What they hold counts for nothing until they are back: after a partition or a
    crash their entries in the list last for seconds, and what only they hold would
    be missed by all.
    """
    counts = Counter(key for update in fresh for key in set(update.unreachable))
    return {key for key, count in counts.items() if count * 2 > len(fresh)}
