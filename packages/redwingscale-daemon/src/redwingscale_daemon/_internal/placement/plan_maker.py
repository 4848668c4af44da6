"""Computes the next plan from the last one, without access to the network."""

from collections.abc import Iterable, Mapping

from redwingscale_common.configuration import Configuration
from redwingscale_common.finding import Finding
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.configuration.accepted import Accepted
from redwingscale_daemon._internal.placement.assign import assign
from redwingscale_daemon._internal.placement.engine_room import EngineRoom
from redwingscale_daemon._internal.placement.group import Group, all_groups, serving_keys
from redwingscale_daemon._internal.placement.growth import MoveWorth, Step, follow_demand
from redwingscale_daemon._internal.placement.hand_over import HandOver, Target
from redwingscale_daemon._internal.placement.load_gate import LoadGate
from redwingscale_daemon._internal.placement.model_number import model_number
from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.placement.service_time import ServiceTime


class PlanMaker:
    """Makes plans; keeps the state of the load gate and the smoothed service time."""

    def __init__(self) -> None:
        self._gate = LoadGate()
        self._findings: set[Finding] = set()
        self.service_time = ServiceTime()

    def next_plan(
        self,
        old: Plan,
        accepted: Accepted,
        rooms_by_engine: Mapping[str, EngineRoom],
        rates_by_number: Mapping[int, float],
        now: float,
    ) -> Plan:
        """Return the plan that follows ``old``; ``now`` is on the monotonic clock.

        ``rates_by_number`` has requests per second by `model_number`. Engines that are not
        in ``rooms_by_engine`` are not in the plan.
        """
        configuration = accepted.configuration
        groups_by_key = all_groups(configuration)
        load_by_key = self._load_by_key(configuration, rates_by_number)
        target = self._target(old, configuration, groups_by_key, rooms_by_engine, load_by_key)
        listed = HandOver(groups_by_key, target, rooms_by_engine).listed(old.units_by_engine)
        store = configuration.weight_store
        self._gate.release(listed, target, rooms_by_engine, load_by_key, store, now)
        units = {engine: sorted(units.values()) for engine, units in listed.items()}
        keys_by_engine = {engine: sorted(groups) for engine, groups in target.items()}
        return Plan(old.sequence + 1, accepted.pointer.version, units, keys_by_engine)

    def _target(
        self,
        old: Plan,
        configuration: Configuration,
        groups_by_key: Mapping[str, Group],
        rooms_by_engine: Mapping[str, EngineRoom],
        load_by_key: dict[str, float],
    ) -> Target:
        serving = {key: groups_by_key[key] for key in sorted(serving_keys(configuration))}
        layout, findings = assign(serving, rooms_by_engine, old.target_by_engine, load_by_key)
        worth = MoveWorth.from_moves_weight(
            configuration.policy.moves_weight, self.service_time.seconds
        )
        steps = follow_demand(layout, serving, load_by_key, worth)
        self._log(steps, findings)
        return layout.groups_by_engine

    def _load_by_key(
        self, configuration: Configuration, rates_by_number: Mapping[int, float]
    ) -> dict[str, float]:
        """Return concurrent requests by serving version: rate times service time."""
        seconds = self.service_time.seconds
        return {
            f"{model.name}@{model.serving}": rates_by_number.get(model_number(model.name), 0.0)
            * seconds
            for model in configuration.models_by_name.values()
        }

    def _log(self, steps: Iterable[Step], findings: Iterable[Finding]) -> None:
        for step in steps:
            changes = ",".join(f"{'+' if c.added else '-'}{c.key}/{c.engine}" for c in step.changes)
            log_event("plan_follows_demand", moves=step.moves, changes=changes)
        new = set(findings)
        for finding in sorted(new - self._findings):
            log_event("plan_lacks_room", level="WARNING", place=finding.place, error=finding)
        self._findings = new
