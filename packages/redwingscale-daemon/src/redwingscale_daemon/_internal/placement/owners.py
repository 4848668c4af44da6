"""Which engines this instance owns, and a thread for each of them."""

from redwingscale_common.utils.digests import rendezvous_order

from redwingscale_daemon._internal.leases.ownership import Ownership
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.membership.peer_beats import PeerBeats
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.placement.owner import EngineOwner
from redwingscale_daemon._internal.settings.settings import InstanceSettings, Timing
from redwingscale_daemon._internal.utils.periodic import Periodic


class Owners:
    """Takes the engines of the own failure domain that fall to this instance."""

    def __init__(
        self,
        instance: InstanceSettings,
        timing: Timing,
        members: Members,
        beats: PeerBeats,
        ownership: Ownership,
        owner: EngineOwner,
    ) -> None:
        self._instance = instance
        self._timing = timing
        self._members = members
        self._beats = beats
        self._ownership = ownership
        self._owner = owner
        self._tasks_by_engine: dict[str, Periodic] = {}

    def step(self) -> None:
        """Start work on engines that fall to this instance, end it on the others."""
        wanted = {e.id: e for e in self._members.engines() if self._falls_here(e)}
        for engine in self._tasks_by_engine.keys() - wanted.keys():
            self._tasks_by_engine.pop(engine).stop()
            self._ownership.release(engine)
        for engine in wanted.keys() - self._tasks_by_engine.keys():
            self._start(engine)

    def stop(self) -> None:
        """End all work and give the ownerships back."""
        for engine, task in list(self._tasks_by_engine.items()):
            task.stop()
            self._ownership.release(engine)
        self._tasks_by_engine.clear()

    def _start(self, engine: str) -> None:
        task = Periodic(f"owner-{engine}", self._timing.report_poll, lambda: self._work(engine))
        self._tasks_by_engine[engine] = task
        task.start()

    def _work(self, engine: str) -> None:
        member = self._members.by_id.get(engine)
        grant = self._ownership.try_acquire(engine)
        if grant is not None and isinstance(member, EngineMember):
            self._owner.step(member, grant)

    def _falls_here(self, engine: EngineMember) -> bool:
        if engine.failure_domain != self._instance.failure_domain:
            return False
        alive = [
            m.id
            for m in self._members.instances()
            if m.failure_domain == engine.failure_domain and self._is_alive(m.id, m.leaving)
        ]
        return rendezvous_order(engine.id, {*alive, self._instance.id})[0] == self._instance.id

    def _is_alive(self, peer: str, leaving: bool) -> bool:
        return not leaving and self._beats.silent_seconds(peer) < self._timing.lease
