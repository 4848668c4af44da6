"""Decides whether a unit may be unloaded without loss of its model for callers."""

from redwingscale_common.configuration import Unit

from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.upstreams.directory import Directory


class Replacements:
    """Finds planned replacements of a unit: on another engine, or another version."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def are_ready(self, unit: str, plan: Plan) -> bool:
        """Return whether a planned replacement of ``unit`` is ready, or none is planned."""
        wanted = Unit.parse(unit)
        replicas = [
            (engine, planned.unit)
            for engine, units in plan.units_by_engine.items()
            for planned in units
            if _replaces(Unit.parse(planned.unit), wanted)
        ]
        return not replicas or any(self._is_ready_on(engine, other) for engine, other in replicas)

    def may_unload_without_replacement(self, unit: str, engine: str, plan: Plan) -> bool:
        """Return whether ``engine`` may unload ``unit`` though no replacement is ready.

        It may if ``unit`` is ready on another engine, planned or not. It also may if a
        replacement is planned for this same engine: otherwise a new version for which there
        is no room beside the old one would never be loaded.
        """
        wanted = Unit.parse(unit)
        here = plan.units_by_engine.get(engine, [])
        if any(_replaces(Unit.parse(planned.unit), wanted) for planned in here):
            return True
        views = self._directory.engines_with(unit)
        return any(v.member.id != engine and not v.leaving for v in views)

    def _is_ready_on(self, engine: str, unit: str) -> bool:
        view = self._directory.engines().get(engine)
        return view is not None and not view.leaving and view.is_ready(unit)


def _replaces(new: Unit, old: Unit) -> bool:
    return (new.model, new.adapter) == (old.model, old.adapter)
