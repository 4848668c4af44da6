"""Decides which engines the planner may use, and for how long after their last report."""

from collections.abc import Mapping

from redwingscale_daemon._internal.models.report import Digest, ResidentUnit
from redwingscale_daemon._internal.placement.engine_room import Availability, EngineRoom
from redwingscale_daemon._internal.upstreams.directory import EngineView

SILENT_SECONDS = 10.0
ENGINE_GRACE_SECONDS = 30.0
DOMAIN_GRACE_SECONDS = 900.0
RESUME_GAP_SECONDS = 10.0
SETTLE_SECONDS = 5.0
UNKNOWN_CAPACITY = 1 << 62
"""For an engine without a digest so far: it keeps its planned units and gets no others."""


class EngineWatch:
    """Tracks for how long engines are silent, counted only while this planner is running.

    After an outage of the platform every digest is old, because no owner held its lease.
    A planner that took this for the loss of all engines would place all groups again, so
    silence is counted from when its steps resumed.
    """

    def __init__(self) -> None:
        self._listening_since = 0.0
        self._last_step_at = float("-inf")

    def rooms(
        self, views_by_engine: Mapping[str, EngineView], cache_share: float, now: float
    ) -> dict[str, EngineRoom]:
        """Return the engines that stay in the plan; the others are leaving or lost."""
        if now - self._last_step_at > RESUME_GAP_SECONDS:
            self._listening_since = now
        self._last_step_at = now
        usable = [v for v in views_by_engine.values() if not v.leaving]
        reporting_domains = {v.member.failure_domain for v in usable if self._is_reporting(v, now)}
        rooms = [self._room(view, cache_share, now, reporting_domains) for view in usable]
        return {room.engine: room for room in rooms if room is not None}

    def is_settling(self, views_by_engine: Mapping[str, EngineView], now: float) -> bool:
        """Return whether some engines are still expected to report for the first time.

        A first plan made only for the first engines to report would fill them up.
        """
        unreported = any(v.digest is None and not v.leaving for v in views_by_engine.values())
        return unreported and now - self._listening_since < SETTLE_SECONDS

    def _is_reporting(self, view: EngineView, now: float) -> bool:
        """Return whether the engine has sent a valid report lately."""
        valid = view.digest is not None and not view.digest.set_aside
        return valid and self._silent_seconds(view, now) <= SILENT_SECONDS

    def _silent_seconds(self, view: EngineView, now: float) -> float:
        return now - max(view.received_at, self._listening_since)

    def _room(
        self, view: EngineView, cache_share: float, now: float, reporting_domains: set[str]
    ) -> EngineRoom | None:
        silent_seconds = self._silent_seconds(view, now)
        domain = view.member.failure_domain
        if self._is_reporting(view, now):
            availability = Availability.OPEN
        elif silent_seconds <= ENGINE_GRACE_SECONDS:
            availability = Availability.SILENT
        elif domain not in reporting_domains and silent_seconds <= DOMAIN_GRACE_SECONDS:
            availability = Availability.PARTITIONED
        else:
            return None
        if (digest := view.digest) is None:
            return EngineRoom(view.member.id, domain, UNKNOWN_CAPACITY, 1, Availability.SILENT)
        return EngineRoom(
            engine=view.member.id,
            failure_domain=domain,
            capacity_bytes=int(digest.capacity_bytes * (1 - cache_share)),
            slots=digest.slots,
            availability=availability,
            residents=_planning_residents(digest),
        )


def _planning_residents(digest: Digest) -> tuple[ResidentUnit, ...]:
    """Return the residents, with retiring ones as not ready.

    A retiring unit takes memory until it is unloaded, but does not count as a replica.
    """
    retiring = set(digest.retiring)
    return tuple(r._replace(ready=r.ready and r.unit not in retiring) for r in digest.residents)
