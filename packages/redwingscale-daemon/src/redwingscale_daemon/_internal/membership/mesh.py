"""The links of this instance: which peers it dials, redialled when silent."""

from collections.abc import Iterable

from redwingscale_common.utils.digests import rendezvous_order

from redwingscale_daemon._internal.membership.board import Board
from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.link import Link, LinkTiming
from redwingscale_daemon._internal.models.member import InstanceMember, Member

LINKS_INSIDE = 4
LINKS_ACROSS = 2


class Mesh:
    """Keeps links of bounded degree, chosen by rendezvous hashing."""

    def __init__(
        self, instance: str, failure_domain: str, board: Board, key: bytes, timing: LinkTiming
    ) -> None:
        self._instance = instance
        self._failure_domain = failure_domain
        self._board = board
        self._key = key
        self._timing = timing
        self._links_by_peer: dict[str, Link] = {}
        board.on_forward(self._offer)

    def update(self, members: dict[str, Member]) -> None:
        """Link to the peers that ``members`` calls for, and drop the other links."""
        peers = {
            m.id: m
            for m in members.values()
            if isinstance(m, InstanceMember) and m.id != self._instance
        }
        chosen = self._choose(peers.values())
        wanted = {peer: peers[peer].peers_url for peer in chosen}
        for peer, link in list(self._links_by_peer.items()):
            if wanted.get(peer) != link.url:
                self._links_by_peer.pop(peer).stop()
        for peer in wanted.keys() - self._links_by_peer.keys():
            self._add(peer, wanted[peer])

    def stop(self) -> None:
        for link in self._links_by_peer.values():
            link.stop()

    def _add(self, peer: str, url: str) -> None:
        link = Link(self._instance, peer, url, self._board, self._key, self._timing)
        self._links_by_peer[peer] = link
        link.start()

    def _choose(self, peers: Iterable[InstanceMember]) -> list[str]:
        inside = [p.id for p in peers if p.failure_domain == self._failure_domain]
        across = [p.id for p in peers if p.failure_domain != self._failure_domain]
        return (
            rendezvous_order(self._instance, inside)[:LINKS_INSIDE]
            + rendezvous_order(self._instance, across)[:LINKS_ACROSS]
        )

    def _offer(self, entry: Entry) -> None:
        for link in list(self._links_by_peer.values()):
            link.offer(entry)
