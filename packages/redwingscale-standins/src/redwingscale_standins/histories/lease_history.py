"""Random histories of the leader lease at a store that comes back from older copies."""

import random
import sys
from itertools import pairwise
from typing import NamedTuple

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.platform.store_client import StoreClient
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_daemon._internal.swaps.leader_lease import LeaderLease
from redwingscale_daemon._internal.swaps.lease_record import LeaderRecord, LeaseTiming

from redwingscale_standins.histories.clock import FakeClock
from redwingscale_standins.histories.era_store import Connection, EraStore

TIMING = LeaseTiming(
    lease_seconds=2.0, order_seconds=1.2, order_call_seconds=0.6, handover_pause_seconds=3.0
)
INSTANCES = 4
TICK_SECONDS = 0.1
STEP_TICKS = 5
FAULTY_SECONDS = 60.0
# In sound conditions there is a leader that sends orders after this time.
RECOVERY_SECONDS = 12.0
MOST_COPY_SECONDS = 15.0
LATE_SECONDS = (1.0, 6.0)
ACTIONS = ("copy", "copy", "cut", "heal", "kill", "stop", "pause", "told")
CALL_FAULTS = ("refused", "lost", "late")
# The share of the orders whose packets are lost and sent again.
DELAYED_SHARE = 0.1


class LeaseOrder(NamedTuple):
    """An order as a worker receives it."""

    at: float
    process: str
    fence: int


class LeaseOutcome(NamedTuple):
    """The violations of a history, and how often the store came back from a copy."""

    seed: int
    copies: int
    orders: int
    violations: list[str]


class _Process:
    """One process of an instance."""

    def __init__(self, world: "_LeaseWorld", name: str, start: int) -> None:
        self.name = f"{name}.{start}"
        self.connection = Connection(
            world.store, world.clock, world.draw_fault, lambda: world.random.uniform(*LATE_SECONDS)
        )
        self.eras = StoreEras()
        client = StoreClient("127.0.0.1", 1, self.eras)
        # The connections are the only part that is simulated.
        client._pool = self.connection  # type: ignore[assignment]
        record = LeaderRecord(name, "127.0.0.1", 1, 2, self.name)
        timing = TIMING._replace(standby_seconds=world.random.uniform(0.0, 0.25))
        self.lease = LeaderLease(
            client, self.name, lambda: record, timing, lambda: world.clock.now, eras=self.eras
        )
        self.paused_until = 0.0
        # When the worker has its last order: the next one is sent after that.
        self.arrived_at = 0.0

    def step(self) -> None:
        try:
            self.lease.step()
        except PlatformError:
            return


class _LeaseWorld:
    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self._delays = random.Random(-seed)
        self.clock = FakeClock()
        self.store = EraStore(self.clock, era=self.random.choice((0, 1, 3)))
        self.faulty = True
        self.copies = 0
        self.orders: list[LeaseOrder] = []
        self._starts = 0
        self.processes = [self._start(f"n{number}") for number in range(INSTANCES)]

    def draw_fault(self) -> str | None:
        if not self.faulty or self.random.random() > 0.05:
            return None
        return self.random.choice(CALL_FAULTS)

    def _start(self, name: str) -> _Process:
        self._starts += 1
        return _Process(self, name, self._starts)

    def tick(self, number: int) -> None:
        self.clock.advance(TICK_SECONDS)
        self.store.count(self.random.randint(0, 3))
        for place, one in enumerate(self.processes):
            if one.paused_until > self.clock.now:
                continue
            # The first call after a pause may be an order.
            self._order(one)
            if number % STEP_TICKS == place % STEP_TICKS:
                one.step()
                self._order(one)

    def _order(self, one: _Process) -> None:
        now = self.clock.now
        if now < one.arrived_at or (fence := one.lease.fence()) is None:
            return
        one.arrived_at = now
        if self._delays.random() < DELAYED_SHARE:
            one.arrived_at += self._delays.uniform(0.0, TIMING.order_call_seconds)
        self.orders.append(LeaseOrder(one.arrived_at, one.name, fence))

    def act(self) -> None:
        """Let one fault begin or end."""
        place = self.random.randrange(INSTANCES)
        one = self.processes[place]
        match self.random.choice(ACTIONS):
            case "copy":
                self.copies += 1
                self.store.restore(self.random.uniform(0.0, MOST_COPY_SECONDS))
            case "cut":
                one.connection.cut = True
            case "heal":
                one.connection.cut = False
            case "stop":
                one.lease.release()
                self.processes[place] = self._start(one.name.partition(".")[0])
            case "kill":
                self.processes[place] = self._start(one.name.partition(".")[0])
            case "pause":
                one.paused_until = self.clock.now + self.random.uniform(0.5, 6.0)
            case "told":
                self._tell(one, self.random.choice(self.processes))

    def _tell(self, one: _Process, other: _Process) -> None:
        other.eras.note(one.eras.newest, "peer")
        if one.lease.record is not None:
            other.lease.adopt_record(one.lease.row_version, one.lease.record)
        if one.lease.is_leader:
            other.lease.note_renewal(one.lease.row_version)


def run_lease_history(seed: int) -> LeaseOutcome:
    """Play faults and copies for a minute, then none, and check the orders that workers got."""
    world = _LeaseWorld(seed)
    for number in range(round(FAULTY_SECONDS / TICK_SECONDS)):
        world.tick(number)
        if world.random.random() < TICK_SECONDS / 2:
            world.act()
    world.faulty = False
    for one in world.processes:
        one.connection.cut, one.paused_until = False, 0.0
    sound_at = world.clock.now
    for number in range(round(RECOVERY_SECONDS / TICK_SECONDS)):
        world.tick(number)
    world.orders.sort(key=lambda order: order.at)
    violations = _violations(world.orders)
    if not world.orders or world.orders[-1].at < sound_at + RECOVERY_SECONDS - 1.0:
        violations.append(f"no orders {RECOVERY_SECONDS} s after the last fault")
    return LeaseOutcome(seed, world.copies, len(world.orders), violations)


def _violations(orders: list[LeaseOrder]) -> list[str]:
    return [
        f"{before} then {after}"
        for before, after in pairwise(orders)
        if after.fence < before.fence
        or (
            after.process != before.process
            and (
                after.fence == before.fence or after.at - before.at < TIMING.handover_pause_seconds
            )
        )
    ]


def main() -> None:
    """Play the seeds from the first to the second argument, and print each broken one."""
    first, last = map(int, sys.argv[1:3])
    outcomes = [run_lease_history(seed) for seed in range(first, last + 1)]
    broken = [one for one in outcomes if one.violations]
    for one in broken:
        print(f"seed {one.seed}: {one.violations[0]} ({len(one.violations)} in all)")
    copies, orders = sum(one.copies for one in outcomes), sum(one.orders for one in outcomes)
    print(f"seeds={len(outcomes)} copies={copies} orders={orders} broken={len(broken)}")


if __name__ == "__main__":
    main()
