"""The composition root: the one place that wires the parts of an instance."""

import random
import time

from redwingscale_common.network.server import HttpServer, ServerLimits

from redwingscale_daemon._internal.admission.capacity import Capacity
from redwingscale_daemon._internal.admission.gate import Gate, gate_limits
from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.control import build_control
from redwingscale_daemon._internal.entry.callers_app import CallersApp
from redwingscale_daemon._internal.idempotency.claim import Claimant
from redwingscale_daemon._internal.idempotency.claims import Claims
from redwingscale_daemon._internal.idempotency.committer import Committer
from redwingscale_daemon._internal.idempotency.once import Once
from redwingscale_daemon._internal.idempotency.outcome import OutcomeStore
from redwingscale_daemon._internal.idempotency.retention import LEASE_NAME as SWEEP_LEASE
from redwingscale_daemon._internal.idempotency.retention import Retention
from redwingscale_daemon._internal.idempotency.settler import Settler
from redwingscale_daemon._internal.leases.ownership import Ownership
from redwingscale_daemon._internal.leases.session import Session
from redwingscale_daemon._internal.lifecycle.instance import Instance, Parts
from redwingscale_daemon._internal.lifecycle.readiness import Readiness
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.operators.configuration_api import ConfigurationApi
from redwingscale_daemon._internal.operators.drain_requests import DrainRequests
from redwingscale_daemon._internal.operators.operators_app import OperatorsApp
from redwingscale_daemon._internal.operators.state_view import StateView
from redwingscale_daemon._internal.placement.demand import DemandTotals, DemandTracker
from redwingscale_daemon._internal.placement.drain_acks import DrainAcks
from redwingscale_daemon._internal.placement.drain_reporter import STEP_SECONDS, DrainReporter
from redwingscale_daemon._internal.placement.intents import IntentStore
from redwingscale_daemon._internal.placement.owner import EngineOwner
from redwingscale_daemon._internal.placement.owner_parts import OwnerParts
from redwingscale_daemon._internal.placement.owners import Owners
from redwingscale_daemon._internal.placement.plan_follower import PlanFollower
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
from redwingscale_daemon._internal.routing.cache_feed import CacheFeed
from redwingscale_daemon._internal.routing.cache_poller import CachePoller
from redwingscale_daemon._internal.routing.prefix_index import PrefixIndex
from redwingscale_daemon._internal.routing.router import Demand, Router
from redwingscale_daemon._internal.settings.settings import Settings
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing
from redwingscale_daemon._internal.upstreams.directory import Directory
from redwingscale_daemon._internal.upstreams.engine_client import EngineClient
from redwingscale_daemon._internal.upstreams.engine_control import EngineControl
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_daemon._internal.upstreams.plain_client import PlainClient
from redwingscale_daemon._internal.upstreams.plain_state import PlainStates
from redwingscale_daemon._internal.upstreams.plain_watch import PlainWatch
from redwingscale_daemon._internal.upstreams.reachability import Reachability
from redwingscale_daemon._internal.upstreams.watchers import Watchers
from redwingscale_daemon._internal.utils.periodic import Periodic

OPERATORS_THREADS = 4
QUARANTINE_POLL_SECONDS = 30.0
CLAIM_MARGIN_SECONDS = 0.5
CLAIM_INDEX_SECONDS = 300.0
CLAIM_SWEEP_SECONDS = 60.0
# How old the load in an engine's report is taken to be when it arrives.
REPORT_LAG_SECONDS = 0.5


