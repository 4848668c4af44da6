"""Workers with copies in memory and on disk, simulated on a clock of their own."""

import random
from collections import Counter
from types import SimpleNamespace
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_daemon._internal.swaps.copy_plans import CopyPlans, CopySettings
from redwingscale_daemon._internal.swaps.demand import Demand, WaitingUnit
from redwingscale_daemon._internal.swaps.load_rate import LoadCeiling, LoadRate
from redwingscale_daemon._internal.swaps.messages import DemandEntry, InstanceUpdate
from redwingscale_daemon._internal.swaps.planner import Planner
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

SERVICE = "llm"
STEP_SECONDS = 0.1
# Time for an unload and for the polls of reports around a load.
UNLOAD_SECONDS, POLL_SECONDS = 0.4, 0.2
LIST_SECONDS = 1.2
CEILING = LoadCeiling(9.0, 1.0)
MB = 1000.0


def engine_of(models=104, smallest=42.7):
    """Return models of up to 72.7 GB; the largest load in 8.6 s, 1.7 s and 1.3 s."""
    spread = 72.7 - smallest
    sizes = [smallest + spread * (n * 37 % models) / (models - 1) for n in range(models)]
    rules = {
        f"m{n}": ModelRule(f"m{n}", mb * MB, 100.0, 3, mb / 8.45, mb / 42.7, mb / 56.0)
        for n, mb in enumerate(sizes)
    }
    return EngineRule(64, 100_000, 200 * MB, 8, CEILING.per_second, rules, 140 * MB, 400 * MB)


class Started(NamedTuple):
    """A load; ``source`` is where the worker's weights really come from."""

    at: float
    worker: str
    model: str
    evicted: tuple[str, ...]
    source: str
    purpose: str


class Worker:
    """Copies are ordered by their last use, the least recently used first."""

    def __init__(self, key, domain, resident, disk):
        self.key, self.domain = key, domain
        self.resident, self.disk = list(resident), list(disk)
        self.memory = []
        self.settled_at, self.task, self.listed = {}, None, None
        self.confirmed = False

    def entry(self):
        models = {name: ResidentModel(name, 1, frozenset()) for name in self.resident}
        return Upstream(self.key, SERVICE, "127.0.0.1", 1, self.domain, 64, False, None, models,
                        frozenset(self.memory), frozenset(self.disk))  # fmt: skip


