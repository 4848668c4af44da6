"""Learns how fast the workers of a service are, from the events of their streams."""

import statistics
import threading
from typing import NamedTuple

# Until events are known: a step without prompt tokens, and the prompt tokens that the
# slowest models read in a millisecond.
ASSUMED_STEP_MS = 10.5
ASSUMED_TOKENS_PER_MS = 19.0
# Prompts are read in half of the time, in few long steps: most pauses contain none, and the
# shorter third of them shows the speed of the worker. Spells of 0.6 s in which a worker is
# slow hardly move a quantile that follows hundreds of events.
SHORT_PAUSE_QUANTILE = 0.3
QUANTILE_STEP = 0.02
# Events that were read together were delayed on the way.
MIN_PAUSE_MS = 2.0
# Shorter prompts show the round trip and the steps more than the speed.
MIN_PROMPT_TOKENS = 800
# Weight of a new speed; faster ones count more, since prompts of other instances that are
# not yet known make a worker seem slow, and nothing makes it seem fast.
FASTER_FRACTION = 0.3
SLOWER_FRACTION = 0.05
MAX_RATIO = 4.0


class EngineSpeed(NamedTuple):
    """Time between two events without prompts, prompt tokens read in a millisecond, and speed.

    ``relative`` is the speed of the worker relative to the typical one of its service.
    """

    event_ms: float
    tokens_per_ms: float
    relative: float = 1.0


class EngineSpeeds:
    """Speeds of the workers of one service, by upstream id."""

    def __init__(self, tokens_per_event: int) -> None:
        self._lock = threading.Lock()
        self._assumed_event_ms = tokens_per_event * ASSUMED_STEP_MS
        self._event_ms: dict[str, float] = {}
        self._tokens_per_ms = ASSUMED_TOKENS_PER_MS

    def speed(self, upstream_id: str) -> EngineSpeed:
        """Return the speed of a worker, the typical one while it is unknown."""
        typical = self._typical_event_ms()
        event_ms = self._event_ms.get(upstream_id, typical)
        relative = min(MAX_RATIO, max(1 / MAX_RATIO, typical / event_ms))
        return EngineSpeed(event_ms, self._tokens_per_ms * relative, relative)

    def note_pause(self, upstream_id: str, pause_ms: float) -> None:
        """Note the time between two events of a stream."""
        if pause_ms < MIN_PAUSE_MS:
            return
        with self._lock:
            before = self._event_ms.setdefault(upstream_id, self._assumed_event_ms)
            step = SHORT_PAUSE_QUANTILE if pause_ms > before else SHORT_PAUSE_QUANTILE - 1
            self._event_ms[upstream_id] = before * (1 + QUANTILE_STEP * step)

    def note_prompt_read(self, upstream_id: str, tokens: int, first_event_ms: float) -> None:
        """Note a prompt that a worker without other prompts has read."""
        speed = self.speed(upstream_id)
        read_ms = first_event_ms - speed.event_ms
        if tokens < MIN_PROMPT_TOKENS or read_ms <= 0:
            return
        seen = tokens / read_ms / speed.relative
        with self._lock:
            before = self._tokens_per_ms
            fraction = FASTER_FRACTION if seen > before else SLOWER_FRACTION
            after = before + (min(seen, before * MAX_RATIO) - before) * fraction
            slowest = ASSUMED_TOKENS_PER_MS / MAX_RATIO
            self._tokens_per_ms = min(ASSUMED_TOKENS_PER_MS * MAX_RATIO, max(slowest, after))

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop workers that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._event_ms.pop(key, None)

    def _typical_event_ms(self) -> float:
        known = list(self._event_ms.values())
        return statistics.median(known) if known else self._assumed_event_ms
