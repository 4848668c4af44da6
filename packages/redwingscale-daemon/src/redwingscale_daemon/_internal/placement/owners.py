"""Which engines this instance owns, and a thread for each of them."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_common.utils.digests import rendezvous_order

from redwingscale_daemon._internal.leases.ownership import Ownership
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.placement.owner import EngineOwner
from redwingscale_daemon._internal.settings.settings import InstanceSettings, Timing
from redwingscale_daemon._internal.utils.periodic import Periodic

# Polls in the time of one while an order or a drain is under way: a model's way back
# takes several reports, one after the other.
BUSY_POLLS_PER_INTERVAL = 4


class _Work(NamedTuple):
    owner: EngineOwner
    task: Periodic


class Owners:
    """Takes the engines of the own failure domain that fall to this instance."""

    def __init__(
        self,
        instance: InstanceSettings,
        timing: Timing,
        members: Members,
        heartbeats: PeerHeartbeats,
        ownership: Ownership,
        make_owner: Callable[[str], EngineOwner],
    ) -> None:
        self._instance = instance
        self._timing = timing
        self._members = members
        self._heartbeats = heartbeats
        self._ownership = ownership
        self._make_owner = make_owner
        self._work_by_engine: dict[str, _Work] = {}
        self._lock = threading.Lock()
        self._stopped = False

    def step(self) -> None:
        """Start work on engines that fall to this instance, end it on the others."""
        with self._lock:
            if self._stopped:
                return
            assigned = self._assigned_engines()
            for engine in self._work_by_engine.keys() - assigned:
                self._end(engine)
            for engine in assigned - self._work_by_engine.keys():
                self._start(engine)

    def _assigned_engines(self) -> set[str]:
        return {engine.id for engine in self._members.engines() if self._is_assigned_here(engine)}

    def stop(self) -> None:
        """End all work and give the ownerships and the session back, for good.

        The thread that looks for engines may have one more turn: it would take
        them again, and the process would end as the owner of engines to which
        nobody else may give orders until its lease has run out.
        """
        with self._lock:
            self._stopped = True
            for engine in list(self._work_by_engine):
                self._end(engine)
            self._ownership.end()

    def _start(self, engine: str) -> None:
        owner = self._make_owner(engine)
        task = Periodic(
            f"owner-{engine}", self._timing.report_poll, lambda: self._work(engine, owner)
        )
        self._work_by_engine[engine] = _Work(owner, task)
        task.start()

    def _end(self, engine: str) -> None:
        owner, task = self._work_by_engine.pop(engine)
        task.stop()
        # Not released before the last_grant step has ended: its orders would meet the
        # successor's.
        owner.close()
        self._ownership.release(engine)

    def _work(self, engine: str, owner: EngineOwner) -> None:
        self._step(engine, owner)
        for _ in range(BUSY_POLLS_PER_INTERVAL - 1):
            if not owner.is_busy or engine not in self._work_by_engine:
                return
            time.sleep(self._timing.report_poll / BUSY_POLLS_PER_INTERVAL)
            self._step(engine, owner)

    def _step(self, engine: str, owner: EngineOwner) -> None:
        member = self._members.by_id.get(engine)
        grant = self._ownership.try_acquire(engine) or self._ownership.last_grant(engine)
        if grant is not None and isinstance(member, EngineMember):
            owner.step(member, grant)

    def _is_assigned_here(self, engine: EngineMember) -> bool:
        if engine.failure_domain != self._instance.failure_domain:
            return False
        alive = [
            m.id
            for m in self._members.instances()
            if m.failure_domain == engine.failure_domain and self._is_alive(m.id, m.leaving)
        ]
        return rendezvous_order(engine.id, {*alive, self._instance.id})[0] == self._instance.id

    def _is_alive(self, peer: str, leaving: bool) -> bool:
        return not leaving and self._heartbeats.silent_seconds(peer) < self._timing.lease
