"""Selects the instances that poll a plain upstream."""

from redwingscale_common.utils.digests import rendezvous_order

from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats
from redwingscale_daemon._internal.models.member import PlainMember
from redwingscale_daemon._internal.settings.settings import InstanceSettings

# Two, so that one still polls while a crash of the other is not detected yet.
WATCHERS = 2


class Watchers:
    """The first live instances of an upstream's failure domain in rendezvous-hash order."""

    def __init__(
        self,
        instance: InstanceSettings,
        members: Members,
        heartbeats: PeerHeartbeats,
        silence_seconds: float,
    ) -> None:
        self._instance = instance
        self._members = members
        self._heartbeats = heartbeats
        self._silence_seconds = silence_seconds

    def includes_this_instance(self, upstream: PlainMember) -> bool:
        """Return whether this instance polls ``upstream``."""
        if upstream.failure_domain != self._instance.failure_domain:
            return False
        near = [
            m
            for m in self._members.instances()
            if m.failure_domain == upstream.failure_domain and not m.leaving
        ]
        alive = {
            m.id for m in near if self._heartbeats.silent_seconds(m.id) < self._silence_seconds
        }
        order = rendezvous_order(upstream.id, {*alive, self._instance.id})
        return self._instance.id in order[:WATCHERS]
