"""The composition root: the one place that wires the parts of an instance."""

import random

from redwingscale_common.network.server import HttpServer, ServerLimits

from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.configuration.store import ConfigurationStore
from redwingscale_daemon._internal.entry.callers_app import CallersApp
from redwingscale_daemon._internal.leases.ownership import Ownership
from redwingscale_daemon._internal.leases.session import Session
from redwingscale_daemon._internal.lifecycle.instance import Instance, Parts
from redwingscale_daemon._internal.lifecycle.readiness import Readiness
from redwingscale_daemon._internal.membership.board import Board
from redwingscale_daemon._internal.membership.link import LinkTiming
from redwingscale_daemon._internal.membership.listener import Listener
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.membership.mesh import Mesh
from redwingscale_daemon._internal.membership.peer_beats import PeerBeats
from redwingscale_daemon._internal.operators.operators_app import OperatorsApp
from redwingscale_daemon._internal.operators.state_view import StateView
from redwingscale_daemon._internal.placement.owner import EngineOwner
from redwingscale_daemon._internal.placement.owners import Owners
from redwingscale_daemon._internal.placement.plan_store import PlanStore
from redwingscale_daemon._internal.placement.planner import Planner
from redwingscale_daemon._internal.platform.platform import connect_platform
from redwingscale_daemon._internal.quarantine.quarantine import Quarantine
from redwingscale_daemon._internal.quarantine.store import QuarantineStore
from redwingscale_daemon._internal.relay.generation import GenerationRelay
from redwingscale_daemon._internal.relay.plain import PlainRelay
from redwingscale_daemon._internal.relay.retry_budget import RetryBudget
from redwingscale_daemon._internal.relay.run_parts import RunParts
from redwingscale_daemon._internal.relay.silence import SilenceBounds
from redwingscale_daemon._internal.routing.router import Router
from redwingscale_daemon._internal.settings.settings import Settings
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing
from redwingscale_daemon._internal.upstreams.directory import Directory
from redwingscale_daemon._internal.upstreams.engine_client import EngineClient
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_daemon._internal.upstreams.plain_client import PlainClient
from redwingscale_daemon._internal.upstreams.reachability import Reachability
from redwingscale_daemon._internal.utils.periodic import Periodic

OPERATORS_THREADS = 4
QUARANTINE_POLL_SECONDS = 30.0


def build_instance(settings: Settings) -> Instance:
    """Return the instance that ``settings`` describe; nothing is started yet."""
    me = settings.instance
    timing = settings.timing
    key = settings.peers.key.encode()
    tracing = Tracing(me.id, settings.telemetry.otlp_endpoint)
    metrics = Metrics(settings.telemetry.otlp_endpoint)
    platform = connect_platform(settings.platform, me.id)

    board = Board(me.id)
    beats = PeerBeats()
    listener = Listener(settings.peers.host, settings.peers.port, board, beats, key)
    link_timing = LinkTiming(timing.heartbeat, timing.full_cycle)
    mesh = Mesh(me.id, me.failure_domain, board, key, link_timing)
    members = Members(platform.members)
    directory = Directory(board)
    members.on_change(mesh.update)
    members.on_change(directory.update_members)

    store = ConfigurationStore(platform)
    current = CurrentConfiguration(store, board)
    readiness = Readiness(current)
    session = Session(platform.table, me.id, board.boot, timing.lease)
    ownership = Ownership(platform.table, session, me.id, timing.lease)

    in_flight = InFlight()
    engines = EngineClient(timing.connect)
    plans = PlanStore(platform)
    planner = Planner(ownership, plans, current, directory)
    owner = EngineOwner(engines, board, plans)
    owners = Owners(me, timing, members, beats, ownership, owner)

    router = Router(me.failure_domain, directory, members, in_flight, random.Random())
    quarantine = Quarantine(me.id, board, QuarantineStore(platform.table))
    generation = GenerationRelay(
        RunParts(
            router=router,
            client=engines,
            in_flight=in_flight,
            reachability=Reachability(),
            budget=RetryBudget(),
            silence=SilenceBounds(timing.least_silence, timing.silence),
            quarantine=quarantine,
            tracing=tracing,
            metrics=metrics,
        )
    )
    plain = PlainRelay(router, PlainClient(timing.connect), in_flight, tracing, metrics)
    callers_app = CallersApp(
        current, generation, plain, readiness, tracing, metrics, settings.limits.body_bytes
    )
    view = StateView(me, current, readiness, session, members, beats, directory, in_flight)
    operators_app = OperatorsApp(settings.operators.token_sha256, store, current, view, metrics)

    parts = Parts(
        callers=HttpServer(
            callers_app, settings.callers.host, settings.callers.port, _callers_limits(settings)
        ),
        operators=HttpServer(
            operators_app,
            settings.operators.host,
            settings.operators.port,
            ServerLimits(threads=OPERATORS_THREADS),
        ),
        listener=listener,
        mesh=mesh,
        owners=owners,
        readiness=readiness,
        tracing=tracing,
        metrics=metrics,
        tasks=[
            Periodic("members", timing.member_poll, members.refresh),
            Periodic("configuration", timing.configuration_poll, current.refresh),
            Periodic("session", timing.lease_renewal, session.renew),
            Periodic("owners", timing.heartbeat, owners.step),
            Periodic("quarantine", QUARANTINE_POLL_SECONDS, quarantine.refresh),
            Periodic("planner", timing.planning, planner.step),
        ],
    )
    return Instance(parts, timing.balancer_drain)


def _callers_limits(settings: Settings) -> ServerLimits:
    return ServerLimits(
        threads=settings.limits.request_threads,
        backlog=settings.limits.queue_length,
        timeout_seconds=settings.limits.sender_timeout_seconds,
    )
