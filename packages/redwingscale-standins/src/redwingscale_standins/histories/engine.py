"""Fake engine: orders and memory of the engine stand-in on a fake clock."""

import random

from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.models.report import Report, ResidentUnit

from redwingscale_standins.engine.memory import LOADING, READY, UNLOADING, Memory
from redwingscale_standins.engine.orders import StaleFence
from redwingscale_standins.histories.clock import FakeClock
from redwingscale_standins.histories.faults import Fault, FaultSource, Point

UNLOAD_SECONDS = 0.5
LONGEST_LOAD_SECONDS = 4.0


class FakeEngine:
    """One process of an engine; a restart creates another one with empty memory."""

    def __init__(
        self,
        capacity_bytes: int,
        clock: FakeClock,
        faults: FaultSource,
        rng: random.Random,
        *,
        checks_fencing: bool,
    ) -> None:
        self._clock = clock
        self._faults = faults
        self._rng = rng
        self._checks_fencing = checks_fencing
        self._status_by_id: dict[str, str] = {}
        self.memory = Memory(capacity_bytes)
        self.fence = 0

    def raise_fence(self, fence: int) -> None:
        """Refuse orders below ``fence`` from now on; raises `StaleFence` if it is itself too low."""
        if self._checks_fencing and fence < self.fence:
            raise StaleFence(str(self.fence))
        self.fence = max(self.fence, fence)

    def accept(self, order: Order) -> None:
        """Begin ``order`` unless its id was seen before; raises `StaleFence`."""
        self.raise_fence(order.fence)
        if order.order_id in self._status_by_id:
            return
        self._status_by_id[order.order_id] = "running"
        if order.load:
            self._load(order)
        else:
            self._unload(order)

    def report(self) -> Report:
        """Return the current state."""
        return Report(
            leaving=False,
            capacity_bytes=self.memory.capacity_bytes,
            residents=tuple(
                ResidentUnit(r.unit, r.size_bytes, r.phase == READY)
                for r in self.memory.residents()
            ),
            running=0,
            waiting=0,
            slots=8,
            orders=dict(self._status_by_id),
            fence=self.fence if self._checks_fencing else 0,
        )

    def _load(self, order: Order) -> None:
        if not self.memory.add(order.unit, order.size_bytes):
            self._status_by_id[order.order_id] = "done"
            return
        seconds = self._rng.uniform(0.1, LONGEST_LOAD_SECONDS)
        self._clock.call_later(seconds, lambda: self._end_load(order))

    def _end_load(self, order: Order) -> None:
        if self._faults(Point.LOAD) is Fault.FAILED:
            self.memory.remove(order.unit)
            self._status_by_id[order.order_id] = "failed"
            return
        self.memory.set_phase(order.unit, READY)
        self._status_by_id[order.order_id] = "done"

    def _unload(self, order: Order) -> None:
        residents = self.memory.residents()
        if any(r.unit == order.unit and r.phase == LOADING for r in residents):
            self._clock.call_later(UNLOAD_SECONDS, lambda: self._unload(order))
            return
        self.memory.set_phase(order.unit, UNLOADING)
        self._clock.call_later(UNLOAD_SECONDS, lambda: self._end_unload(order))

    def _end_unload(self, order: Order) -> None:
        self.memory.remove(order.unit)
        self._status_by_id[order.order_id] = "done"
