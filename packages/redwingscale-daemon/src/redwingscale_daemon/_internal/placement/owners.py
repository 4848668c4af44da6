"""Selects the engines that this instance owns, and runs a thread for each of them."""

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

# Polls within one poll interval while an order or a drain is in progress, since loading
# a model again takes several reports in sequence.
BUSY_POLLS_PER_INTERVAL = 4


class _Work(NamedTuple):
    owner: EngineOwner
    task: Periodic


class Owners:
    """Owns the engines of its failure domain that rendezvous hashing assigns to this instance."""

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
        """Start owners of newly assigned engines, and end those of the others."""
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
        """End all owners, and release their ownerships and the session permanently.

        The thread that calls `step` may run it once more. Without a guard it would take the
        engines again, and the process would end as the owner of engines to which no other
        instance may send orders until its lease has expired.
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
        # Released only after the last step has ended: otherwise its orders could conflict
        # with those of the successor.
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
