"""How much of its failure domain an instance must have heard before it trusts it."""

from typing import NamedTuple

from redwingscale_daemon._internal.configuration.peer_rosters import PeerRosters
from redwingscale_daemon._internal.configuration.peer_versions import PeerVersions
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats


class Count(NamedTuple):
    """Peers heard and needed, and the highest version that those heard have in force."""

    heard: int
    needed: int
    highest: int
    enough: bool


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
        seeds: int,
        rosters: PeerRosters,
        versions: PeerVersions,
        heartbeats: PeerHeartbeats,
        silence_seconds: float,
    ) -> None:
        self._seeds = seeds
        self._versions = versions
        self._heartbeats = heartbeats
        self._silence_seconds = silence_seconds
        self.rosters = rosters

    def count(self) -> Count:
        """Return how many peers were heard and how many are needed."""
        told = self._versions.by_instance()
        peers = self.rosters.peers()
        heard = [p for p in peers if p in told and told[p].version > 0 and self._is_live(p)]
        needed = max(len(peers), self._seeds) // 2 + 1
        highest = max((told[peer].version for peer in heard), default=0)
        enough = self.rosters.answered and len(heard) >= needed
        return Count(len(heard), needed, highest, enough)

    def _is_live(self, peer: str) -> bool:
        return self._heartbeats.silent_seconds(peer) < self._silence_seconds
