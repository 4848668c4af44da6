"""Wires an instance whose requests are routed by host and path."""

import uuid
from collections.abc import Callable
from functools import partial

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.composition.crashes import build_crashes
from redwingscale_daemon._internal.composition.detours import (
    Detours,
    build_detours,
    build_path_replies,
    build_peer_port,
)
from redwingscale_daemon._internal.composition.followers import build_followers
from redwingscale_daemon._internal.composition.ordered_return import (
    ReturnUpdates,
    build_ordered_return,
    new_return_updates,
)
from redwingscale_daemon._internal.composition.own_reports import build_own_reports, report_client
from redwingscale_daemon._internal.composition.pauses import PauseRules
from redwingscale_daemon._internal.composition.places import build_fair_places
from redwingscale_daemon._internal.composition.store_reads import StoreReads
from redwingscale_daemon._internal.composition.stream_origins import (
    build_stream_origins,
    load_seconds,
)
from redwingscale_daemon._internal.composition.swaps import Swaps, build_swaps
from redwingscale_daemon._internal.fleet.chooser import Chooser
from redwingscale_daemon._internal.fleet.fleet import Fleet, new_fleet
from redwingscale_daemon._internal.fleet.list_age import ListAge
from redwingscale_daemon._internal.fleet.list_check import ListCheck
from redwingscale_daemon._internal.fleet.own_reports import OwnReports
from redwingscale_daemon._internal.fleet.stream_pauses import StreamPauses
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.forwarding.answer_end import AnswerEnds
from redwingscale_daemon._internal.forwarding.connection_pool import ConnectionPool
from redwingscale_daemon._internal.forwarding.crash_guard import CrashGuard
from redwingscale_daemon._internal.forwarding.holder_wait import HolderWait
from redwingscale_daemon._internal.forwarding.parts import RelayParts
from redwingscale_daemon._internal.forwarding.plain_relay import PlainRelay
from redwingscale_daemon._internal.forwarding.process_check import ProcessCheck
from redwingscale_daemon._internal.forwarding.repeat_budget import BudgetRule, RepeatBudget
from redwingscale_daemon._internal.forwarding.request_handler import RequestHandler
from redwingscale_daemon._internal.forwarding.sender import Sender
from redwingscale_daemon._internal.forwarding.stream_relay import StreamRelay
from redwingscale_daemon._internal.forwarding.stream_resumption import StreamResumption
from redwingscale_daemon._internal.forwarding.upstream_bytes import UpstreamBytes
from redwingscale_daemon._internal.ingress.byte_budget import ByteBudget, limits_of
from redwingscale_daemon._internal.ingress.descriptor_limits import idle_limits
from redwingscale_daemon._internal.ingress.ingress_server import IngressServer, PortLimits
from redwingscale_daemon._internal.ingress.unread_closes import UnreadCloses
from redwingscale_daemon._internal.lifecycle.ingress_instance import IngressInstance, IngressParts
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests
from redwingscale_daemon._internal.lifecycle.probe_app import MetricsApp, ReadinessApp
from redwingscale_daemon._internal.platform import exchange, names
from redwingscale_daemon._internal.platform.store_client import StoreClient
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_follower import ANSWER_FRACTION
from redwingscale_daemon._internal.routes.table_check import TableCheck
from redwingscale_daemon._internal.settings.ingress_settings import Bounds, IngressSettings
from redwingscale_daemon._internal.settings.scheduling import is_on
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_daemon._internal.swaps.start_check import StartCheck
from redwingscale_daemon._internal.telemetry.ingress_metrics import IngressMetrics
from redwingscale_daemon._internal.utils.periodic import Periodic
from redwingscale_daemon._internal.workspaces.place_uses import PlaceUses
from redwingscale_daemon._internal.workspaces.use_limiter import UseLimiter

# Larger than any configuration allows.
MAX_HEAD_BYTES = 32 << 10
MAX_BODY_BYTES = 8 << 20
# Callers reuse connections that were idle for up to 12 s.
IDLE_SECONDS = 20
# Interval of the rounds in which each upstream gets one request for its report, while neither
# the leader nor the list gives current residency.
OWN_REPORTS_SECONDS = 0.4
PROBE_THREADS = 2
# Fraction of the threads of the callers' port that only refuse requests, which takes each
# of them milliseconds.
REFUSING_FRACTION = 0.1
MIN_REFUSING_THREADS = 2
PROBE_HEAD_BYTES = 8 << 10


