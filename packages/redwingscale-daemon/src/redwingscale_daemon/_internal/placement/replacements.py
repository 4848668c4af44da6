"""Whether a unit may leave an engine without its callers losing their model."""

from redwingscale_common.configuration import Unit

from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.upstreams.directory import Directory


class Replacements:
    """Looks for what the plan has in place of a unit: elsewhere, or a newer version."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def are_ready(self, unit: str, plan: Plan) -> bool:
        """Return whether a planned replica of ``unit`` answers, or none is planned at all."""
        wanted = Unit.parse(unit)
        replicas = [
            (engine, planned.unit)
            for engine, units in plan.units_by_engine.items()
            for planned in units
            if _replaces(Unit.parse(planned.unit), wanted)
        ]
        return not replicas or any(self._is_ready_on(engine, other) for engine, other in replicas)

    def may_unload_without_replacement(self, unit: str, engine: str, plan: Plan) -> bool:
        """Return whether ``unit`` may leave ``engine`` though no planned replica answers.

        It may if it answers at another engine, planned or not. It may also if what
        replaces it is planned for this very engine: a new version for which there is
        room only after the old one went would else never come into force.
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
