"""The engines of the deployment with their latest reported state."""

import threading
import time
from typing import NamedTuple

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.models.member import EngineMember, Member
from redwingscale_daemon._internal.models.report import Digest

TOPIC = "digest"


class EngineView(NamedTuple):
    """An engine with its newest digest.

    ``received_at`` is the monotonic time when the digest arrived, 0.0 without a digest.
    """

    member: EngineMember
    digest: Digest | None
    received_at: float

    @property
    def leaving(self) -> bool:
        """Whether the list or the engine itself reports that it is leaving."""
        return self.member.leaving or (self.digest is not None and self.digest.leaving)

    def is_ready(self, unit: str) -> bool:
        """Return whether ``unit`` accepts new requests."""
        return unit in self.ready_units()

    def ready_units(self) -> list[str]:
        """Return the resident units that accept new requests."""
        digest = self.digest
        if digest is None or digest.set_aside:
            return []
        return [r.unit for r in digest.residents if r.ready and r.unit not in digest.retiring]


class Directory:
    """The engines by id, and the engines where each unit is ready.

    Readers take no lock: engines are added and removed only by a new list of members,
    which replaces the mappings; a digest replaces the values of one engine.
    """

    def __init__(self, gossip: GossipState) -> None:
        self._lock = threading.Lock()
        self._members: dict[str, EngineMember] = {}
        self._digests: dict[str, tuple[Digest, float]] = {}
        self._engines_by_id: dict[str, EngineView] = {}
        self._ready_by_unit: dict[str, list[str]] = {}
        gossip.subscribe(TOPIC, self._on_entry)

    def update_members(self, members: dict[str, Member]) -> None:
        """Replace the engines by those among ``members``."""
        with self._lock:
            self._members = {m.id: m for m in members.values() if isinstance(m, EngineMember)}
            self._rebuild()

    def engines(self) -> dict[str, EngineView]:
        """Return all engines by id."""
        return self._engines_by_id

    def engines_with(self, unit: str) -> list[EngineView]:
        """Return the engines where ``unit`` accepts new requests."""
        engines = self._engines_by_id
        return [engines[key] for key in self._ready_by_unit.get(unit, []) if key in engines]

    def _on_entry(self, entry: Entry) -> None:
        digest = msgspec.msgpack.decode(entry.payload, type=Digest)
        with self._lock:
            current = self._digests.get(digest.upstream)
            # After a change of owner both may publish for a while; the higher fence wins.
            if current is not None and current[0].fence > digest.fence:
                return
            self._digests[digest.upstream] = (digest, time.monotonic())
            self._replace(digest.upstream)

    def _replace(self, engine: str) -> None:
        """Apply the newest digest of one engine; the cost does not grow with other engines."""
        old = self._engines_by_id.get(engine)
        if old is None:
            return
        new = self._view(old.member)
        self._engines_by_id[engine] = new
        before, after = set(old.ready_units()), set(new.ready_units())
        for unit in before - after:
            self._ready_by_unit[unit] = [e for e in self._ready_by_unit[unit] if e != engine]
        for unit in after - before:
            self._ready_by_unit[unit] = sorted([*self._ready_by_unit.get(unit, ()), engine])

    def _rebuild(self) -> None:
        # Sorted: operators and tests see the same order whatever the order of the list.
        engines = {key: self._view(self._members[key]) for key in sorted(self._members)}
        ready: dict[str, list[str]] = {}
        for view in engines.values():
            for unit in view.ready_units():
                ready.setdefault(unit, []).append(view.member.id)
        self._engines_by_id = engines
        self._ready_by_unit = ready

    def _view(self, member: EngineMember) -> EngineView:
        digest, received_at = self._digests.get(member.id, (None, 0.0))
        return EngineView(member, digest, received_at)