def build_ingress(settings: IngressSettings, reload: Callable[[], None]) -> IngressInstance:
    """Return the instance for ``settings``; nothing is started yet."""
    eras = StoreEras()
    store = StoreClient(settings.store.host, settings.store.port, eras)
    # An older answer is of no use: it may have missed an upstream that leaves for too long.
    list_store = StoreClient(
        settings.store.host, settings.store.port, eras, answer_seconds=settings.bounds.leave
    )
    route_store = StoreClient(
        settings.store.host,
        settings.store.port,
        eras,
        answer_seconds=settings.bounds.configuration * ANSWER_FRACTION,
    )
    routes = CurrentRoutes()
    fleet = new_fleet(settings.instance, lambda: swaps.instances())
    idle = idle_limits(settings.machine.descriptors)
    pool = ConnectionPool(idle.upstreams)
    fleet.directory.on_gone(pool.forget)
    fleet.new_connections.has_idle = pool.has_idle
    metrics = IngressMetrics()
    eras.on_rise(lambda before, era: None if before is None else metrics.store_eras.add(1))
    open_requests = OpenRequests()
    reads = StoreReads(LinkState("upstreams"), LinkState("configuration"))
    list_age = ListAge(
        reads.upstreams, lambda: swaps.list_updates.age, lambda: own_reports.leader_silent
    )
    limiter = UseLimiter(lambda: swaps.instances(), settings.bounds.use_slack)
    returns = new_return_updates()
    place_uses = PlaceUses()
    streams = build_stream_origins(
        routes,
        fleet.directory,
        list_age.seconds,
        lambda: swaps.own_address(),
        lambda: swaps.peers.addresses(),
        lambda: swaps.leader_address(),
        metrics,
    )
    repeat_budget = _repeat_budget(settings.bounds, lambda: swaps.instances.if_known(), metrics)
    swaps = build_swaps(
        settings,
        uuid.uuid4().hex,
        store,
        eras,
        routes,
        fleet,
        metrics,
        reads,
        limiter,
        returns,
        place_uses,
        repeat_budget,
        lambda query: reply_on_path(query),
        streams,
    )
    reports = report_client(fleet)
    own_reports = build_own_reports(settings, routes, fleet, reads, reports)
    detours = build_detours(
        settings,
        fleet,
        metrics,
        swaps.peers.addresses,
        swaps.peers.ask_path,
        reports,
        list_age.outdated_since,
    )
    crashes = build_crashes(settings.instance, swaps.entries, store, eras, fleet, metrics)
    handler = _request_handler(
        settings,
        swaps,
        routes,
        fleet,
        pool,
        open_requests,
        metrics,
        own_reports,
        limiter,
        returns,
        place_uses,
        crashes.guard,
        detours,
        repeat_budget,
        lambda: callers.crowded,
        streams.resumption,
        ListCheck(
            fleet.directory,
            list_age.seconds,
            lambda: reads.upstreams.lost,
            settings.bounds.leave,
            streams.confirmation.wait,
        ),
        TableCheck(routes, settings.bounds.configuration, lambda: reads.configuration.failed_at),
    )
    budget = ByteBudget(limits_of(settings.machine.memory_mb))
    metrics.observe_bytes_held(lambda: budget.held)
    metrics.observe_list_age(list_age.seconds)
    limits = _port_limits(settings, idle.callers)
    unread_closes = UnreadCloses(
        fleet.load_tracker.is_uneven,
        lambda reason: metrics.closed_unread.add(1, {"reason": reason}),
    )
    callers = _callers(settings, handler, budget, limits, unread_closes)

    def may_take() -> bool:
        known = routes.get() is not None and bool(fleet.directory.all())
        return known and not (open_requests.draining or fleet.path.lost or callers.crowded)

    peer_port = build_peer_port(
        settings, handler, budget, limits._replace(idle_connections=idle.peers), may_take
    )
    reply_on_path = build_path_replies(
        settings, fleet, peer_port, lambda: callers.busy_fraction, list_age.seconds
    )
    followers = build_followers(
        settings.bounds,
        store,
        list_store,
        route_store,
        eras,
        routes,
        fleet,
        swaps,
        reads,
        own_reports,
        list_age,
        streams,
    )
    parts = IngressParts(
        callers=callers,
        peers=peer_port,
        probes=_probes(
            settings,
            routes,
            fleet.directory,
            open_requests,
            metrics,
            own_reports,
            swaps.start_check,
        ),
        tasks=(
            *followers,
            *swaps.tasks,
            streams.link,
            crashes.task,
            Periodic("own-reports", OWN_REPORTS_SECONDS, own_reports.step),
        ),
        open_requests=open_requests,
        release=swaps.release,
    )
    return IngressInstance(parts, settings.bounds.stop_grace, reload)


def _process_check(fleet: Fleet) -> ProcessCheck:
    check = ProcessCheck(
        names.HEALTH_PATH,
        exchange.answering_upstream,
        # A call without a permit would exceed the rate limit of an upstream that has one.
        lambda upstream_id: fleet.rates.per_second(upstream_id) is None,
        lambda: fleet.health.lately_replaced,
    )
    fleet.directory.on_gone(check.forget)
    return check


def _repeat_budget(
    bounds: Bounds, instances: Callable[[], int | None], metrics: IngressMetrics
) -> RepeatBudget:
    budget = RepeatBudget(
        BudgetRule(bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window),
        instances,
        lambda service, result: metrics.repeats.add(1, {"service": service, "result": result}),
    )
    metrics.observe_repeats_left(budget.usage_by_service)
    return budget


