"""Learns how slow upstreams and models are, from first events."""

import math
import threading
from collections import defaultdict
from collections.abc import Collection, Mapping
from typing import NamedTuple

# Least fractions of an observation's error by which each estimate is corrected. With four
# first events a second at an upstream, a change of its speed is learned in six seconds. If
# it is learned faster, queues that others build up for a moment look like slowness.
LEAST_LEVEL_GAIN, LEAST_UPSTREAM_GAIN, LEAST_MODEL_GAIN = 0.02, 0.04, 0.04
# The first observations count for as much as this many others of the initial value.
LEVEL_PRIOR, UPSTREAM_PRIOR, MODEL_PRIOR = 2.0, 4.0, 6.0
# Deviations decay by this fraction with each observation, so that a common factor of all
# upstreams or models moves into the level.
SHRINK = 0.005
# A single first event changes an estimate by no more than one that is this many times as
# late as expected: a preempted request may be ten times as late.
MAX_ERROR_FACTOR = 2.5
# Shorter times depend on the network and the batch step more than on the upstream.
HALF_WEIGHT_MS = 50.0
LEAST_MS = 1.0


class Effect(NamedTuple):
    """A deviation from the level, as a logarithm, and how often it was corrected."""

    log: float = 0.0
    observations: float = 0.0

    def corrected(self, error: float, prior: float, least_gain: float) -> "Effect":
        """Return the effect after an observation that deviates by ``error``."""
        gain = max(least_gain, 1.0 / (self.observations + 1.0 + prior))
        return Effect(self.log * (1.0 - SHRINK) + gain * error, self.observations + 1.0)


class SlownessFit:
    """Ratio of real to expected time as a product of level, upstream and model.

    All are kept as logarithms. Designed for a load in which the models and the upstreams of one
    service differ in speed by a factor of two and more, and in which each pair of them is
    seen too rarely to be learned on its own.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.level = Effect()
        self._upstreams: dict[str, Effect] = defaultdict(Effect)
        self._models: dict[str, Effect] = defaultdict(Effect)

    def observe(
        self, upstream_id: str, model: str, expected_ms: float, real_ms: float, known: float = 0.0
    ) -> float:
        """Take a first event; return by how much its logarithm deviates from the fit.

        ``known`` is the part of the deviation that has another cause, e.g. a slow spell.
        """
        with self._lock:
            log_ratio = math.log(max(real_ms, LEAST_MS) / max(expected_ms, LEAST_MS))
            upstream, own = self._upstreams[upstream_id], self._models[model]
            deviation = log_ratio - self.level.log - upstream.log - own.log
            limit = math.log(MAX_ERROR_FACTOR)
            error = min(limit, max(-limit, deviation - known))
            error *= expected_ms / (expected_ms + HALF_WEIGHT_MS)
            level = self.level.corrected(error, LEVEL_PRIOR, LEAST_LEVEL_GAIN)
            # The level is no deviation from anything, and does not decay.
            self.level = level._replace(log=level.log + self.level.log * SHRINK)
            self._upstreams[upstream_id] = upstream.corrected(
                error, UPSTREAM_PRIOR, LEAST_UPSTREAM_GAIN
            )
            self._models[model] = own.corrected(error, MODEL_PRIOR, LEAST_MODEL_GAIN)
        return deviation

    def seed(
        self, level: float | None, values: Mapping[str, float], upstream_ids: Collection[str]
    ) -> None:
        """Start from known ratios by upstream id and model name, if nothing was observed."""
        with self._lock:
            if level is None or self.level.observations:
                return
            self.level = Effect(math.log(level), LEVEL_PRIOR)
            for key, value in values.items():
                log = math.log(value)
                if key in upstream_ids:
                    self._upstreams[key] = Effect(log - self.level.log, UPSTREAM_PRIOR)
                else:
                    self._models[key] = Effect(log, MODEL_PRIOR)

    def upstream_log(self, upstream_id: str) -> float:
        """Return the logarithm of an upstream's slowness; the level for an unknown one."""
        effect = self._upstreams.get(upstream_id)
        return self.level.log + (effect.log if effect else 0.0)

    def model_log(self, model: str) -> float:
        """Return the logarithm of a model's slowness relative to the mean of all models."""
        effect = self._models.get(model)
        return effect.log if effect else 0.0

    def upstream_ids(self) -> list[str]:
        """Return the ids of the upstreams that were observed."""
        return list(self._upstreams)

    def models(self) -> list[str]:
        """Return the names of the models that were observed."""
        return list(self._models)

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._upstreams.pop(key, None)
