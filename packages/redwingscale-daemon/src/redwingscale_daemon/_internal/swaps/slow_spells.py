"""Detects that an upstream is slow for a moment."""

import math
import time
from typing import NamedTuple

# Some upstreams are slower by this factor for about 0.6 s at a time, 15 in 100 of the time.
SPELL_FACTOR = 2.5
SPELL_SECONDS = 0.6
SPELL_FRACTION = 0.15
# Standard deviation of the logarithm of real over expected time without a spell: load that
# is reported late, batch steps, cached prompts.
LOG_DEVIATION = 0.45
# One late first event may have another cause. Two in a row make a spell likely.
MAX_LIKELIHOOD_RATIO = 6.0
LOG_FACTOR = math.log(SPELL_FACTOR)
# A probability returns to `SPELL_FRACTION` with this time constant.
RETURN_SECONDS = SPELL_SECONDS * (1.0 - SPELL_FRACTION)


class _Spell(NamedTuple):
    probability: float
    at: float

    def now(self, now: float) -> float:
        decay = math.exp(-max(0.0, now - self.at) / RETURN_SECONDS)
        return SPELL_FRACTION + (self.probability - SPELL_FRACTION) * decay


class SlowSpells:
    """The probability that each upstream is in a slow spell, by id.

    A chain of two states, normal and slow. The likelihoods of a first event under both give
    the probability; without further first events, it returns to its mean as spells end.
    """

    def __init__(self) -> None:
        self._spells: dict[str, _Spell] = {}

    def observe(self, upstream_id: str, deviation: float, weight: float = 1.0) -> None:
        """Take a first event whose logarithm deviates by ``deviation`` from the long-term mean.

        ``weight`` is the fraction of its time that depends on the upstream's speed.
        """
        now = time.monotonic()
        before = self._probability(upstream_id, now)
        log_likelihood = weight * LOG_FACTOR * (deviation - LOG_FACTOR / 2) / LOG_DEVIATION**2
        limit = math.log(MAX_LIKELIHOOD_RATIO)
        odds = before / (1.0 - before) * math.exp(min(limit, max(-limit, log_likelihood)))
        self._spells[upstream_id] = _Spell(odds / (1.0 + odds), now)

    def excess_log(self, upstream_id: str) -> float:
        """Return the logarithm by which the upstream is slower now than in the mean."""
        probability = self._probability(upstream_id, time.monotonic())
        return (probability - SPELL_FRACTION) * LOG_FACTOR

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        for key in upstream_ids:
            self._spells.pop(key, None)

    def _probability(self, upstream_id: str, now: float) -> float:
        spell = self._spells.get(upstream_id)
        return spell.now(now) if spell else SPELL_FRACTION
