"""Answers instances that ask which upstreams this one reaches."""

import math
import time
from collections.abc import Callable

from redwingscale_daemon._internal.fleet.own_path import OwnPath
from redwingscale_daemon._internal.fleet.path_messages import PathQuery, PathReply
from redwingscale_daemon._internal.forwarding.peer_port import PeerPort


class PathReplies:
    """Says what was heard of upstreams, and offers to take requests."""

    def __init__(
        self,
        instance: str,
        failure_domain: str,
        host: str,
        path: OwnPath,
        port: PeerPort,
        busy: Callable[[], float],
        is_unreachable: Callable[[str], bool] = lambda upstream_id: False,
        list_age: Callable[[], float] = lambda: math.inf,
    ) -> None:
        # Seconds since the store gave the list that is in use here.
        self._list_age = list_age
        # Returns whether an upstream has accepted no connection of this instance lately.
        self._is_unreachable = is_unreachable
        self._instance = instance
        self._failure_domain = failure_domain
        self._host = host
        self._path = path
        self._port = port
        self._busy = busy

    def reply(self, query: PathQuery) -> PathReply | None:
        """Return the answer to a peer, None if no port can be opened for its requests."""
        offer = self._port.offer()
        if offer is None:
            return None
        now = time.monotonic()
        heard = self._path.heard_since(query.upstreams, now - query.seconds)
        return PathReply(
            self._instance,
            self._failure_domain,
            self._host,
            offer.port,
            offer.token,
            self._port.takes_requests,
            self._busy(),
            [key for key in heard if not self._is_unreachable(key)],
            now - self._path.heard_at,
            self._port.claim(query.passing) if query.passing else 0,
            binds=True,
            refused=[*filter(self._is_unreachable, query.upstreams)],
            listed_ago=self._list_age(),
        )
