"""A few instances, one table and one engine, with checks of their invariants."""

import contextlib
import random
from collections.abc import Iterable

from redwingscale_daemon._internal.leases.ownership import OWNER_PREFIX
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.placement.plan import Plan, PlannedUnit

from redwingscale_standins.histories.clock import FakeClock
from redwingscale_standins.histories.control import FaultyControl
from redwingscale_standins.histories.engine import FakeEngine
from redwingscale_standins.histories.faults import Fault, FaultSource, Killed
from redwingscale_standins.histories.owner import FakeOwner, OwnerWiring
from redwingscale_standins.histories.table import FaultyTable
from redwingscale_standins.platform.table import Table

ENGINE = "e1"
LEASE_SECONDS = 3.0
LATE_ORDER_SECONDS = 10.0
PAUSE_SECONDS = 6
CAPACITY_BYTES = 100
CACHE_SHARE = 0.1
LIMIT_BYTES = 90
SIZES_BY_UNIT = {
    "a@v1": 50,
    "a@v1:x": 5,
    "a@v2": 50,
    "b@v1": 30,
    "b@v1:y": 10,
    "c@v1": 40,
    "d@v1": 20,
}


class World:
    """Simulated world that is advanced explicitly; collects violated invariants."""

    def __init__(
        self, rng: random.Random, faults: FaultSource, *, checks_fencing: bool, instances: int = 3
    ) -> None:
        self._rng = rng
        self._faults = faults
        self._checks_fencing = checks_fencing
        self._boots = 0
        self._pausing = False
        self._highest_fence = 0
        self._table = Table()
        self._plan: Plan | None = None
        self.clock = FakeClock()
        self.engine = self._new_engine()
        self.member = self._new_member()
        self.down = False
        self.cut: set[int] = set()
        self.violations: list[str] = []
        self.orders_sent = 0
        self._names = [f"i{number}" for number in range(instances)]
        self.owners = [self._new_owner(number) for number in range(instances)]

    def step(self, number: int) -> None:
        """Let instance ``number`` renew its session and run one step; restart it if it is killed."""
        owner = self.owners[number]
        try:
            owner.session.renew()
            owner.step(self.member)
        except Killed:
            self.owners[number] = self._new_owner(number)
        self._check()

    def advance(self, seconds: float) -> None:
        """Advance the clock and check the invariants."""
        self.clock.advance(seconds)
        self._check()

    def set_plan(self, units: Iterable[str]) -> None:
        """Plan ``units`` with the base models that they need, as far as they fit."""
        planned: list[PlannedUnit] = []
        for unit in units:
            base = unit.partition(":")[0]
            wanted = [u for u in dict.fromkeys([base, unit]) if u not in {p.unit for p in planned}]
            size = sum(SIZES_BY_UNIT[u] for u in wanted)
            if sum(p.size_bytes for p in planned) + size <= LIMIT_BYTES:
                planned += [PlannedUnit(u, SIZES_BY_UNIT[u]) for u in wanted]
        sequence = self._plan.sequence + 1 if self._plan else 1
        self._plan = Plan(sequence, 1, {ENGINE: planned})

    def restart_engine(self) -> None:
        """Replace the engine's process; the new one is listed under an address of its own."""
        self.engine = self._new_engine()
        self.member = self._new_member()

    def restart_instance(self, number: int) -> None:
        """Kill an instance; a new process takes over its id."""
        self.owners[number] = self._new_owner(number)

    def stop_instance(self, number: int) -> None:
        """Stop an instance gracefully; a new process takes over its id."""
        with contextlib.suppress(Killed):
            self.owners[number].ownership.end()
        self.restart_instance(number)

    def hand_over(self, number: int) -> None:
        """Let an instance release the engine, as when another instance becomes responsible."""
        try:
            self.owners[number].ownership.release(ENGINE)
        except Killed:
            self.restart_instance(number)

    def double_instance(self, number: int) -> None:
        """Start a second process of an instance whose first process still runs unnoticed."""
        self._names.append(self._names[number])
        self.owners.append(self._new_owner(len(self.owners)))

    def has_converged(self) -> bool:
        """Return whether exactly the planned units are resident and ready."""
        planned = {p.unit for p in self._plan.units_by_engine[ENGINE]} if self._plan else set()
        residents = self.engine.memory.residents()
        return {r.unit for r in residents if r.phase == "ready"} == planned and len(
            residents
        ) == len(planned)

    def _check(self) -> None:
        memory = self.engine.memory
        if memory.peak_bytes > LIMIT_BYTES:
            self.violations.append(f"{memory.peak_bytes} bytes in {LIMIT_BYTES}")
        holders = [o for o in self.owners if o.ownership.grant_of(ENGINE) is not None]
        if len(holders) > 1:
            self.violations.append(f"{len(holders)} holders")
        fence = self._fence()
        if fence < self._highest_fence:
            self.violations.append(f"fence {fence} after {self._highest_fence}")
        self._highest_fence = fence

    def _fence(self) -> int:
        row = self._table.read([OWNER_PREFIX + ENGINE])[OWNER_PREFIX + ENGINE]
        return int(row.value["fence"]) if row else 0

    def _on_sent(self, order: Order) -> None:
        self.orders_sent += 1
        if not self._checks_fencing and order.fence < self._fence():
            self.violations.append(f"order of fence {order.fence} under {self._fence()}")

    def _strike(self, number: int, fault: Fault | None, when: str) -> None:
        match fault, when:
            case (Fault.PAUSED_BEFORE, "before") | (Fault.PAUSED_AFTER, "after"):
                self._pause(number)
            case (Fault.KILLED_BEFORE, "before") | (Fault.KILLED_AFTER, "after"):
                raise Killed

    def _pause(self, number: int) -> None:
        """Let the other instances run while instance ``number`` is paused during a call."""
        if self._pausing:
            return
        self._pausing = True
        for _ in range(PAUSE_SECONDS):
            self.advance(1.0)
            for other in range(len(self.owners)):
                if other != number:
                    self.step(other)
        self._pausing = False

    def _new_owner(self, number: int) -> FakeOwner:
        self._boots += 1
        offset = self._rng.uniform(0, 1000)

        def strike(fault: Fault | None, when: str) -> None:
            self._strike(number, fault, when)

        def is_down() -> bool:
            return self.down or number in self.cut

        wiring = OwnerWiring(
            instance=self._names[number],
            boot=self._boots,
            lease_seconds=LEASE_SECONDS,
            cache_share=CACHE_SHARE,
            clock=lambda: self.clock.now + offset,
            table=FaultyTable(self._table, self.clock, self._faults, strike, is_down),
            control=FaultyControl(
                self.clock, self._rng, self._faults, strike, self._engine_at, self._on_sent
            ),
            plan=lambda: self._plan,
        )
        return FakeOwner(ENGINE, wiring)

    def _new_engine(self) -> FakeEngine:
        return FakeEngine(
            CAPACITY_BYTES,
            self.clock,
            self._faults,
            self._rng,
            checks_fencing=self._checks_fencing,
        )

    def _new_member(self) -> EngineMember:
        return EngineMember(
            id=ENGINE,
            failure_domain="a",
            leaving=False,
            url=f"engine-{id(self.engine)}-{self.clock.now}",
            vendor="alder" if self._checks_fencing else "birch",
            accelerators=1,
            checks_fencing=self._checks_fencing,
            late_order_seconds=LATE_ORDER_SECONDS,
        )

    def _engine_at(self, url: str) -> FakeEngine | None:
        return self.engine if url == self.member.url else None
