"""Engine control of one instance with injected faults, without a network."""

import random
from collections.abc import Callable

from redwingscale_daemon._internal.exceptions import UpstreamError
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.models.report import Report
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.upstreams.engine_control import EngineControl, Guard

from redwingscale_standins.engine.orders import StaleFence
from redwingscale_standins.histories.clock import FakeClock
from redwingscale_standins.histories.engine import FakeEngine
from redwingscale_standins.histories.faults import Fault, FaultSource, Point


class FaultyControl(EngineControl):
    """Calls the guard where the daemon's own client does: before the call and right at the send."""

    def __init__(
        self,
        clock: FakeClock,
        rng: random.Random,
        faults: FaultSource,
        strike: Callable[[Fault | None, str], None],
        engine_at: Callable[[str], FakeEngine | None],
        on_sent: Callable[[Order], None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._faults = faults
        self._strike = strike
        self._engine_at = engine_at
        self._on_sent = on_sent

    def report(self, engine: EngineMember) -> Report:
        """Return the report of the engine, unless a fault strikes."""
        fault = self._faults(Point.POLL)
        self._strike(fault, "before")
        process = self._engine_at(engine.url)
        if process is None or fault is Fault.REFUSED:
            raise UpstreamError(engine.id, "no answer", run=RunState.UNKNOWN)
        report = process.report()
        self._strike(fault, "after")
        return report

    def raise_fence(self, engine: EngineMember, fence: int) -> None:
        """Raise the fence of the engine, if its process still runs."""
        process = self._engine_at(engine.url)
        if process is None:
            raise UpstreamError(engine.id, "no answer", run=RunState.UNKNOWN)
        self._call_fenced(engine, lambda: process.raise_fence(fence))

    def order(self, engine: EngineMember, order: Order, guard: Guard) -> None:
        """Deliver ``order`` now, later, twice or not at all."""
        fault = self._faults(Point.ORDER)
        guard()
        self._strike(fault, "before")
        if fault is Fault.REFUSED:
            raise UpstreamError(engine.id, "not connected", run=RunState.NOT_RUN)
        guard()
        self._on_sent(order)
        if fault in (Fault.LATE, Fault.DOUBLED):
            seconds = self._rng.uniform(0, engine.late_order_seconds)
            self._clock.call_later(seconds, lambda: self._deliver_late(engine, order))
        if fault not in (Fault.LATE, Fault.LOST):
            self._call_fenced(engine, lambda: self._deliver(engine, order))
        self._strike(fault, "after")
        if fault in (Fault.REPLY_LOST, Fault.LATE):
            raise UpstreamError(engine.id, "no reply", run=RunState.UNKNOWN)

    def _deliver(self, engine: EngineMember, order: Order) -> None:
        process = self._engine_at(engine.url)
        if process is not None:
            process.accept(order)

    def _deliver_late(self, engine: EngineMember, order: Order) -> None:
        try:
            self._deliver(engine, order)
        except StaleFence:
            return

    def _call_fenced(self, engine: EngineMember, call: Callable[[], None]) -> None:
        try:
            call()
        except StaleFence as error:
            raise UpstreamError(engine.id, repr(error), run=RunState.NOT_RUN) from error
