"""Other instances that take requests which this one cannot send itself."""

import random
import threading
import time
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.path_messages import PathQuery, PathReply

# With more peers, each round asks a random sample.
MAX_ASKED = 6
# How long a round waits for replies; later ones are used by the next requests.
REPLY_SECONDS = 0.1
# How long the thread of a request waits until a silent peer has said how many upstreams run it.
CLAIM_SECONDS = 0.2
# An older offer is not used: the peer may be cut off or full by now.
FRESH_SECONDS = 1.5
# A round is repeated at most this often for requests.
ROUND_SECONDS = 0.4
# The same for requests with other upstreams than those that were asked about.
LEAST_PAUSE_SECONDS = 0.15
# A peer that has declined a request or lost one is left out for this time.
AVOID_SECONDS = 0.5
# Traffic between failure domains is charged for: a peer in another one is used if those of
# the own one are this much busier.
OTHER_DOMAIN_COST = 0.4
# Instances that choose by the same replies spread their requests.
NOISE = 0.2

Ask = Callable[[str, PathQuery], PathReply | None]


class Peer(NamedTuple):
    """An instance that takes requests; ``heard`` are upstreams that it reaches.

    ``heard_at`` is the monotonic time at which it last heard any upstream, by the clock here, and
    ``listed_at`` that at which the store gave its list; ``address`` is where it is asked.
    """

    id: str
    host: str
    port: int
    token: str
    failure_domain: str
    able: bool
    busy: float
    heard: frozenset[str]
    heard_at: float
    replied_at: float
    address: str
    binds: bool = False
    refused: frozenset[str] = frozenset()
    listed_at: float = float("-inf")


class PeerOffers:
    """Asks peers what they reach, and chooses one of them for each request."""

    def __init__(
        self, failure_domain: str, addresses: Callable[[], Collection[str]], ask: Ask
    ) -> None:
        self._failure_domain = failure_domain
        self._addresses = addresses
        self._ask = ask
        self._lock = threading.Lock()
        self._round = threading.Lock()
        self._asked_at = float("-inf")
        self._asked: frozenset[str] = frozenset()
        self._by_id: dict[str, Peer] = {}
        self._avoided_until: dict[str, float] = {}
        # Not for secrets: it only spreads requests.
        self._random = random.Random()

    def who_heard(self, upstream_ids: Collection[str], since: float) -> dict[str, frozenset[str]]:
        """Ask peers now; return which of the upstreams each of them heard since ``since``."""
        self._ask_round(upstream_ids, since)
        return {
            peer.id: peer.heard
            for peer in list(self._by_id.values())
            if peer.able and peer.replied_at > since and peer.heard and peer.heard_at > since
        }

    def refused(self) -> frozenset[str]:
        """Return the upstreams that have lately refused a peer, by the last replies."""
        oldest = time.monotonic() - FRESH_SECONDS
        fresh = [one.refused for one in list(self._by_id.values()) if one.replied_at > oldest]
        return frozenset().union(*fresh)

    def follow(self, upstream_ids: Collection[str], since: float) -> None:
        """Ask peers now unless that was done a moment ago, for these upstreams."""
        with self._round:
            recent = time.monotonic() - self._asked_at < ROUND_SECONDS
            just_now = time.monotonic() - self._asked_at < LEAST_PAUSE_SECONDS
            if just_now or (recent and self._asked >= frozenset(upstream_ids)):
                return
            self._ask_round(upstream_ids, since)

    def reach_upstreams(self, since: float) -> bool:
        """Return whether an able peer has heard an upstream after ``since``, monotonic."""
        return any(peer.able and peer.heard_at > since for peer in list(self._by_id.values()))

    def choose(
        self,
        since: float,
        upstream_ids: Collection[str] | None,
        excluded: str | None = None,
        *,
        binds: bool = False,
        listed_after: float = float("-inf"),
    ) -> Peer | None:
        """Return the best able peer that has heard an upstream after ``since``, monotonic.

        ``upstream_ids`` are those of which it must reach one, None for any; the peer
        ``excluded`` is left out, those whose list is older than ``listed_after``, and with
        ``binds`` those that do not.
        """
        now = time.monotonic()
        able = [
            peer
            for peer in list(self._by_id.values())
            if peer.able
            and (peer.binds or not binds)
            and peer.listed_at >= listed_after
            and peer.id != excluded
            and now - peer.replied_at < FRESH_SECONDS
            and now >= self._avoided_until.get(peer.id, 0.0)
            and (upstream_ids is None or peer.heard & frozenset(upstream_ids))
        ]
        # One that heard none since may be cut off as well, or have had no request to send.
        sound = [peer for peer in able if peer.heard_at > since]
        return min(sound or able, key=self._cost, default=None)

    def avoid(self, peer: Peer, reason: str) -> None:
        """Leave out a peer that declined a request, or lost one."""
        self._avoided_until[peer.id] = time.monotonic() + AVOID_SECONDS
        log_event("peer_avoided", level="WARNING", peer=peer.id, reason=reason)

    def claim(self, peer: Peer, passing: str) -> int:
        """Let ``peer`` ask no further upstream for a request that was passed on to it.

        Returns how many upstreams may run it there, 0 if that is not known in time.
        """
        replies: list[PathReply | None] = []

        def ask() -> None:
            replies.append(self._ask(peer.address, PathQuery([], 0.0, passing)))

        thread = threading.Thread(target=ask, daemon=True)
        thread.start()
        thread.join(CLAIM_SECONDS)
        runs = replies[0].runs if replies and replies[0] is not None else 0
        log_event("passed_on_claimed", peer=peer.id, passing=passing, runs=runs or "-")
        return runs

    def ids(self) -> set[str]:
        """Return the peers that have replied lately."""
        return set(self._by_id)

    @property
    def known(self) -> bool:
        """Whether a peer has replied lately, able or not."""
        since = time.monotonic() - FRESH_SECONDS
        return any(peer.replied_at > since for peer in list(self._by_id.values()))

    def _cost(self, peer: Peer) -> float:
        other = peer.failure_domain != self._failure_domain
        return peer.busy + other * OTHER_DOMAIN_COST + self._random.random() * NOISE

    def _ask_round(self, upstream_ids: Collection[str], since: float) -> None:
        addresses = list(self._addresses())
        sample = self._random.sample(addresses, min(MAX_ASKED, len(addresses)))
        self._asked_at, self._asked = time.monotonic(), frozenset(upstream_ids)
        query = PathQuery(sorted(upstream_ids), max(0.0, time.monotonic() - since))
        threads = [
            threading.Thread(target=self._ask_one, args=(one, query), daemon=True) for one in sample
        ]
        for thread in threads:
            thread.start()
        _join(threads, time.monotonic() + REPLY_SECONDS)

    def _ask_one(self, address: str, query: PathQuery) -> None:
        reply = self._ask(address, query)
        if reply is None:
            return
        now = time.monotonic()
        peer = Peer(
            reply.instance,
            reply.host,
            reply.port,
            reply.token,
            reply.failure_domain,
            reply.able,
            reply.busy,
            frozenset(reply.heard),
            now - reply.heard_ago,
            now,
            address,
            reply.binds,
            frozenset(reply.refused),
            now - reply.listed_ago,
        )
        with self._lock:
            oldest = now - FRESH_SECONDS
            fresh = {key: one for key, one in self._by_id.items() if one.replied_at > oldest}
            self._by_id = fresh | {peer.id: peer}


def _join(threads: Iterable[threading.Thread], deadline: float) -> None:
    for thread in threads:
        thread.join(max(0.0, deadline - time.monotonic()))
