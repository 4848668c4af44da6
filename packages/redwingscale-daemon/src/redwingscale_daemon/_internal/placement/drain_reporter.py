"""Reports to owners when this instance has drained retiring units."""

import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.models.report import Digest
from redwingscale_daemon._internal.placement.drain_ack import KEY, TOPIC, DrainAck, RetirementMark
from redwingscale_daemon._internal.upstreams.directory import TOPIC as DIGEST_TOPIC
from redwingscale_daemon._internal.upstreams.directory import Directory
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

# Interval at which `DrainReporter.step` should run; every unload waits for it.
STEP_SECONDS = 0.2
# A request may have chosen its engine just before the retirement was received, and be
# counted as in flight only after that.
SETTLE_SECONDS = 0.2


class _SeenMark(NamedTuple):
    mark: RetirementMark
    seen_at: float


class DrainReporter:
    """Publishes a `DrainAck` for each engine with retiring units, all in one entry.

    There is one entry per instance whatever the number of engines, since each entry
    stays in the gossip state of all instances and is sent again in every full cycle.
    """

    def __init__(
        self,
        gossip: GossipState,
        directory: Directory,
        in_flight: InFlight,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._gossip = gossip
        self._directory = directory
        self._in_flight = in_flight
        self._clock = clock
        self._changed: set[str] = set()
        self._seen_by_engine: dict[str, _SeenMark] = {}
        self._published: list[DrainAck] = []
        gossip.subscribe(DIGEST_TOPIC, lambda entry: self._changed.add(entry.key))

    def step(self) -> None:
        """Check the engines with retiring units and those with a new digest."""
        changed = [self._changed.pop() for _ in range(len(self._changed))]
        digests = [self._digest(engine) for engine in sorted({*changed, *self._seen_by_engine})]
        acks = [self._ack(digest) for digest in digests if digest and digest.retiring]
        self._seen_by_engine = {a.upstream: self._seen_by_engine[a.upstream] for a in acks}
        if acks != self._published:
            self._published = acks
            self._gossip.publish(TOPIC, KEY, acks)

    def _digest(self, engine: str) -> Digest | None:
        view = self._directory.engines().get(engine)
        return view.digest if view else None

    def _ack(self, digest: Digest) -> DrainAck:
        engine = digest.upstream
        mark = RetirementMark(digest.fence, digest.retirement)
        seen = self._seen_by_engine.get(engine)
        # A new mark restarts the wait: between two checks a unit may have been kept, used
        # and retired again.
        if seen is None or seen.mark != mark:
            seen = _SeenMark(mark, self._clock())
        self._seen_by_engine[engine] = seen
        drained = [unit for unit in digest.retiring if self._is_drained(engine, unit, seen.seen_at)]
        return DrainAck(engine, mark, tuple(drained))

    def _is_drained(self, engine: str, unit: str, heard_at: float) -> bool:
        settled_at = heard_at + SETTLE_SECONDS
        return self._clock() > settled_at and not self._in_flight.may_use(engine, unit, settled_at)