class World:
    """``workers`` with five copies on each disk, and ``absent`` models that are nowhere."""

    def __init__(
        self, clock, workers=30, models=104, absent=26, seed=3, mode=Mode.ON, smallest=42.7
    ):
        rng = random.Random(seed)
        self.clock, self.engine, self.mode = clock, engine_of(models, smallest), mode
        names = [*self.engine.models_by_name]
        rng.shuffle(names)
        present = names[absent:]
        places = present + rng.choices(present, k=5 * workers - len(present))
        rng.shuffle(places)
        self.busy = present[:10]
        resident = self.busy * 3 + present[10 : 2 * workers - 20]
        self.workers = {}
        for n in range(workers):
            key = f"w{n}"
            own = resident[n::workers]
            disk = list(dict.fromkeys([*places[n::workers], *own]))[-5:]
            self.workers[key] = Worker(key, f"z{n % 3}", own, disk)
        self.began, self.requests, self.cold_at = clock[0], {}, []
        self.swaps = []
        self.initial = Counter(name for w in self.workers.values() for name in w.resident)
        self.new_leader(first=True)

    def new_leader(self, first=False):
        """Begin a term; each instance has noted the first list that it has read."""
        self.demand, self.rate = Demand(), LoadRate()
        self.demand.note_initial_copies(SERVICE, self.initial)
        self.plans = CopyPlans(CopySettings(self.mode, self.mode), self.demand)
        self.plans.begin_term(succeeds_another=not first)
        for worker in self.workers.values():
            worker.settled_at, worker.confirmed = {}, False
            if worker.task:
                worker.task.foreign = True

    def seconds(self):
        return self.clock[0] - self.began

    def run(self, until):
        while self.seconds() < until:
            self.step()

    def leaderless(self, seconds):
        """Let the workers go on without plans."""
        end = self.seconds() + seconds
        while self.seconds() < end:
            self._tick()

    def _tick(self):
        self.clock[0] += STEP_SECONDS
        for worker in self.workers.values():
            self._advance(worker)

    def step(self):
        self._tick()
        entries = [
            DemandEntry(SERVICE, name, "", rate * STEP_SECONDS, 0, 0.0)
            for name, rate in self.requests.items()
        ]
        self.demand.receive(InstanceUpdate("i1", entries, [], [], []))
        self._plan()

    def _advance(self, worker):
        if worker.listed is None or self.clock[0] - worker.listed[0] >= LIST_SECONDS:
            worker.listed = (self.clock[0], worker.entry())
        task = worker.task
        worker.confirmed = worker.confirmed or task is None
        if task is None or self.clock[0] < task.ends_at:
            return
        worker.task = None
        worker.resident.append(task.model)
        self._use(worker.memory, task.model, self.engine.memory_copies_mb)
        self._use(worker.disk, task.model, self.engine.disk_copies_mb)
        worker.listed = (self.clock[0], worker.entry())
        if not task.foreign:
            worker.settled_at[task.model] = self.clock[0]

    def _use(self, copies, name, room):
        if name in copies:
            copies.remove(name)
        copies.append(name)
        while sum(self.engine.models_by_name[one].weights_mb for one in copies) > room:
            copies.pop(0)

    def views(self):
        return [self._view(worker) for worker in self.workers.values()]

    def _view(self, worker):
        task = worker.task if worker.task and not worker.task.foreign else None
        ready_in = max(0.0, task.ends_at - self.clock[0]) if task else 0.0
        resident = {name: frozenset() for name in worker.resident}
        return WorkerView(
            worker.listed[1], resident, worker.task is None, task.model if task else "",
            dict(worker.settled_at), 0, 0, {}, ready_in=ready_in, confirmed=worker.confirmed,
        )  # fmt: skip

    def waiting(self, views):
        return self.waiting_units(self.requests, views)

    @staticmethod
    def waiting_units(requests, views):
        present = {name for view in views for name in [*view.resident, view.loading]}
        return [
            WaitingUnit(SERVICE, Unit(name), rate, 5.0)
            for name, rate in requests.items()
            if name not in present and rate > 0
        ]

    def _plan(self):
        on = self.mode is Mode.ON
        planner = Planner(
            SERVICE, self.engine, self.demand,
            lambda views: self.plans.guard(SERVICE, self.engine, views) if on else None,
        )  # fmt: skip
        for _ in range(4):
            views = self.views()
            waiting = self.waiting(views)
            cold_allowed = self.rate.allows_load(CEILING)
            swap = planner.best_swap(waiting, views, cold_allowed=cold_allowed)
            if swap is not None:
                self._start(swap.view, swap.model.name, swap.evicted, swap.cold, "swap")
                continue
            load = None
            if on:
                load = self.plans.next_load(
                    SERVICE, self.engine, views, cold_allowed=cold_allowed,
                    awaited={one.unit.model for one in waiting},
                )  # fmt: skip
            if load is None:
                return
            self._start(load.view, load.model, load.evicted, load.cold, load.purpose)

    def _start(self, view, name, evicted, cold, purpose):
        worker = self.workers[view.upstream.id]
        assert worker.task is None and set(evicted) <= set(worker.resident)
        rule = self.engine.models_by_name[name]
        local = "memory" if name in worker.memory else "disk" if name in worker.disk else "store"
        seconds = {"memory": rule.memory_seconds, "disk": rule.disk_seconds}.get(
            local, rule.cold_seconds
        )
        worker.resident = [one for one in worker.resident if one not in evicted]
        kept = sum(self.engine.models_by_name[one].weights_mb for one in worker.resident)
        assert kept + rule.weights_mb <= self.engine.weights_mb
        if local == "store":
            self.rate.count_load()
            self.cold_at.append(self.clock[0])
        self.plans.note_evictions(SERVICE, evicted)
        ends_at = self.clock[0] + seconds + POLL_SECONDS + UNLOAD_SECONDS * len(evicted)
        worker.task = SimpleNamespace(model=name, ends_at=ends_at, foreign=False)
        started = Started(self.seconds(), view.upstream.id, name, evicted, local, purpose)
        self.swaps.append(started)

    def nowhere(self):
        """Return the models that are in no worker's memory and on no disk."""
        at_hand = {
            name for w in self.workers.values() for name in [*w.resident, *w.memory, *w.disk]
        }
        return self.engine.models_by_name.keys() - at_hand
