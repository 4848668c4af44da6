"""Decides whether a request goes to an upstream or through another instance."""

import time
from collections.abc import Callable, Collection

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.health import Health
from redwingscale_daemon._internal.fleet.own_path import OwnPath
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.final_refusal import final_refusal
from redwingscale_daemon._internal.forwarding.peer_offers import Peer, PeerOffers

NO_PATH = "no_path"
# Another instance that reaches upstreams may have room again; the balancer may choose it.
PEERS_BUSY_RETRY_SECONDS = 0.3
# No other instance is known to reach upstreams. Paths are mostly back within seconds.
NO_PEER_RETRY_SECONDS = 1.0
# A peer's list is newer than the one here if the store gave it so much later. Instances that
# use the same read know its time from messages, to within their transit times.
NEWER_LIST_SECONDS = 0.2
# A peer with an older list has lost the store as well.
CURRENT_LIST_SECONDS = 1.0


class Detour:
    """Chooses another instance for requests whose upstreams are unreachable from here only.

    It makes no difference whether the path to all upstreams is lost or to those of one
    request: what counts is that none of its upstreams is reached here, and one is by a peer.
    An instance that gets the list neither from the store nor from the leader may lack
    upstreams that a peer knows.
    """

    def __init__(
        self,
        path: OwnPath,
        health: Health,
        offers: PeerOffers,
        outdated_since: Callable[[], float | None] = lambda: None,
    ) -> None:
        # When the store gave the list in use here, monotonic, None while updates of it arrive.
        self._outdated_since = outdated_since
        self._path = path
        self._health = health
        self._offers = offers

    def choose(self, call: Call, list_upstreams: Callable[[], Collection[str]]) -> Peer | None:
        """Return the instance to pass ``call`` on to, None to go on without one.

        ``list_upstreams`` returns the ids of upstreams that could run it. Raises `Refusal` if this
        instance reaches no upstream and no other instance takes the request.
        """
        since = self._path.lost_since
        if since is not None:
            return self._choose_without_path(call, since)
        listed_at = self._outdated_since()
        if not self._health.any_unreachable and listed_at is None:
            return None
        if not call.attempts.may_pass_on_to_peer:
            return None
        upstream_ids = list_upstreams()
        if not all(map(self._health.is_unreachable, upstream_ids)):
            return None
        peer = self._choose_by_path(call, upstream_ids) if upstream_ids else None
        if peer is None and listed_at is not None:
            return self._choose_by_list(call, listed_at)
        return peer

    def _choose_by_path(self, call: Call, upstream_ids: Collection[str]) -> Peer | None:
        failed_at = self._health.unreachable_since(upstream_ids)
        self._offers.follow(upstream_ids, failed_at)
        return self._choose(call, failed_at, upstream_ids)

    def _choose_by_list(self, call: Call, listed_at: float) -> Peer | None:
        self._offers.follow((), listed_at)
        current_since = time.monotonic() - CURRENT_LIST_SECONDS
        listed_after = max(listed_at + NEWER_LIST_SECONDS, current_since)
        return self._choose(call, listed_at, None, listed_after=listed_after)

    def _choose(
        self,
        call: Call,
        since: float,
        upstream_ids: Collection[str] | None,
        *,
        listed_after: float = float("-inf"),
    ) -> Peer | None:
        attempts = call.attempts
        return self._offers.choose(
            since,
            upstream_ids,
            attempts.silent_peer,
            binds=attempts.binding.needs_telling,
            listed_after=listed_after,
        )

    def _choose_without_path(self, call: Call, since: float) -> Peer | None:
        if call.attempts.may_pass_on_to_peer:
            peer = self._choose(call, since, None)
            if peer is None:
                self._offers.follow((), since)
                peer = self._choose(call, since, None)
            if peer is not None:
                return peer
        detail = "this instance has no path to upstreams, and no other one takes the request"
        known = self._offers.known or call.attempts.passed_on
        retry_seconds = PEERS_BUSY_RETRY_SECONDS if known else NO_PEER_RETRY_SECONDS
        raise final_refusal(call, NO_PATH, detail, retry_seconds)


def is_no_path(refusal: Refusal) -> bool:
    """Return whether the instance could not send the request for want of a path."""
    return refusal.code == NO_PATH