def _request_handler(
    settings: IngressSettings,
    swaps: Swaps,
    routes: CurrentRoutes,
    fleet: Fleet,
    pool: ConnectionPool,
    open_requests: OpenRequests,
    metrics: IngressMetrics,
    own_reports: OwnReports,
    limiter: UseLimiter,
    returns: ReturnUpdates,
    place_uses: PlaceUses,
    guard: CrashGuard,
    detours: Detours,
    budget: RepeatBudget,
    crowded: Callable[[], bool],
    resumption: StreamResumption,
    list_check: ListCheck,
    table_check: TableCheck,
) -> RequestHandler:
    pauses = StreamPauses(
        PauseRules(routes, settings.scheduling.stream_pauses).rule_of,
        fleet.load_tracker,
        lambda: metrics.long_pauses.add(1),
    )
    fleet.directory.on_gone(pauses.forget)
    mode = settings.scheduling.first_event_estimates
    chooser = Chooser(
        settings.failure_domain,
        fleet,
        swaps.instances,
        pauses,
        estimates_on=lambda service: is_on(mode, routes.engine(service)),
    )
    fleet.first_events.on_observed = metrics.record_first_event
    limits = limits_of(settings.machine.memory_mb)
    open_bytes = UpstreamBytes(limits.upstream if limits else None)
    sender = Sender(
        pool,
        exchange,
        fleet.backpressure,
        open_bytes,
        fleet.path,
        fleet.new_connections,
        _process_check(fleet),
        list_check,
    )
    parts = RelayParts(
        exchange,
        sender,
        chooser,
        fleet.load_tracker,
        fleet.health,
        fleet.latency_factors,
        budget,
        fleet.gate,
        fleet.backpressure,
        guard,
        fleet.path,
        detours.detour,
        detours.relay,
        pauses,
    )
    wait = HolderWait(
        chooser,
        fleet.changes,
        fleet.residency,
        swaps.local_demand,
        open_requests,
        fleet.gate,
        lambda: own_reports.caller_retry_seconds,
        build_ordered_return(
            settings.scheduling.ordered_return,
            returns,
            routes,
            fleet,
            swaps.local_demand,
            lambda result: metrics.returns.add(1, {"result": result}),
        ),
        lambda: metrics.held_prompts.add(1),
        build_fair_places(
            settings.scheduling.fair_places,
            routes,
            fleet,
            place_uses,
            lambda rank, result: metrics.places.add(1, {"rank": str(rank), "result": result}),
        ),
        detours.detour.choose,
        partial(load_seconds, routes, fleet.directory),
    )
    return RequestHandler(
        routes,
        exchange,
        PlainRelay(parts, fleet.changes),
        StreamRelay(parts, wait, fleet.prefixes),
        swaps.local_demand,
        budget,
        open_requests,
        metrics,
        limiter,
        guard,
        lambda: own_reports.domain_cut,
        crowded,
        AnswerEnds(open_requests, lambda reason: metrics.answers_cut.add(1, {"reason": reason})),
        resumption,
        table_check,
    )


def _port_limits(settings: IngressSettings, idle_connections: int) -> PortLimits:
    return PortLimits(
        settings.request_threads,
        MAX_HEAD_BYTES,
        MAX_BODY_BYTES,
        IDLE_SECONDS,
        max(MIN_REFUSING_THREADS, round(settings.request_threads * REFUSING_FRACTION)),
        "callers",
        idle_connections,
    )


def _callers(
    settings: IngressSettings,
    handler: RequestHandler,
    budget: ByteBudget,
    limits: PortLimits,
    unread_closes: UnreadCloses,
) -> IngressServer:
    return IngressServer(
        handler.handle,
        *settings.callers,
        limits,
        handler.screen,
        handler.refuse_unread,
        budget,
        unread_closes,
    )


def _probes(
    settings: IngressSettings,
    routes: CurrentRoutes,
    directory: UpstreamDirectory,
    open_requests: OpenRequests,
    metrics: IngressMetrics,
    own_reports: OwnReports,
    start_check: StartCheck,
) -> tuple[IngressServer, ...]:
    def not_ready_reason() -> str:
        if own_reports.domain_cut:
            return "the failure domain is cut off"
        if open_requests.draining:
            return "draining"
        if routes.get() is None:
            return "no configuration is known"
        if not start_check.done:
            return "peers may know a newer configuration"
        return "" if directory.all() else "no upstream is known"

    probes = PortLimits(
        PROBE_THREADS, PROBE_HEAD_BYTES, PROBE_HEAD_BYTES, IDLE_SECONDS, name="probes"
    )
    readiness = ReadinessApp(names.READINESS_PATH, not_ready_reason)
    log_event(
        "listening",
        callers=f"{settings.callers.host}:{settings.callers.port}",
        readiness=f"{settings.readiness.host}:{settings.readiness.port}",
        metrics=settings.metrics_port,
    )
    return (
        IngressServer(readiness.handle, *settings.readiness, probes),
        IngressServer(
            MetricsApp(metrics.prometheus_page).handle, settings.host, settings.metrics_port, probes
        ),
    )
