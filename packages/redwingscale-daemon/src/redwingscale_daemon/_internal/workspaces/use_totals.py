"""The leader's totals of what all instances use of each workspace's limit."""

import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from redwingscale_daemon._internal.workspaces.use_account import fraction_of
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry, GrantEntry
from redwingscale_daemon._internal.workspaces.workspace import UseLimit

# Instances send updates every 0.25 s; one without an update for this long is silent.
FRESH_SECONDS = 1.5
# A silent instance may be cut off and still use its share, which is reserved for this long.
RESERVED_SECONDS = 15.0
MAX_RESERVED_FRACTION = 0.5
# The time in which a new leader receives an update of each instance.
FIRST_GRANT_SECONDS = 0.6
# Use beyond the limit is recovered, and the rest of the burst granted, over this time.
CORRECTION_SECONDS = 1.0
# Use is near the limit if less than this fraction of the burst is left. It remains so while
# demand exceeds the limit, and for NEAR_LIMIT_SECONDS after that.
NEAR_LIMIT_BURST_FRACTION = 0.5
# This fraction of the slack lowers that bound: a few requests use much of a small burst.
NEAR_LIMIT_SLACK_FRACTION = 0.5
NEAR_LIMIT_SECONDS = 2.0
# Interval of grants for workspaces that are far from their limits.
LIGHT_LOAD_GRANT_SECONDS = 1.0


class _InstanceUse(NamedTuple):
    """An instance's last entry; ``share`` is the fraction of the limit that it uses if cut off."""

    received_at: float
    offered: float
    used: float
    share: float


class _Level:
    """What is left of a workspace's burst; negative after use beyond the limit."""

    def __init__(self, now: float) -> None:
        self.units = 0.0
        self.updated_at = now
        self.near_limit_until = float("-inf")
        self.granted_at = float("-inf")


class UseTotals:
    """Adds up the use that instances announce, and grants what is left of each limit."""

    def __init__(self, slack: float = 0.0, clock: Callable[[], float] = time.monotonic) -> None:
        # Units that all instances together may admit beyond a limit.
        self._slack = slack
        self._clock = clock
        self._lock = threading.Lock()
        self.begin()

    def begin(self, instances: int = 0) -> None:
        """Discard all totals: the use under a former leader is not known.

        Those of ``instances`` that send no updates may be cut off and use shares of their own.
        """
        with self._lock:
            self._begun_at = self._clock()
            self._instances = instances
            self._use_by_workspace: dict[str, dict[str, _InstanceUse]] = defaultdict(dict)
            self._levels: dict[str, _Level] = {}
            self._received_at: dict[str, float] = {}
            # The demand at all instances for each workspace, as last announced to them.
            self._announced_offered: dict[str, float] = {}

    def receive(self, instance: str, entries: Iterable[DrawnEntry]) -> None:
        """Add the use in an update of ``instance``."""
        now = self._clock()
        with self._lock:
            is_new = instance not in self._received_at
            self._received_at[instance] = now
            for entry in entries:
                uses = self._use_by_workspace[entry.workspace]
                # The total of a new instance is no recent use: it may be hours old.
                previous = entry.used if is_new else uses[instance].used if instance in uses else 0
                share = fraction_of(
                    entry.offered, self._announced_offered.get(entry.workspace, 0.0)
                )
                uses[instance] = _InstanceUse(now, entry.offered, entry.used, share)
                # A total that falls is that of a restarted process.
                added = entry.used - previous if entry.used >= previous else entry.used
                self._level(entry.workspace, now).units -= added

    def grants(self, limits_by_name: Mapping[str, UseLimit]) -> list[GrantEntry] | None:
        """Return the grants for the next update, None until all instances could send theirs.

        An empty list would mean that no grant has changed.
        """
        now = self._clock()
        with self._lock:
            if now - self._begun_at < FIRST_GRANT_SECONDS:
                return None
            return [
                grant
                for name, limit in limits_by_name.items()
                if (grant := self._grant(name, limit, now)) is not None
            ]

    def left(self, name: str) -> float | None:
        """Return the units left of a workspace's burst, None before any use."""
        with self._lock:
            level = self._levels.get(name)
            return None if level is None else level.units

    def _level(self, name: str, now: float) -> _Level:
        level = self._levels.get(name)
        if level is None:
            level = self._levels[name] = _Level(now)
        return level

    def _grant(self, name: str, limit: UseLimit, now: float) -> GrantEntry | None:
        offered, silent_share = self._offered_and_silent(name, now)
        level = self._level(name, now)
        reserved = min(MAX_RESERVED_FRACTION, max(silent_share, self._unseen_fraction(now)))
        per_second = limit.per_second * (1.0 - reserved)
        level.units = min(limit.burst, level.units + per_second * (now - level.updated_at))
        level.updated_at = now
        near_limit = now < level.near_limit_until
        least = limit.burst * NEAR_LIMIT_BURST_FRACTION - self._slack * NEAR_LIMIT_SLACK_FRACTION
        if level.units < least or (near_limit and offered > per_second):
            level.near_limit_until = now + NEAR_LIMIT_SECONDS
            near_limit = True
        if not near_limit and now - level.granted_at < LIGHT_LOAD_GRANT_SECONDS:
            return None
        level.granted_at = now if not near_limit else float("-inf")
        self._announced_offered[name] = offered
        granted = max(0.0, per_second + level.units / CORRECTION_SECONDS)
        return GrantEntry(name, round(granted, 1), round(offered, 1), near_limit)

    def _unseen_fraction(self, now: float) -> float:
        if not self._instances or now - self._begun_at > RESERVED_SECONDS:
            return 0.0
        return max(0.0, 1.0 - len(self._received_at) / self._instances)

    def _offered_and_silent(self, name: str, now: float) -> tuple[float, float]:
        """Return the demand at instances that send updates, and the shares of silent ones."""
        offered = silent_share = 0.0
        for instance, use in self._use_by_workspace[name].items():
            age = now - self._received_at[instance]
            if age < FRESH_SECONDS:
                offered += use.offered
            elif age < RESERVED_SECONDS:
                silent_share += use.share
        return offered, silent_share
