"""Estimates of the time to a first event, learned from all instances."""

import threading
from collections.abc import Callable

from redwingscale_daemon._internal.fleet.first_event_estimate import FirstEventEstimate
from redwingscale_daemon._internal.fleet.first_event_fit import FirstEvent
from redwingscale_daemon._internal.fleet.load_tracker import Load, LoadTracker
from redwingscale_daemon._internal.fleet.others_load import OthersLoad
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.read_times import INITIAL_SHAPE, TOKENS_PER_MS, Ahead
from redwingscale_daemon._internal.fleet.residual_quantiles import ResidualQuantiles
from redwingscale_daemon._internal.fleet.slowness_view import SlownessView
from redwingscale_daemon._internal.fleet.upstream import Upstream

# A request that finds the batch full waits for another one to end.
BATCH_FULL_MS = 200.0
# Part of the spread that counts as cost: of two holders with the same expected time, the
# one that is less certain is more often late.
SPREAD_SHARE = 0.1
# Without a leader, this many first events are kept at most.
MAX_PENDING = 200


class FirstEventEstimates:
    """Estimates by load, its age, and the slowness of upstream and model.

    Holders are compared as if the whole announced queue were ahead of the request: learned
    from requests that were sent to the shortest of some uncertain queues, the share of the
    queue that a request waits for is small, and with it too few would avoid long queues.

    The leader learns slowness and read times from the first events of all instances; see
    `SlownessView`. This instance learns by how much its estimates deviate.
    """

    def __init__(self, load_tracker: LoadTracker) -> None:
        self._lock = threading.Lock()
        self._load_tracker = load_tracker
        self._others = OthersLoad()
        self._quantiles = ResidualQuantiles()
        self.slowness = SlownessView()
        self._pending: list[tuple[FirstEvent, float]] = []
        # Called with real over expected time for each first event.
        self.on_observed: Callable[[float], None] = lambda ratio: None

    def estimate(self, upstream: Upstream, prompt: Prompt, own_tokens: int) -> FirstEventEstimate:
        """Return when ``upstream`` would send the first event; it has to read ``own_tokens``."""
        own, others, age_ms = self._load_tracker.parts(upstream.id)
        speed = self.slowness.upstream(upstream.id)
        slowness = speed * self.slowness.model(prompt.unit.model)
        unread = self._others.now(upstream.id, others, age_ms, 1.0 / speed)
        requests = own.requests + others.requests
        ahead = Ahead(
            own_tokens / TOKENS_PER_MS,
            (own.prompt_tokens + unread.tokens) / TOKENS_PER_MS,
            requests,
            prompt.priority,
        )
        spread_ms = unread.spread / TOKENS_PER_MS * slowness
        shape = self.slowness.shape(prompt.priority)
        full_ms = max(0, requests + 1 - upstream.slots) * BATCH_FULL_MS
        return FirstEventEstimate(
            upstream.id,
            prompt.unit.model,
            ahead,
            slowness,
            shape.total_ms(ahead),
            shape.total_ms(ahead) * slowness + full_ms,
            shape.queue_ms(ahead) * slowness + full_ms,
            INITIAL_SHAPE.total_ms(ahead) * slowness + full_ms + SPREAD_SHARE * spread_ms,
            shape.queue_share * spread_ms,
            self._quantiles,
        )

    def observe(self, estimate: FirstEventEstimate, real_ms: float) -> None:
        """Take the first event of a request that was sent with ``estimate``."""
        self._quantiles.observe(estimate.deviation(real_ms))
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

    def drain(self) -> list[tuple[FirstEvent, float]]:
        """Return the first events since the last call, with their expected ms at slowness 1."""
        with self._lock:
            pending, self._pending = self._pending, []
        return pending

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        self._others.forget(upstream_ids)
        self.slowness.forget(upstream_ids)

    def _note(self, estimate: FirstEventEstimate, real_ms: float) -> None:
        event = FirstEvent(estimate.upstream_id, estimate.model, estimate.ahead, real_ms)
        self.slowness.own.observe(event)
        with self._lock:
            self._pending = [*self._pending[1 - MAX_PENDING :], (event, estimate.base_ms)]
        self.on_observed(real_ms / max(estimate.expected_ms, 1.0))
