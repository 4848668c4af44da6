"""The instances of the own failure domain that peers have learned of."""

from collections.abc import Callable

import msgspec

from redwingscale_daemon._internal.configuration.peer_versions import PeerVersions
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.membership.mesh import Mesh
from redwingscale_daemon._internal.settings.settings import InstanceSettings

TOPIC = "roster"


class PeerRosters:
    """Requests the rosters of the linked peers, and responds to such requests.

    An instance that starts without the platform cannot distinguish a stale peer
    from a majority until it has the number of peers. Entries arrive one by one, those
    of the first peer before those of others; a roster arrives complete.
    """

    def __init__(
        self, instance: InstanceSettings, mesh: Mesh, members: Members, versions: PeerVersions
    ) -> None:
        self._instance = instance
        self._mesh = mesh
        self._members = members
        self._versions = versions
        self._rosters_by_peer: dict[str, frozenset[str]] = {}
        self._wake: Callable[[], None] = lambda: None
        mesh.on_direct(TOPIC, self._on_direct)

    def on_response(self, wake: Callable[[], None]) -> None:
        """Call ``wake`` when a roster arrives."""
        self._wake = wake

    def request(self) -> None:
        """Request the roster of every linked peer that has not responded."""
        for peer in self._mesh.linked_peers():
            if peer not in self._rosters_by_peer:
                self._mesh.send_direct(peer, TOPIC, msgspec.msgpack.encode(None))

    @property
    def has_response(self) -> bool:
        """Whether any peer has responded."""
        return bool(self._rosters_by_peer)

    def peers(self) -> set[str]:
        """Return all peers of the own failure domain, as listed, announced or in a roster."""
        received = frozenset().union(*list(self._rosters_by_peer.values()))
        return (self._own_roster() | received) - {self._instance.id}

    def _own_roster(self) -> set[str]:
        domain = self._instance.failure_domain
        listed = {m.id for m in self._members.instances() if m.failure_domain == domain}
        by_instance = self._versions.by_instance()
        return listed | {p for p, entry in by_instance.items() if entry.failure_domain == domain}

    def _on_direct(self, peer: str, payload: bytes) -> None:
        roster = msgspec.msgpack.decode(payload, type=frozenset[str] | None)
        if roster is None:
            self._mesh.send_direct(peer, TOPIC, msgspec.msgpack.encode(self._own_roster()))
            return
        self._rosters_by_peer[peer] = roster
        self._wake()
