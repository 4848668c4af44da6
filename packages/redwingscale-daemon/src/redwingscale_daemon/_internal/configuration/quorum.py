"""The number of live peers that an instance needs before it accepts their version."""

from typing import NamedTuple

from redwingscale_daemon._internal.configuration.peer_rosters import PeerRosters
from redwingscale_daemon._internal.configuration.peer_versions import PeerVersions
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats


class PeerCount(NamedTuple):
    """Live and needed peers, and the highest version in force at the live ones.

    A peer without a version does not count as live.
    """

    live: int
    needed: int
    highest_version: int
    is_reached: bool


class Quorum:
    """Counts the peers of the own failure domain and those of them that are live.

    An instance that starts without the platform has no version of its own to
    compare with, so one stale peer could give it an old one. It therefore waits
    for a strict majority of the peers of its failure domain that it has learned
    of: from the member list, the seeds in its settings, the gossip state, and the
    roster of at least one peer (a stale peer still names those it lost contact
    with). A single peer is the majority: its version is what the domain serves.
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
        """Return how many peers are live and how many are needed."""
        entries = self._versions.by_instance()
        peers = self.rosters.peers()
        live = [p for p in peers if p in entries and entries[p].version > 0 and self._is_live(p)]
        needed = max(len(peers), self._seed_count) // 2 + 1
        highest_version = max((entries[peer].version for peer in live), default=0)
        is_reached = self.rosters.has_response and len(live) >= needed
        return PeerCount(len(live), needed, highest_version, is_reached)

    def _is_live(self, peer: str) -> bool:
        return self._heartbeats.silent_seconds(peer) < self._silence_seconds
