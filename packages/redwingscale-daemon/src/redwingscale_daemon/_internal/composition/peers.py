"""Wires the requests that instances send to each other."""

from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.composition.store_reads import StoreReads
from redwingscale_daemon._internal.fleet.fleet import Fleet
from redwingscale_daemon._internal.fleet.path_messages import PathQuery, PathReply
from redwingscale_daemon._internal.lifecycle.ingress_instance import Task
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_version_tracker import RouteVersionTracker
from redwingscale_daemon._internal.settings.ingress_settings import IngressSettings
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.swaps.entry_exchange import EntryExchange
from redwingscale_daemon._internal.swaps.leader_lease import LeaderLease
from redwingscale_daemon._internal.swaps.lease_record import LeaderRecord
from redwingscale_daemon._internal.swaps.peer_client import PeerClient
from redwingscale_daemon._internal.swaps.peer_query_rule import PeerQueryRule
from redwingscale_daemon._internal.swaps.peer_server import LeaseState, PeerServer
from redwingscale_daemon._internal.swaps.rate_limit_gossip import RateLimitGossip
from redwingscale_daemon._internal.utils.periodic import Periodic

# Offset from the first peer port. The first two ports carry the updates between the leader
# and the instances.
PEER_SERVER_PORT = 2
# How often an instance that cannot read the store queries its peers.
PEER_QUERY_SECONDS = 0.4
# Fraction of the time in which a change must be in force that its fetch from instances may
# take. The leader has read it before, and an instance without it reads the store after.
FETCH_FRACTION = 0.3
# If the leader has been silent for longer, it may not announce a rate limit in time, and
# instances send rate limits to each other.
LEADER_SILENT_SECONDS = 0.5


class Peers(NamedTuple):
    """The parts; ``fetch_announced`` fetches a configuration that the leader announced.

    ``entries`` are the entries that all instances exchange.
    """

    server: PeerServer
    client: PeerClient
    tasks: tuple[Task, ...]
    fetch_announced: Callable[[], bool]
    entries: GossipState


def build_peers(
    settings: IngressSettings,
    routes: CurrentRoutes,
    reads: StoreReads,
    route_versions: RouteVersionTracker,
    lease: LeaderLease,
    eras: StoreEras,
    fleet: Fleet,
    reply_on_path: Callable[[PathQuery], PathReply | None],
    told_by_instances: Callable[[], int],
) -> Peers:
    """Return the parts, not started.

    ``told_by_instances`` returns the newest configuration that instances have told the leader
    here, 0 for none.
    """
    first_port = settings.peer_ports[0]
    peer_server = PeerServer(
        settings.host,
        first_port + PEER_SERVER_PORT if first_port else 0,
        routes,
        lambda: routes.age,
        lambda: LeaseState(lease.row_version, lease.record),
        fleet.rates.receive_from_peer,
        lambda: exchange,
        reply_on_path,
        settings.machine.link_mbps,
    )
    rule = PeerQueryRule(
        routes,
        route_versions,
        reads.configuration,
        told_by_instances,
        settings.bounds.configuration,
    )

    def fetch_announced() -> bool:
        record = lease.record
        if record is None or not record.desk_port:
            return False
        address = f"{record.host}:{record.desk_port}"
        seconds = settings.bounds.configuration * FETCH_FRACTION
        return peer_client.fetch(address, route_versions.version, seconds)

    def adopt_record(row_version: StoreVersion, record: LeaderRecord) -> None:
        eras.note(row_version.era, "peer")
        lease.adopt_record(row_version, record)

    peer_client = PeerClient(
        routes,
        rule.due,
        adopt_record,
        lambda: peer_server.address,
        lambda: exchange.note_peers(),
    )
    entries = GossipState(settings.instance)
    exchange = EntryExchange(entries, peer_client.partners, peer_client.exchange)
    queries = Periodic("peer-questions", PEER_QUERY_SECONDS, peer_client.step)
    gossip = RateLimitGossip(
        fleet.rates,
        peer_client.addresses,
        lambda: not lease.is_leader and fleet.residency.age > LEADER_SILENT_SECONDS,
        peer_client.push,
    )
    tasks = (peer_server, queries, gossip, exchange)
    return Peers(peer_server, peer_client, tasks, fetch_announced, entries)
