"""Wires what an instance does when it loses its path to upstreams, and for others that have."""

import socket
import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.composition.swaps import engine_calls
from redwingscale_daemon._internal.fleet.fleet import Fleet
from redwingscale_daemon._internal.fleet.new_connection_watch import NewConnectionWatch
from redwingscale_daemon._internal.fleet.path_messages import PathQuery, PathReply
from redwingscale_daemon._internal.fleet.path_watch import PathWatch
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.connection_pool import ConnectionPool
from redwingscale_daemon._internal.forwarding.connection_probe import (
    ProbeResult,
    answers_on_new_connection,
    keeps_new_connection,
)
from redwingscale_daemon._internal.forwarding.detour import Detour
from redwingscale_daemon._internal.forwarding.path_replies import PathReplies
from redwingscale_daemon._internal.forwarding.peer_offers import Ask, PeerOffers
from redwingscale_daemon._internal.forwarding.peer_port import PeerPort
from redwingscale_daemon._internal.forwarding.peer_relay import PeerRelay
from redwingscale_daemon._internal.forwarding.request_handler import RequestHandler
from redwingscale_daemon._internal.forwarding.upstream_connection import CONNECT_SECONDS
from redwingscale_daemon._internal.ingress.byte_budget import ByteBudget
from redwingscale_daemon._internal.ingress.descriptor_limits import idle_limits
from redwingscale_daemon._internal.ingress.ingress_server import IngressServer, PortLimits
from redwingscale_daemon._internal.platform import exchange
from redwingscale_daemon._internal.settings.ingress_settings import IngressSettings
from redwingscale_daemon._internal.swaps.order_client import OrderClient
from redwingscale_daemon._internal.telemetry.ingress_metrics import IngressMetrics

# Offset from the first peer port; the ports before it carry the updates between instances.
PEER_REQUESTS_PORT = 3
# Fraction of the threads of the callers' port that serve requests of other instances: as
# many callers again as an instance has on the average.
PEER_THREADS_FRACTION = 0.5
MIN_PEER_THREADS = 8


class Detours(NamedTuple):
    """What the request path needs to pass requests on."""

    detour: Detour
    relay: PeerRelay


def build_detours(
    settings: IngressSettings,
    fleet: Fleet,
    metrics: IngressMetrics,
    addresses: Callable[[], list[str]],
    ask: Ask,
    reports: OrderClient,
    outdated_since: Callable[[], float | None],
) -> Detours:
    """Return the parts, not started; `PathWatch` starts with the first suspicion."""
    path = fleet.path
    offers = PeerOffers(settings.failure_domain, addresses, ask)
    pool = ConnectionPool(idle_limits(settings.machine.descriptors).peers)

    def probe(upstream: Upstream) -> None:
        if upstream.models_by_name:
            # An answer is noted by the client.
            reports.report(upstream)
            return
        try:
            socket.create_connection(upstream.address, CONNECT_SECONDS).close()
        except OSError:
            return
        path.note_heard(upstream.id)

    def follow_peers(since: float) -> bool:
        offers.follow((), since)
        return offers.reach_upstreams(since)

    def probe_new(upstream: Upstream) -> bool:
        began_at = time.monotonic()
        if upstream.models_by_name:
            result = answers_on_new_connection(upstream, engine_calls().report_target)
        else:
            result = keeps_new_connection(upstream)
        if result is not ProbeResult.WORKS:
            # The path is lost if nothing is heard on open connections either.
            refused = result is ProbeResult.REFUSED
            path.note_failed(upstream.id, "a new connection broke", began_at, refused=refused)
        return result is ProbeResult.WORKS

    new_connections = fleet.new_connections
    new_connections.on_broken = NewConnectionWatch(
        new_connections, fleet.directory, probe_new
    ).begin
    watch = PathWatch(path, fleet.directory, offers.who_heard, probe, follow_peers, offers.refused)
    path.on_suspected(watch.begin)
    path.on_restored(lambda: pool.forget(offers.ids()))
    path.on_restored(fleet.new_connections.note_restored)
    return Detours(
        Detour(path, fleet.health, offers, outdated_since),
        PeerRelay(
            settings.instance,
            exchange,
            pool,
            offers,
            lambda: path.lost,
            lambda result: metrics.passed_on.add(1, {"result": result}),
        ),
    )


def build_peer_port(
    settings: IngressSettings,
    handler: RequestHandler,
    budget: ByteBudget,
    limits: PortLimits,
    may_take: Callable[[], bool],
) -> PeerPort:
    """Return the port for requests of other instances, not opened."""
    first_port = settings.peer_ports[0]
    threads = max(MIN_PEER_THREADS, round(limits.threads * PEER_THREADS_FRACTION))
    peer_limits = limits._replace(threads=threads, name="peers")

    def make_server(port: PeerPort) -> IngressServer:
        return IngressServer(
            port.handle,
            settings.host,
            first_port + PEER_REQUESTS_PORT if first_port else 0,
            peer_limits,
            port.screen,
            port.refuse_unread,
            budget,
        )

    return PeerPort(handler, make_server, may_take)


def build_path_replies(
    settings: IngressSettings,
    fleet: Fleet,
    port: PeerPort,
    busy: Callable[[], float],
    list_age: Callable[[], float],
) -> Callable[[PathQuery], PathReply | None]:
    """Return how this instance answers peers that ask what it reaches."""
    replies = PathReplies(
        settings.instance,
        settings.failure_domain,
        settings.host,
        fleet.path,
        port,
        busy,
        fleet.health.is_unreachable,
        list_age,
    )
    return replies.reply
