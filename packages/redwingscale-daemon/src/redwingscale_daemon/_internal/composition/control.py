"""Wires membership and configuration, which an instance needs before it serves."""

from typing import NamedTuple

from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.configuration.peer_rosters import PeerRosters
from redwingscale_daemon._internal.configuration.peer_texts import PeerTexts
from redwingscale_daemon._internal.configuration.peer_versions import PeerVersions
from redwingscale_daemon._internal.configuration.quorum import Quorum
from redwingscale_daemon._internal.configuration.store import ConfigurationStore
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.heartbeat_clock import HeartbeatClock
from redwingscale_daemon._internal.membership.link import LinkTiming, Sender
from redwingscale_daemon._internal.membership.listener import Listener
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.membership.mesh import Mesh
from redwingscale_daemon._internal.membership.peer_heartbeats import PeerHeartbeats
from redwingscale_daemon._internal.membership.traffic import Traffic
from redwingscale_daemon._internal.settings.settings import Settings
from redwingscale_daemon._internal.store.store import Platform
from redwingscale_daemon._internal.utils.periodic import Periodic


class Control(NamedTuple):
    """The parts, not started; ``tasks`` are the threads that run their steps."""

    gossip: GossipState
    heartbeats: PeerHeartbeats
    traffic: Traffic
    listener: Listener
    mesh: Mesh
    members: Members
    store: ConfigurationStore
    versions: PeerVersions
    current: CurrentConfiguration
    tasks: list[Periodic]


def build_control(settings: Settings, platform: Platform) -> Control:
    """Return the parts for ``settings``."""
    me, peers, timing = settings.instance, settings.peers, settings.timing
    gossip, heartbeats, traffic = GossipState(me.id), PeerHeartbeats(), Traffic()
    sender = Sender(
        instance=me.id,
        failure_domain=me.failure_domain,
        key=peers.key.encode(),
        gossip=gossip,
        heartbeats=heartbeats,
        clock=HeartbeatClock(),
        traffic=traffic,
        timing=LinkTiming(timing.heartbeat, timing.full_cycle),
    )
    mesh = Mesh(sender, peers.seeds, lambda: peers.url or listener.url)
    listener = Listener(peers.host, peers.port, sender.key, mesh.receive, traffic)
    members = Members(platform.members)
    members.on_change(mesh.update)

    store = ConfigurationStore(platform)
    versions = PeerVersions(gossip, me.failure_domain)
    rosters = PeerRosters(me, mesh, members, versions)
    quorum = Quorum(len(peers.seeds), rosters, versions, heartbeats, timing.lease)
    current = CurrentConfiguration(store, gossip, versions, PeerTexts(mesh), quorum)
    poll = Periodic("configuration", timing.configuration_poll, current.refresh)
    current.on_wake(poll.wake)
    tasks = [
        Periodic("members", timing.member_poll, members.refresh),
        Periodic("mesh", timing.heartbeat, mesh.step),
        poll,
    ]
    return Control(
        gossip, heartbeats, traffic, listener, mesh, members, store, versions, current, tasks
    )
