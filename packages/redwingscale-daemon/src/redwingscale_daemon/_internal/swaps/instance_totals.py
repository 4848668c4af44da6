"""Sums over the latest updates of all instances, by upstream."""

import time
from collections import Counter, defaultdict
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.load_tracker import NO_LOAD, Load
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.messages import InstanceUpdate

# Instances send four updates a second. One that has been silent for longer than this is
# left out until its next update.
FRESH_SECONDS = 1.0
# How long an instance counts as served by an upstream after a request there.
RECENTLY_SERVED_SECONDS = 3.0


class Totals(NamedTuple):
    """Sums over all instances, by upstream id.

    ``loads`` has the open requests, their unread prompt tokens and the generating streams,
    ``uses`` the open requests by unit. Most instances cannot reach the ``cut_off`` upstreams. The
    ``rejecting`` ones reject more instances than they serve. At least
    one instance cannot reach the ``unreachable`` ones.
    """

    loads: dict[str, Load]
    uses: dict[str, dict[Unit, int]]
    cut_off: set[str]
    rejecting: set[str]
    unreachable: frozenset[str] = frozenset()


NO_TOTALS = Totals({}, {}, set(), set())


class _Received(NamedTuple):
    received_at: float
    update: InstanceUpdate


class InstanceTotals:
    """Keeps the latest update of each instance."""

    def __init__(self) -> None:
        self._latest_by_instance: dict[str, _Received] = {}
        # When each instance was last served, by upstream id and instance.
        self._served_at: dict[str, dict[str, float]] = defaultdict(dict)

    def __len__(self) -> int:
        return len(self._latest_by_instance)

    def receive(self, update: InstanceUpdate) -> bool:
        """Take an update; return whether its instance is new or was silent before."""
        now = time.monotonic()
        before = self._latest_by_instance.get(update.instance)
        self._latest_by_instance[update.instance] = _Received(now, update)
        served = {entry.upstream for entry in update.loads if entry.requests}
        served.update(entry.upstream for entry in update.outcomes if entry.answered)
        for upstream in served - set(update.rejecting):
            self._served_at[upstream][update.instance] = now
        return before is None or now - before.received_at > FRESH_SECONDS

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop the state of upstreams that are gone."""
        for key in upstream_ids:
            self._served_at.pop(key, None)

    def addresses(self) -> list[str]:
        """Return the peer server addresses of the instances seen lately."""
        since = time.monotonic() - FRESH_SECONDS
        return [
            one.update.address
            for one in list(self._latest_by_instance.values())
            if one.received_at > since and one.update.address
        ]

    def sum(self) -> Totals:
        """Return the totals over the instances seen lately."""
        since = time.monotonic() - FRESH_SECONDS
        latest = list(self._latest_by_instance.values())
        fresh = [one.update for one in latest if one.received_at > since]
        unreachable = frozenset(key for update in fresh for key in update.unreachable)
        return Totals(
            _loads(fresh), _uses(fresh), _cut_off(fresh), self._rejecting(fresh), unreachable
        )

    def _rejecting(self, fresh: list[InstanceUpdate]) -> set[str]:
        """Return the upstreams that reject more instances than they serve.

        Rejected callers cannot use the models that are resident there, and a model loaded
        there would be of no use to them either. The comparison is with the instances that
        the upstream serves, not with all instances: among hundreds, most send it no request.
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
        load = Load(entry.requests, entry.prompt_tokens, entry.generating, entry.waiting)
        totals[entry.upstream] = totals[entry.upstream].plus(load)
    return totals


def _uses(fresh: list[InstanceUpdate]) -> dict[str, dict[Unit, int]]:
    totals: dict[str, dict[Unit, int]] = defaultdict(Counter)
    for entry in (entry for update in fresh for entry in update.uses):
        totals[entry.upstream][Unit(entry.model, entry.adapter)] += entry.requests
    return totals


def _cut_off(fresh: list[InstanceUpdate]) -> set[str]:
    """Return the upstreams that more than half of the instances cannot reach.

    Their resident models do not count until they are reachable again. After a partition
    or a crash they stay in the list for seconds, and without this rule a model that is
    resident only there would be unavailable to all callers for that time.
    """
    counts = Counter(key for update in fresh for key in set(update.unreachable))
    return {key for key, count in counts.items() if count * 2 > len(fresh)}
