"""Load and unload orders of one engine, with fencing if the vendor supports it."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_standins.engine.memory import LOADING, READY, UNLOADING, Memory
from redwingscale_standins.engine.profile import EngineFaults

UNLOAD_SECONDS = 0.02


class Order(NamedTuple):
    """A load or an unload; ``fence`` is 0 if the vendor has no fencing."""

    order_id: str
    load: bool
    unit: str
    size_bytes: int
    fence: int = 0


class StaleFence(Exception):
    """The fencing number is lower than one already seen."""


class Orders:
    """Executes each order in a thread of its own and keeps its status by order id."""

    def __init__(
        self,
        memory: Memory,
        faults: EngineFaults,
        read_weights: Callable[[int], None],
        *,
        checks_fencing: bool,
    ) -> None:
        self._lock = threading.Lock()
        self._memory = memory
        self._faults = faults
        self._read_weights = read_weights
        self._checks_fencing = checks_fencing
        self._status_by_id: dict[str, str] = {}
        self.accepted: list[Order] = []
        self.fence = 0
        self.loads = 0
        self.unloads = 0

    def raise_fence(self, fence: int) -> None:
        """Refuse orders below ``fence`` from now on; raises `StaleFence` if it is itself too low."""
        with self._lock:
            self._check_fence(fence)

    def statuses(self) -> dict[str, str]:
        """Return ``running``, ``done`` or ``failed`` by order id."""
        with self._lock:
            return dict(self._status_by_id)

    def submit(self, order: Order) -> None:
        """Accept an order now, accept it late or lose it, according to the fault switches."""
        if self._faults.take("lose_orders"):
            return
        if self._faults.take("late_orders"):
            delay = self._faults.late_seconds
            threading.Timer(delay, self._accept_late, (order,)).start()
            return
        self._accept(order)

    def _accept_late(self, order: Order) -> None:
        try:
            self._accept(order)
        except StaleFence:
            return

    def _accept(self, order: Order) -> None:
        # Check and record under one lock: otherwise a successor could raise the fence in
        # between, read a report without the order and miss it.
        with self._lock:
            self._check_fence(order.fence)
            if order.order_id in self._status_by_id:
                return
            self._status_by_id[order.order_id] = "running"
            self.accepted.append(order)
        run = self._load if order.load else self._unload
        threading.Thread(target=run, args=(order,), daemon=True).start()

    def _check_fence(self, fence: int) -> None:
        if self._checks_fencing and fence < self.fence:
            raise StaleFence(str(self.fence))
        self.fence = max(self.fence, fence)

    def _load(self, order: Order) -> None:
        if not self._memory.add(order.unit, order.size_bytes):
            self._finish(order, "done")
            return
        self._read_weights(order.size_bytes)
        if self._faults.take("fail_loads"):
            self._memory.remove(order.unit)
            self._finish(order, "failed")
            return
        self._memory.set_phase(order.unit, READY)
        self.loads += 1
        self._finish(order, "done")

    def _unload(self, order: Order) -> None:
        # Like real engines, wait for a load of the same unit that is still running.
        while any(r.unit == order.unit and r.phase == LOADING for r in self._memory.residents()):
            time.sleep(UNLOAD_SECONDS)
        self._memory.set_phase(order.unit, UNLOADING)
        time.sleep(UNLOAD_SECONDS)
        self._memory.remove(order.unit)
        self.unloads += 1
        self._finish(order, "done")

    def _finish(self, order: Order, status: str) -> None:
        with self._lock:
            self._status_by_id[order.order_id] = status
