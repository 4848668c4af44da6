"""Simulated engines that carry out plans, and the plan maker that makes them."""

import random
from pathlib import Path
from typing import Any

import pytest
from redwingscale_common.configuration import Configuration, Unit, load_text
from redwingscale_daemon._internal.configuration.accepted import Accepted, Pointer
from redwingscale_daemon._internal.models.report import ResidentUnit
from redwingscale_daemon._internal.placement.engine_room import Availability, EngineRoom
from redwingscale_daemon._internal.placement.model_number import model_number
from redwingscale_daemon._internal.placement.plan_maker import PlanMaker
from redwingscale_daemon._internal.placement.planner import EMPTY_PLAN

GIGABYTE = 1_000_000_000


class Fleet:
    """Carries out each plan: unloads units that are no longer listed, loads those added."""

    def __init__(self, configuration: Configuration, domains: str, memory_gb: float) -> None:
        self.configuration = configuration
        self.capacity = int(memory_gb * GIGABYTE)
        self.domains = {f"e{n}": domain for n, domain in enumerate(domains)}
        self.residents_by_engine: dict[str, dict[str, ResidentUnit]] = {e: {} for e in self.domains}
        self.availability: dict[str, Availability] = {}
        self.maker = PlanMaker()
        self.plan = EMPTY_PLAN
        self.rates: dict[int, float] = {}
        self.now = 0.0
        self.moves = 0
        self.most_loading = 0
        self.stalled: set[str] = set()

    def demand(self, **rates: float) -> None:
        self.rates = {model_number(m.replace("_", "-")): rate for m, rate in rates.items()}

    def step(self, rng: random.Random | None = None, seconds: float = 2.0) -> None:
        """Make a plan and carry it out; with ``rng``, loads end after a random number of steps."""
        self.now += seconds
        rooms = {
            e: EngineRoom(
                e,
                domain,
                self.capacity,
                32,
                self.availability.get(e, Availability.OPEN),
                () if e in self.availability else tuple(self.residents_by_engine[e].values()),
            )
            for e, domain in self.domains.items()
        }
        accepted = Accepted(Pointer(1, "", "", ""), "", self.configuration)
        self.plan = self.maker.next_plan(self.plan, accepted, rooms, self.rates, self.now)
        for engine in self.domains:
            self._carry_out(engine, rng)
        loading = sum(
            not r.ready
            for residents in self.residents_by_engine.values()
            for r in residents.values()
        )
        self.most_loading = max(self.most_loading, loading)

    def _carry_out(self, engine: str, rng: random.Random | None) -> None:
        listed = {p.unit: p for p in self.plan.units_by_engine.get(engine, ())}
        residents = self.residents_by_engine[engine]
        for unit, resident in list(residents.items()):
            done = engine not in self.stalled and (not rng or rng.random() < 0.5)
            residents[unit] = resident._replace(ready=resident.ready or done)
        for unit in residents.keys() - listed.keys():
            del residents[unit]
            self.moves += 1
        for unit, planned in listed.items():
            if unit not in residents:
                residents[unit] = ResidentUnit(
                    unit, planned.size_bytes, ready=not rng and engine not in self.stalled
                )
                self.moves += 1
        assert sum(r.size_bytes for r in residents.values()) <= self.capacity

    def settle(self, steps: int = 400) -> None:
        """Step until the plan stays the same and all of its target is resident."""
        for _ in range(steps):
            before = self.plan
            self.step()
            wanted = sum(len(keys) for keys in self.plan.target_by_engine.values())
            residents = sum(
                ":" not in unit for units in self.residents_by_engine.values() for unit in units
            )
            if (
                before._replace(sequence=0) == self.plan._replace(sequence=0)
                and wanted == residents
            ):
                return
        raise AssertionError("the plan does not settle")

    def lose(self, engine: str) -> None:
        del self.domains[engine], self.residents_by_engine[engine]

    def ready_on(self, unit: str) -> set[str]:
        return {
            e
            for e, residents in self.residents_by_engine.items()
            if unit in residents and residents[unit].ready
        }

    def single_domain_models(self) -> list[str]:
        """Return the listed models that are not ready in two failure domains."""
        units = [u for u in self.configuration.serving_units() if not u.adapter]
        return [u.model for u in units if len({self.domains[e] for e in self.ready_on(str(u))}) < 2]


@pytest.fixture
def example() -> Any:
    """Return a loader of example configurations, without load limits unless ``limited``."""

    def load(name: str, *, limited: bool = False) -> Configuration:
        root = Path(__file__).parents[5]
        text = (root / "examples" / f"{name}.json").read_text()
        configuration = load_text(name, text)
        if limited:
            return configuration
        store = configuration.weight_store
        store = store._replace(loads_per_second=100.0, concurrent_loads=200)
        return configuration._replace(weight_store=store)

    return load


@pytest.fixture
def make_fleet() -> Any:
    return Fleet


def serve_version(configuration: Configuration, model: str, version: str) -> Configuration:
    """Return the configuration with ``version`` added to ``model`` and served."""
    old = configuration.models_by_name[model]
    versions = dict(old.versions_by_name)
    versions[version] = versions[old.serving]._replace(name=version)
    new = old._replace(serving=version, versions_by_name=versions)
    return configuration._replace(models_by_name=configuration.models_by_name | {model: new})


@pytest.fixture
def new_version() -> Any:
    return serve_version


@pytest.fixture
def unit() -> Any:
    return lambda model, version="v1": str(Unit(model, version))