def build_instance(settings: Settings) -> Instance:
    """Return the instance that ``settings`` describe; nothing is started yet."""
    me = settings.instance
    timing = settings.timing
    tracing = Tracing(me.id, settings.telemetry.otlp_endpoint)
    metrics = Metrics(settings.telemetry.otlp_endpoint)
    platform = connect_platform(settings.platform, me.id)

    control = build_control(settings, platform)
    board, beats, members, current = control.board, control.beats, control.members, control.current
    metrics.observe(
        {
            "redwingscale_peer_frames_rejected": lambda: control.traffic.frames_rejected,
            "redwingscale_peer_bytes_sent": lambda: control.traffic.bytes_sent,
            "redwingscale_peer_redials": lambda: control.traffic.redials,
        }
    )
    directory = Directory(board)
    members.on_change(directory.update_members)

    readiness = Readiness(current)
    session = Session(platform.table, me.id, board.boot, timing.lease)
    ownership = Ownership(platform.table, session, me.id, timing.lease)

    in_flight = InFlight()
    engines = EngineClient(timing.connect)
    plans = PlanStore(platform)
    engine_control = EngineControl(timing.connect)
    demand = DemandTracker(me.id, board, lambda: _live_instances(members))
    totals = DemandTotals(board, lambda: _live_instances(members))
    planner = Planner(ownership, plans, current, directory, totals)
    index = PrefixIndex()
    router = Router(
        me.failure_domain,
        directory,
        members,
        in_flight,
        random.Random(),
        index=index,
        demand=Demand(lambda model: _listed_versions(current, model), demand.arrived),
    )
    cache_poller = CachePoller(
        members, lambda e: ownership.held(e) is not None, engine_control, CacheFeed(index)
    )
    owner_parts = OwnerParts(
        control=engine_control,
        board=board,
        directory=directory,
        plans=PlanFollower(PlanStore(platform), time.monotonic),
        current=current,
        ownership=ownership,
        intents=IntentStore(platform.table),
        acks=DrainAcks(me.id, board, members, beats, timing.lease),
        metrics=metrics,
    )
    owners = Owners(
        me, timing, members, beats, ownership, lambda engine: EngineOwner(engine, owner_parts)
    )
    drain_reporter = DrainReporter(board, directory, in_flight)

    committer = Committer(platform.table)
    settler = Settler(committer, platform.table)
    claimant = Claimant(me.id, board.boot)
    retention = Retention(
        platform.table, claimant, lambda: ownership.try_acquire(SWEEP_LEASE) is not None
    )
    claims = Claims(
        committer,
        settler,
        OutcomeStore(platform.objects),
        claimant,
        retention,
        settings.limits.claim_retention_seconds,
        metrics,
    )
    once = Once(claims, settings.platform.timeout_seconds + CLAIM_MARGIN_SECONDS)
    capacity = Capacity(me, directory, members, in_flight, REPORT_LAG_SECONDS, time.monotonic)
    gate = Gate(gate_limits(settings.limits.request_threads), capacity)
    quarantine = Quarantine(me.id, board, QuarantineStore(platform.table))
    # One budget for both relays: it bounds what this instance adds to a failing deployment.
    budget = RetryBudget()
    generation = GenerationRelay(
        RunParts(
            router=router,
            client=engines,
            control=engine_control,
            in_flight=in_flight,
            reachability=Reachability(),
            budget=budget,
            silence=SilenceBounds(timing.least_silence, timing.silence),
            quarantine=quarantine,
            tracing=tracing,
            metrics=metrics,
        )
    )
    states = PlainStates(board, members)
    watchers = Watchers(me, members, beats, timing.lease)
    plain_watch = PlainWatch(
        members, board, watchers.include_me, timing.report_poll, timing.connect
    )
    plain = PlainRelay(
        router,
        PlainClient(timing.connect),
        in_flight,
        states,
        once,
        budget,
        tracing,
        metrics,
    )
    callers_app = CallersApp(
        current,
        generation,
        plain,
        once,
        gate,
        readiness,
        tracing,
        metrics,
        settings.limits.body_bytes,
    )
    view = StateView(me, current, readiness, session, members, beats, directory, in_flight)
    operators_app = OperatorsApp(
        settings.operators.token_sha256,
        ConfigurationApi(control.store, current, control.versions, members, directory),
        view,
        DrainRequests(me.id, board),
        metrics,
    )

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
        listener=control.listener,
        mesh=control.mesh,
        owners=owners,
        plain_watch=plain_watch,
        committer=committer,
        settler=settler,
        once=once,
        retention=retention,
        readiness=readiness,
        tracing=tracing,
        metrics=metrics,
        tasks=[
            *control.tasks,
            Periodic("session", timing.lease_renewal, session.renew),
            Periodic("owners", timing.heartbeat, owners.step),
            Periodic("plain-watch", timing.heartbeat, plain_watch.step),
            Periodic("claim-index", CLAIM_INDEX_SECONDS, retention.flush),
            Periodic("claim-sweep", CLAIM_SWEEP_SECONDS, retention.sweep),
            Periodic("drains", STEP_SECONDS, drain_reporter.step),
            Periodic("quarantine", QUARANTINE_POLL_SECONDS, quarantine.refresh),
            Periodic("planner", timing.planning, planner.step),
            Periodic("cache", timing.planning, cache_poller.step),
            Periodic("demand", timing.planning, lambda: demand.step(time.monotonic())),
        ],
    )
    return Instance(parts, timing.balancer_drain)


def _listed_versions(current: CurrentConfiguration, model: str) -> list[str]:
    accepted = current.get()
    listed = accepted.configuration.models_by_name.get(model) if accepted else None
    return list(reversed(listed.versions_by_name)) if listed else []


def _live_instances(members: Members) -> list[str]:
    return [m.id for m in members.instances() if not m.leaving]


def _callers_limits(settings: Settings) -> ServerLimits:
    return ServerLimits(
        threads=settings.limits.request_threads,
        backlog=settings.limits.queue_length,
        timeout_seconds=settings.limits.sender_timeout_seconds,
    )
