"""Tells owners when this instance is done with units that retire."""

import time
from collections.abc import Callable

from redwingscale_daemon._internal.membership.board import Board
from redwingscale_daemon._internal.models.report import Digest
from redwingscale_daemon._internal.placement.drain_ack import TOPIC, DrainAck, RetirementMark
from redwingscale_daemon._internal.upstreams.directory import TOPIC as DIGEST_TOPIC
from redwingscale_daemon._internal.upstreams.directory import Directory
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

# How often `DrainReporter.step` should run: every unload waits for it.
STEP_SECONDS = 0.2
# A request may have chosen its engine just before the retirement was heard of, and
# be counted as in flight only after it.
SETTLE_SECONDS = 0.2


class DrainReporter:
    """Publishes a `DrainAck` for each engine with retiring units, when it changes."""

    def __init__(
        self,
        board: Board,
        directory: Directory,
        in_flight: InFlight,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._board = board
        self._directory = directory
        self._in_flight = in_flight
        self._clock = clock
        self._heard_at: dict[str, dict[str, float]] = {}
        self._changed: set[str] = set()
        self._acks_by_engine: dict[str, DrainAck] = {}
        board.subscribe(DIGEST_TOPIC, lambda entry: self._changed.add(entry.key))

    def step(self) -> None:
        """Look at the engines that retire units, and at those with news."""
        changed = [self._changed.pop() for _ in range(len(self._changed))]
        for engine in {*changed, *self._heard_at}:
            view = self._directory.engines().get(engine)
            if view is not None and view.digest is not None:
                self._report(engine, view.digest)

    def _report(self, engine: str, digest: Digest) -> None:
        if not digest.retiring and engine not in self._heard_at:
            return
        heard = self._heard_at.get(engine, {})
        now = self._clock()
        heard = {unit: heard.get(unit, now) for unit in digest.retiring}
        drained = [unit for unit, at in heard.items() if self._is_drained(engine, unit, at, now)]
        mark = RetirementMark(digest.fence, digest.retirement)
        ack = DrainAck(engine, mark, tuple(sorted(drained)))
        if ack != self._acks_by_engine.get(engine):
            self._acks_by_engine[engine] = ack
            self._board.publish(TOPIC, engine, ack)
        self._heard_at[engine] = heard
        if not heard:
            del self._heard_at[engine]

    def _is_drained(self, engine: str, unit: str, heard_at: float, now: float) -> bool:
        settled_at = heard_at + SETTLE_SECONDS
        return now > settled_at and not self._in_flight.uses(engine, unit, settled_at)
