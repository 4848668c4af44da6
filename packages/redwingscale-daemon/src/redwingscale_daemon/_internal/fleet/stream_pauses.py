"""What is known of the pauses of streams, for the choice among the holders of a unit."""

import threading
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.engine_speeds import EngineSpeeds
from redwingscale_daemon._internal.fleet.load_tracker import Load, LoadTracker
from redwingscale_daemon._internal.fleet.mean_queues import MeanQueues
from redwingscale_daemon._internal.fleet.pause_cost import PauseCost, PauseRule, Pauses
from redwingscale_daemon._internal.fleet.prefill_chunks import PrefillChunks
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.prompt_places import (
    Holder,
    PromptPlaces,
    place_distances,
)

# Fraction of the unread tokens of other instances that counts: they are known 0.25 to
# 0.75 s late, and 1,800 tokens are read in 0.1 s.
OTHERS_UNREAD_FRACTION = 0.25
MILLISECONDS_PER_SECOND = 1000.0


class _Learned(NamedTuple):
    speeds: EngineSpeeds
    chunks: PrefillChunks
    places: PromptPlaces


class StreamPauses:
    """Costs of prompts by the pauses that they cause, learned for each service.

    ``rule_of`` returns the rule of a service, None where its streams have no longest pause
    or the feature is off. ``on_long_pause`` is called for each pause over its limit.
    """

    def __init__(
        self,
        rule_of: Callable[[str], PauseRule | None],
        load_tracker: LoadTracker,
        on_long_pause: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_long_pause = on_long_pause
        self._rule_of = rule_of
        self._load_tracker = load_tracker
        self._queues = MeanQueues()
        self._lock = threading.Lock()
        self._learned_by_service: dict[str, _Learned] = {}

    def applies(self, service: str) -> bool:
        """Return whether the pauses of the streams of ``service`` are limited."""
        return self._rule_of(service) is not None

    def costs(
        self, service: str, prompt: Prompt, cached_by_id: dict[str, int]
    ) -> dict[str, PauseCost]:
        """Return the cost of ``prompt`` at each holder, by upstream id.

        ``cached_by_id`` has the cached tokens of the prompt by holder. Empty if the pauses
        of the service are not limited, or if there is no holder.
        """
        rule = self._rule_of(service)
        if rule is None or not cached_by_id:
            return {}
        learned = self._learned(service, rule)
        pauses_by_id = {
            key: Pauses(rule, learned.speeds.speed(key), learned.chunks.tokens)
            for key in cached_by_id
        }
        holders = [self._holder(key, pauses) for key, pauses in pauses_by_id.items()]
        distances = place_distances(holders, learned.places.position(prompt))
        return {
            key: self._cost(pauses_by_id[key], key, prompt.tokens_in - cached, distances[key])
            for key, cached in cached_by_id.items()
        }

    def note_sent(self, service: str, prompt: Prompt) -> None:
        """Note a prompt that was sent to a holder."""
        rule = self._rule_of(service)
        if rule is not None:
            self._learned(service, rule).places.note(prompt)

    def note_prompt_read(
        self, service: str, upstream_id: str, before: Load, tokens: int, seconds: float
    ) -> None:
        """Note the first event of a stream; ``before`` is the load when it was sent."""
        rule = self._rule_of(service)
        if rule is not None and not before.prompt_tokens:
            speeds = self._learned(service, rule).speeds
            speeds.note_prompt_read(upstream_id, tokens, seconds * MILLISECONDS_PER_SECOND)

    def note_pause(self, service: str, upstream_id: str, seconds: float) -> None:
        """Note the time between two events that an upstream sent."""
        rule = self._rule_of(service)
        if rule is None:
            return
        learned = self._learned(service, rule)
        pause_ms = seconds * MILLISECONDS_PER_SECOND
        if pause_ms > rule.longest_gap_ms:
            self._on_long_pause()
        learned.speeds.note_pause(upstream_id, pause_ms)
        speed = learned.speeds.speed(upstream_id)
        read = (pause_ms - speed.event_ms) * speed.tokens_per_ms
        unread = self._load_tracker.total(upstream_id).prompt_tokens
        learned.chunks.note_pause(upstream_id, seconds, unread, read)

    def chunk_tokens(self, service: str) -> float | None:
        """Return the prompt tokens that a worker reads in a step, None while unknown."""
        learned = self._learned_by_service.get(service)
        return learned.chunks.learned if learned else None

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        self._queues.forget(upstream_ids)
        for learned in list(self._learned_by_service.values()):
            learned.speeds.forget(upstream_ids)
            learned.chunks.forget(upstream_ids)

    def _learned(self, service: str, rule: PauseRule) -> _Learned:
        with self._lock:
            learned = self._learned_by_service.get(service)
            if learned is None:
                steps = rule.tokens_per_event
                learned = _Learned(
                    EngineSpeeds(steps), PrefillChunks(service, steps), PromptPlaces()
                )
                self._learned_by_service[service] = learned
            return learned

    def _holder(self, upstream_id: str, pauses: Pauses) -> Holder:
        unread = self._load_tracker.total(upstream_id).prompt_tokens
        queue_ms = self._queues.update(upstream_id, unread) / pauses.speed.tokens_per_ms
        return Holder(upstream_id, queue_ms, pauses.speed.relative)

    def _cost(
        self, pauses: Pauses, upstream_id: str, prompt_tokens: int, distance: float
    ) -> PauseCost:
        load = self._load_tracker.total(upstream_id)
        own = self._load_tracker.own_at(upstream_id).prompt_tokens
        unread = own + (load.prompt_tokens - own) * OTHERS_UNREAD_FRACTION
        return pauses.cost(load.generating, unread, max(0, prompt_tokens), distance)
