"""How busy the workers are with prompts, and what a copy more or less changes."""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

# Waiting prompts are read in some tenths of a second. At a worker that is busy for the fraction
# u of the time, u * exp(-DECAY * (1 - u)) of the requests find more than that to be read first;
# the streams that run beside them have a pause of the same length.
DECAY = 4.0
# Late answers have a third to a half of the value of those in time.
HARM = 0.6

# Milliseconds that a worker of a model takes for a prompt token, by upstream id and model name.
TokenTime = Callable[[str, str], float]


class _Load(NamedTuple):
    """Requests per second of a worker, and the fraction of its time that their prompts take."""

    rate: float
    busy: float

    @property
    def harmed(self) -> float:
        """Requests per second that are late, or in whose streams a pause is too long."""
        fraction = self.busy * math.exp(-DECAY * (1.0 - self.busy)) if self.busy < 1.0 else 1.0
        return self.rate * fraction * HARM

    def plus(self, rate: float, work_seconds: float) -> "_Load":
        """Return the load with ``rate`` more requests of ``work_seconds`` each."""
        return _Load(max(0.0, self.rate + rate), max(0.0, self.busy + rate * work_seconds))


class Utilization:
    """The load of each worker by the arrivals for what it has, each shared by the holders.

    Answers a load in which some workers get more prompts than they can read while others are
    nearly idle: a queue at a worker shows for some tenths of a second only, and the planner
    sees it four times a second.
    """

    def __init__(
        self, service: str, demand: Demand, views: Sequence[WorkerView], token_time: TokenTime
    ) -> None:
        self._service = service
        self._demand = demand
        self._token_time = token_time
        self._views_by_model: dict[str, list[WorkerView]] = {}
        for view in views:
            for name in {*view.resident, *([view.loading] if view.loading else [])}:
                self._views_by_model.setdefault(name, []).append(view)
        self._rates = {name: demand.recent_rate(service, name) for name in self._views_by_model}
        self._loads = {view.upstream.id: self._load(view) for view in views}

    def busy_models(self, least_busy: float) -> list[str]:
        """Return the requested models one of whose holders is busier than ``least_busy``."""
        return [
            name
            for name, views in self._views_by_model.items()
            if self._rates[name] > 0
            and any(self._loads[view.upstream.id].busy > least_busy for view in views)
        ]

    def gain(self, name: str, view: WorkerView) -> float:
        """Return how many requests per second a further copy at ``view`` keeps from harm."""
        holders = self._views_by_model.get(name, [])
        if not holders:
            return -self.cost(name, view)
        rate = self._rates[name]
        each = rate / (len(holders) + 1)
        moved = rate / len(holders) - each
        relieved = sum(self._change(name, holder, -moved) for holder in holders)
        return -relieved - self._change(name, view, each)

    def cost(self, name: str, view: WorkerView) -> float:
        """Return how many requests per second an only copy at ``view`` harms there."""
        return self._change(name, view, self._demand.recent_rate(self._service, name))

    def loss(self, name: str, view: WorkerView) -> float:
        """Return how many requests per second are harmed if the copy at ``view`` is evicted."""
        others = [
            one for one in self._views_by_model.get(name, []) if one.upstream.id != view.upstream.id
        ]
        if not others:
            return 0.0
        rate = self._rates[name]
        moved = rate / len(others) - rate / (len(others) + 1)
        added = sum(self._change(name, holder, moved) for holder in others)
        return added + self._change(name, view, -rate / (len(others) + 1))

    def _load(self, view: WorkerView) -> _Load:
        load = _Load(0.0, 0.0)
        for name in {*view.resident, *([view.loading] if view.loading else [])}:
            rate = self._rates[name] / len(self._views_by_model[name])
            load = load.plus(rate, self._work_seconds(name, view))
        return load

    def _change(self, name: str, view: WorkerView, rate: float) -> float:
        before = self._loads[view.upstream.id]
        return before.plus(rate, self._work_seconds(name, view)).harmed - before.harmed

    def _work_seconds(self, name: str, view: WorkerView) -> float:
        tokens = self._demand.prompt_tokens(self._service, name)
        return tokens * self._token_time(view.upstream.id, name) / 1000.0
