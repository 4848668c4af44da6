"""When a unit without a holder can be resident, from the leader's updates and the list."""

from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.residency import Residency
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.unplanned_units import UnplannedUnits
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule

# The leader announces a load within this time after a request began to wait for it. It is
# checked each 0.05 s: a request that no load can serve is refused within 0.25 s.
ANNOUNCED_SECONDS = 0.2
# An adapter is loaded within some tens of milliseconds, after the planning step that starts it.
ADAPTER_SECONDS = 0.4


class LoadOutlook(NamedTuple):
    """Whether and when a load makes a unit resident."""

    residency: Residency
    directory: UpstreamDirectory
    unplanned: UnplannedUnits
    engine_of: Callable[[str], EngineRule | None]

    def ready_in(self, service: str, unit: Unit) -> float | None:
        """Return the seconds until a load of ``unit`` in progress ends, None without one.

        An adapter can be loaded only once its model is resident somewhere.
        """
        ready_in = self.residency.ready_in(str(unit))
        if ready_in is not None or not unit.adapter or self._has_model(service, unit):
            return ready_in
        model_ready_in = self.residency.ready_in(unit.model)
        return None if model_ready_in is None else model_ready_in + ADAPTER_SECONDS

    def is_unplanned(self, unit: Unit, waited_seconds: float) -> bool:
        """Return whether a fresh leader has named no load for ``unit``, and will not soon."""
        if not self.residency.fresh:
            return False
        return waited_seconds > ANNOUNCED_SECONDS or str(unit) in self.unplanned

    def earliest_seconds(self, service: str, unit: Unit) -> float:
        """Return how long the fastest load of ``unit`` takes if it is planned now."""
        if self._has_model(service, unit):
            return ADAPTER_SECONDS
        engine = self.engine_of(service)
        rule = engine.models_by_name.get(unit.model) if engine else None
        if rule is None:
            return ADAPTER_SECONDS
        return self._fastest_load(service, rule) + (ADAPTER_SECONDS if unit.adapter else 0.0)

    def _fastest_load(self, service: str, rule: ModelRule) -> float:
        usable = self.directory.usable(service)
        if any(rule.name in one.in_memory for one in usable):
            return rule.memory_seconds
        if any(rule.name in one.on_disk for one in usable):
            return rule.disk_seconds
        return rule.cold_seconds

    def _has_model(self, service: str, unit: Unit) -> bool:
        return bool(self.directory.holders(service, Unit(unit.model)))
