"""How much of its failure domain an instance must have heard before it trusts it."""

from typing import NamedTuple

from redwingscale_daemon._internal.configuration.peer_rosters import PeerRosters
from redwingscale_daemon._internal.configuration.peer_versions import PeerVersions
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats


class PeerCount(NamedTuple):
    """Peers heard and needed, and the highest version that those heard have in force."""

    live: int
    needed: int
    highest_version: int
    is_reached: bool


class Quorum:
    """Peers of the own failure domain: how many there are, and who is heard.

    An instance that starts without the platform has no version of its own to
    compare with, so one stale peer could hand it an old one. It therefore
    waits for a strict majority of the peers of its failure domain that it has
    learned of: from the list, the seeds in its settings, the board, and the
    roster of at least one peer (a stale peer still names those that it lost).
    With a single peer that one is the majority: it is what the domain serves.
    """

    def __init__(
        self,
        seed_count: int,
        rosters: PeerRosters,
        versions: PeerVersions,
        heartbeats: PeerHeartbeats,
        silence_seconds: float,
    ) -> None:
        self._seed_count = seed_count
        self._versions = versions
        self._heartbeats = heartbeats
        self._silence_seconds = silence_seconds
        self.rosters = rosters

    def count(self) -> PeerCount:
        """Return how many peers were heard and how many are needed."""
        entries = self._versions.by_instance()
        peers = self.rosters.peers()
        live = [p for p in peers if p in entries and entries[p].version > 0 and self._is_live(p)]
        needed = max(len(peers), self._seed_count) // 2 + 1
        highest_version = max((entries[peer].version for peer in live), default=0)
        is_reached = self.rosters.has_response and len(live) >= needed
        return PeerCount(len(live), needed, highest_version, is_reached)

    def _is_live(self, peer: str) -> bool:
        return self._heartbeats.silent_seconds(peer) < self._silence_seconds
