"""One instance of a history, wired from the daemon's session, ownership and owner."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, NamedTuple, cast

from redwingscale_daemon._internal.leases.clock import Clock
from redwingscale_daemon._internal.leases.ownership import Ownership
from redwingscale_daemon._internal.leases.session import Session
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.placement.intents import IntentStore
from redwingscale_daemon._internal.placement.move_history import MoveHistory
from redwingscale_daemon._internal.placement.owner import EngineOwner
from redwingscale_daemon._internal.placement.owner_parts import OwnerParts
from redwingscale_daemon._internal.placement.plan import Plan
from redwingscale_daemon._internal.store.table import Table
from redwingscale_daemon._internal.upstreams.directory import Directory
from redwingscale_daemon._internal.upstreams.engine_control import EngineControl


class OwnerWiring(NamedTuple):
    """Identity of an instance, and its access to the simulated world."""

    instance: str
    boot: int
    lease_seconds: float
    cache_share: float
    clock: Clock
    table: Table
    control: EngineControl
    plan: Callable[[], Plan | None]


class FakeOwner:
    """Runs the owner one step at a time; configuration, plan and drains are stubs."""

    def __init__(self, engine: str, wiring: OwnerWiring) -> None:
        clock, table, lease = wiring.clock, wiring.table, wiring.lease_seconds
        gossip = GossipState(wiring.instance)
        policy = SimpleNamespace(cache_share=wiring.cache_share)
        accepted = SimpleNamespace(configuration=SimpleNamespace(policy=policy))
        self.session = Session(table, wiring.instance, wiring.boot, lease, clock)
        self.ownership = Ownership(table, self.session, wiring.instance, lease, clock)
        parts = OwnerParts(
            control=wiring.control,
            gossip=gossip,
            directory=Directory(gossip),
            plans=cast(Any, SimpleNamespace(latest=wiring.plan)),
            current=cast(Any, SimpleNamespace(get=lambda: accepted)),
            ownership=self.ownership,
            intents=IntentStore(table),
            acks=cast(Any, SimpleNamespace(all_drained=lambda *_: True)),
            metrics=cast(Any, SimpleNamespace(orders=_NoCounter(), invalid_reports=_NoCounter())),
            moves=MoveHistory(table),
            clock=clock,
        )
        self._engine = engine
        self._owner = EngineOwner(engine, parts)

    def step(self, engine: EngineMember) -> None:
        """Run one iteration of the daemon's thread for this engine."""
        grant = self.ownership.try_acquire(self._engine) or self.ownership.last_grant(self._engine)
        if grant is not None:
            self._owner.step(engine, grant)


class _NoCounter:
    def add(self, *_: object) -> None:
        """Count nothing."""
