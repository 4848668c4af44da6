"""The drain acknowledgements that this instance has received."""

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats
from redwingscale_daemon._internal.placement.drain_ack import TOPIC, DrainAck, RetirementMark

# Heartbeats of an instance that is alive but not linked are relayed within seconds; an
# instance that is silent for this many leases is partitioned or has crashed.
SILENT_LEASES = 2


class DrainAcks:
    """The newest `DrainAck` by instance and engine."""

    def __init__(
        self,
        instance: str,
        gossip: GossipState,
        members: Members,
        heartbeats: PeerHeartbeats,
        lease_seconds: float,
    ) -> None:
        self._instance = instance
        self._members = members
        self._heartbeats = heartbeats
        self._lease_seconds = lease_seconds
        self._acks_by_instance: dict[str, dict[str, DrainAck]] = {}
        gossip.subscribe(TOPIC, self._on_entry)

    def all_drained(self, engine: str, unit: str, since: RetirementMark, waited: float) -> bool:
        """Return whether no instance routes to ``unit`` on ``engine`` or has a request there.

        ``since`` is the mark at which ``unit`` began to retire, ``waited`` seconds ago.
        A silent instance no longer counts after `SILENT_LEASES` leases.
        """
        instances = {self._instance, *(m.id for m in self._members.instances())}
        return all(
            self._has_drained(instance, engine, unit, since) or self._is_silent(instance, waited)
            for instance in instances
        )

    def _has_drained(self, instance: str, engine: str, unit: str, since: RetirementMark) -> bool:
        ack = self._acks_by_instance.get(instance, {}).get(engine)
        return ack is not None and ack.mark >= since and unit in ack.units

    def _is_silent(self, instance: str, waited: float) -> bool:
        if instance == self._instance or waited < SILENT_LEASES * self._lease_seconds:
            return False
        return self._heartbeats.silent_seconds(instance) > self._lease_seconds

    def _on_entry(self, entry: Entry) -> None:
        acks = msgspec.msgpack.decode(entry.payload, type=list[DrainAck])
        self._acks_by_instance[entry.origin] = {ack.upstream: ack for ack in acks}
