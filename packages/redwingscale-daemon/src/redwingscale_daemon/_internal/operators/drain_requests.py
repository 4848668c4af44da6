"""Sends operators' drain requests to the named instance by gossip."""

import os
import signal

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState

TOPIC = "drain"


class DrainRequests:
    """Publishes drain requests and drains this instance when a request names it.

    Every instance accepts a request for any other one: the gossip state replicates it.
    """

    def __init__(self, instance: str, gossip: GossipState) -> None:
        self._instance = instance
        self._gossip = gossip
        gossip.subscribe(TOPIC, self._on_entry)

    def send(self, instance: str) -> bool:
        """Request that ``instance`` drains and exits; return False if it is unknown.

        The entry names the process by its boot number: entries stay in the gossip state,
        and one without the number would also drain the process that starts next under
        the same instance id.
        """
        boots = [e.boot for e in self._gossip.entries() if e.origin == instance]
        if not boots:
            return False
        self._gossip.publish(TOPIC, instance, max(boots))
        return True

    def _on_entry(self, entry: Entry) -> None:
        boot = msgspec.msgpack.decode(entry.payload, type=int)
        if entry.key != self._instance or boot != self._gossip.boot:
            return
        log_event("drain_ordered", by=entry.origin)
        os.kill(os.getpid(), signal.SIGTERM)
