"""Estimates of the time to a first event, learned from all instances."""

import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.first_event_estimate import Ahead, FirstEventEstimate
from redwingscale_daemon._internal.fleet.load_tracker import Load, LoadTracker
from redwingscale_daemon._internal.fleet.others_load import OthersLoad
from redwingscale_daemon._internal.fleet.read_times import TOKENS_PER_MS, ReadTimes
from redwingscale_daemon._internal.fleet.residual_quantiles import ResidualQuantiles
from redwingscale_daemon._internal.fleet.slowness_view import SlownessView
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream

# A request that finds the batch full waits for another one to end.
BATCH_FULL_MS = 200.0
# Without a leader, first events are kept for this many at most.
MAX_PENDING = 200


class FirstEvent(NamedTuple):
    """A first event that came after ``real_ms``; ``base_ms`` were expected at slowness 1."""

    upstream_id: str
    model: str
    base_ms: float
    real_ms: float


class FirstEventEstimates:
    """Estimates by load, its age, and the slowness of upstream and model.

    What this instance learns itself: the parts of the time that do not depend on tokens,
    and how much estimates deviate. Slowness comes from the leader, who receives the first
    events of all instances; see `SlownessView`.
    """

    def __init__(self, load_tracker: LoadTracker) -> None:
        self._lock = threading.Lock()
        self._load_tracker = load_tracker
        self._others = OthersLoad()
        self._read_times = ReadTimes()
        self._quantiles = ResidualQuantiles()
        self.slowness = SlownessView()
        self._pending: list[FirstEvent] = []
        # Called with real over expected time for each first event.
        self.on_observed: Callable[[float], None] = lambda ratio: None

    def estimate(self, upstream: Upstream, unit: Unit, own_tokens: int) -> FirstEventEstimate:
        """Return when an upstream would send the first event of a prompt with ``own_tokens``."""
        own, others, age_ms = self._load_tracker.parts(upstream.id)
        speed = self.slowness.upstream(upstream.id)
        slowness = speed * self.slowness.model(unit.model)
        unread = self._others.now(upstream.id, others, age_ms, TOKENS_PER_MS / speed)
        requests = own.requests + others.requests
        shape = self._read_times.shape
        before = own.prompt_tokens + unread.tokens
        base_ms = shape.milliseconds(before + own_tokens, requests)
        full_ms = max(0, requests + 1 - upstream.slots) * BATCH_FULL_MS
        own_ms = own_tokens / TOKENS_PER_MS + shape.fixed_ms
        return FirstEventEstimate(
            upstream.id,
            unit.model,
            Ahead(before + own_tokens, requests),
            slowness,
            base_ms,
            base_ms * slowness + full_ms,
            (base_ms - own_ms) * slowness + full_ms,
            unread.spread / TOKENS_PER_MS * slowness,
            self._quantiles,
        )

    def observe(self, estimate: FirstEventEstimate, real_ms: float) -> None:
        """Take the first event of a request that was sent with ``estimate``."""
        self._quantiles.observe(estimate.deviation(real_ms))
        tokens, requests = estimate.ahead
        self._read_times.observe(tokens, requests, estimate.slowness, real_ms)
        self._note(estimate, real_ms)

    def observe_lost(self, estimate: FirstEventEstimate, waited_ms: float) -> None:
        """Take a request that was lost after ``waited_ms`` without a first event.

        It counts only if the event was due: a connection that breaks at once says nothing
        about the upstream's speed.
        """
        if waited_ms > estimate.expected_ms:
            self._note(estimate, waited_ms)

    def receive_others(self, loads: dict[str, Load]) -> None:
        """Take an announcement of the other instances' load."""
        self._others.receive(loads)

    def receive_slowness(self, values: Mapping[str, float]) -> None:
        """Take the leader's slowness values."""
        self.slowness.receive(values)

    def drain(self) -> list[FirstEvent]:
        """Return the first events since the last call."""
        with self._lock:
            pending, self._pending = self._pending, []
        return pending

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        self._others.forget(upstream_ids)
        self.slowness.forget(upstream_ids)

    def _note(self, estimate: FirstEventEstimate, real_ms: float) -> None:
        event = FirstEvent(estimate.upstream_id, estimate.model, estimate.base_ms, real_ms)
        self.slowness.own.observe(*event)
        with self._lock:
            self._pending = [*self._pending[1 - MAX_PENDING :], event]
        self.on_observed(real_ms / max(estimate.expected_ms, 1.0))
