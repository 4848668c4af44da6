"""Drain orders of operators, carried to the instance that they name."""

import os
import signal

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState

TOPIC = "drain"


class DrainRequests:
    """Any instance takes the order; the board carries it to the one that is named."""

    def __init__(self, instance: str, gossip: GossipState) -> None:
        self._instance = instance
        self._gossip = gossip
        gossip.subscribe(TOPIC, self._on_entry)

    def send(self, instance: str) -> bool:
        """Ask ``instance`` to finish its requests and end; return False if unknown.

        The entry names the process that is to end by its boot: entries stay in
        circulation, and one without it would drain the instance's successor too.
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
