"""How long the holders of a unit need for their queues and the booked returns."""

from collections.abc import Mapping
from typing import NamedTuple

from redwingscale_daemon._internal.admission.return_time import place_seconds
from redwingscale_daemon._internal.fleet.chooser import PROMPT_TOKENS_PER_MS
from redwingscale_daemon._internal.fleet.fleet import Fleet
from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.unit import Unit

PROMPT_TOKENS_PER_SECOND = PROMPT_TOKENS_PER_MS * 1000.0


class HolderWork(NamedTuple):
    """Reads the load of holders from the fleet of this instance."""

    fleet: Fleet

    def place_seconds(
        self, service: str, unit: Unit, booked_by_unit: Mapping[Unit, int]
    ) -> float | None:
        """Return when a holder of ``unit`` is free, None without a holder.

        Before that, the holders work off their unread prompt tokens and the booked ones.
        Returns for other units share the holders that these units have.
        """
        resident_by_id = self._resident_by_id(service)
        holders = _holders(unit, resident_by_id)
        if not holders:
            return None
        shared = dict.fromkeys(holders, 0.0)
        for other, tokens in booked_by_unit.items():
            others = _holders(other, resident_by_id) if other != unit else []
            for key in shared.keys() & others:
                shared[key] += tokens / len(others)
        work = [
            (self.fleet.load_tracker.total(key).prompt_tokens + tokens) * self._seconds(key)
            for key, tokens in shared.items()
        ]
        mean_seconds = sum(map(self._seconds, holders)) / len(holders)
        return place_seconds(work, booked_by_unit.get(unit, 0) * mean_seconds)

    def _seconds(self, upstream_id: str) -> float:
        """Return the time that an upstream needs for a prompt token."""
        return self.fleet.latency_factors.factor(upstream_id) / PROMPT_TOKENS_PER_SECOND

    def _resident_by_id(self, service: str) -> dict[str, AdaptersByModel]:
        directory, health = self.fleet.directory, self.fleet.health
        return {
            one.id: directory.resident(one)
            for one in directory.usable(service)
            if not health.is_unreachable(one.id)
        }


def _holders(unit: Unit, resident_by_id: Mapping[str, AdaptersByModel]) -> list[str]:
    return [
        key
        for key, resident in resident_by_id.items()
        if unit.model in resident and (not unit.adapter or unit.adapter in resident[unit.model])
    ]
