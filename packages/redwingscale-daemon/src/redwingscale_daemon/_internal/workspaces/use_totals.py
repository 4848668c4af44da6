"""What all instances use of each workspace's limit, kept by the order giver."""

import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from redwingscale_daemon._internal.workspaces.use_account import fraction_of
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry, GrantEntry
from redwingscale_daemon._internal.workspaces.workspace import UseLimit

# Instances tell four times a second.
FRESH_SECONDS = 1.5
# One that falls silent may be cut off and go on with the part that it was told.
RESERVED_SECONDS = 15.0
MAX_RESERVED_FRACTION = 0.5
# A new order giver has then heard of all instances.
FIRST_GRANT_SECONDS = 0.6
# What was let in beyond the limit, or is left of the burst, is made up for in this time.
CORRECTION_SECONDS = 1.0
# Use is near the limit where less of the burst is left; it is for as long as more than
# the limit is asked for, and a while after that.
NEAR_LIMIT_BURST_FRACTION = 0.5
# A few requests of a small limit are not near it: as much of what may go beyond.
NEAR_LIMIT_SLACK_FRACTION = 0.5
NEAR_LIMIT_SECONDS = 2.0
# Grants of workspaces that are far from their limits are told this often.
LIGHT_LOAD_GRANT_SECONDS = 1.0


class _InstanceUse(NamedTuple):
    """``part`` is what the instance lets in of a limit while it hears nothing more."""

    received_at: float
    offered: float
    used: float
    share: float


class _Level:
    """The burst that is left of one workspace's limit, below 0 where too much was let in."""

    def __init__(self, now: float) -> None:
        self.units = 0.0
        self.updated_at = now
        self.near_limit_until = float("-inf")
        self.granted_at = float("-inf")


class UseTotals:
    """Adds up what instances tell, and grants what the limit leaves."""

    def __init__(self, slack: float = 0.0, clock: Callable[[], float] = time.monotonic) -> None:
        # Units that all instances together may let in beyond a limit.
        self._slack = slack
        self._clock = clock
        self._lock = threading.Lock()
        self.begin()

    def begin(self, instances: int = 0) -> None:
        """Forget all: what was used while another instance granted is not known.

        Of ``instances``, those that are not heard may be cut off, with parts of their own.
        """
        with self._lock:
            self._begun_at = self._clock()
            self._instances = instances
            self._use_by_workspace: dict[str, dict[str, _InstanceUse]] = defaultdict(dict)
            self._levels: dict[str, _Level] = {}
            self._received_at: dict[str, float] = {}
            # What all instances are asked for of each workspace, as told to them last.
            self._announced_offered: dict[str, float] = {}

    def receive(self, instance: str, entries: Iterable[DrawnEntry]) -> None:
        """Take the use that ``instance`` tells."""
        now = self._clock()
        with self._lock:
            is_new = instance not in self._received_at
            self._received_at[instance] = now
            for entry in entries:
                uses = self._use_by_workspace[entry.workspace]
                # What a is_new has used so far is no news: it may be of hours ago.
                previous = entry.used if is_new else uses[instance].used if instance in uses else 0
                share = fraction_of(entry.offered, self._announced_offered.get(entry.workspace, 0.0))
                uses[instance] = _InstanceUse(now, entry.offered, entry.used, share)
                # A count that falls is that of a process that has just begun.
                added = entry.used - previous if entry.used >= previous else entry.used
                self._level(entry.workspace, now).units -= added

    def grants(self, limits_by_name: Mapping[str, UseLimit]) -> list[GrantEntry] | None:
        """Return the grants to tell now, None before all instances were heard.

        No grants would tell that all use is as far from its limit as it was.
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
        """Return the units that are left of a workspace's burst, None before any use."""
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
        """Return what instances that are heard are asked for, and the part of silent ones."""
        offered = silent_share = 0.0
        for instance, use in self._use_by_workspace[name].items():
            age = now - self._received_at[instance]
            if age < FRESH_SECONDS:
                offered += use.offered
            elif age < RESERVED_SECONDS:
                silent_share += use.share
        return offered, silent_share
