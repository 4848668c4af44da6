"""Wires the leader, which sends orders to model workers, and the client that follows it."""

import random
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.composition.ordered_return import ReturnUpdates
from redwingscale_daemon._internal.composition.peers import FETCH_FRACTION, build_peers
from redwingscale_daemon._internal.composition.store_reads import StoreReads
from redwingscale_daemon._internal.composition.stream_origins import StreamParts
from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.fleet.findings import drain_findings
from redwingscale_daemon._internal.fleet.fleet import Fleet
from redwingscale_daemon._internal.fleet.health import OWN_ANSWER
from redwingscale_daemon._internal.fleet.leaving_notices import share_leaving
from redwingscale_daemon._internal.fleet.list_update_tracker import ListUpdateTracker
from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.fleet.path_messages import PathQuery, PathReply
from redwingscale_daemon._internal.fleet.recorded_versions import RecordedVersions
from redwingscale_daemon._internal.fleet.replaced_upstreams import ReplacedUpstreams
from redwingscale_daemon._internal.forwarding.origin_rows import WRITE_SECONDS, OriginRows
from redwingscale_daemon._internal.forwarding.repeat_budget import RepeatBudget
from redwingscale_daemon._internal.lifecycle.ingress_instance import Task
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.platform import discovery, engine, exchange
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_version_tracker import RouteVersionTracker
from redwingscale_daemon._internal.routes.version_announcements import (
    VersionAnnouncements,
    apply_announced,
)
from redwingscale_daemon._internal.settings.ingress_settings import IngressSettings, Machine
from redwingscale_daemon._internal.settings.scheduling import is_on
from redwingscale_daemon._internal.store.backoff import Backoff
from redwingscale_daemon._internal.store.rows import RowStore
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_daemon._internal.swaps.copy_plans import CopySettings
from redwingscale_daemon._internal.swaps.demand import Demand
from redwingscale_daemon._internal.swaps.instance_count import InstanceCount
from redwingscale_daemon._internal.swaps.leader import Leader
from redwingscale_daemon._internal.swaps.leader_client import LeaderClient
from redwingscale_daemon._internal.swaps.leader_lease import LeaderLease
from redwingscale_daemon._internal.swaps.leader_server import LeaderServer
from redwingscale_daemon._internal.swaps.lease_record import LeaderRecord, LeaseTiming
from redwingscale_daemon._internal.swaps.list_changes import ListChanges
from redwingscale_daemon._internal.swaps.load_rate import LoadCeiling
from redwingscale_daemon._internal.swaps.local_demand import LocalDemand
from redwingscale_daemon._internal.swaps.messages import (
    InstanceUpdate,
    LeaderUpdate,
    LoadEntry,
    OutcomeEntry,
    StoreUpdate,
    UseEntry,
)
from redwingscale_daemon._internal.swaps.order_client import (
    ORDER_CALL_SECONDS,
    EngineCalls,
    OrderClient,
)
from redwingscale_daemon._internal.swaps.peer_client import PeerClient
from redwingscale_daemon._internal.swaps.permit_issuer import PermitIssuer
from redwingscale_daemon._internal.swaps.repeat_history import RepeatHistory
from redwingscale_daemon._internal.swaps.slowness import first_event_entry
from redwingscale_daemon._internal.swaps.start_check import StartCheck
from redwingscale_daemon._internal.swaps.worker_orders import OrderAuthority
from redwingscale_daemon._internal.telemetry.ingress_metrics import IngressMetrics
from redwingscale_daemon._internal.utils.periodic import Periodic
from redwingscale_daemon._internal.workspaces.place_uses import PlaceUses
from redwingscale_daemon._internal.workspaces.use_limiter import UseLimiter

# Three renewals fit into a lease: one lost answer does not end it.
LEASE_SECONDS = 2.0
LEASE_STEP_SECONDS = 0.5
# How long an instance that receives no leader's updates waits at the store for a successor.
LEASE_WATCH_SECONDS = 1.5
# Orders are sent only for this long after a renewal: two unanswered renewals end them.
ORDER_SECONDS = 1.2
# The leader sends updates to all instances and plans for all workers. On a machine with
# less than this its own requests would be delayed: it waits for `STANDBY_SECONDS` before
# it takes a free lease, so that others take it.
LEADER_CORES = 1.0
LEADER_LINK_MBPS = 100.0
STANDBY_SECONDS = 0.75
# How many peers the leader's row names.
NAMED_PEERS = 3
# Instances of the same size wait for a random fraction of this before they take a free
# lease. Otherwise they would all write at the same moment, and all writes but one would fail.
CONTEST_SPREAD_SECONDS = 0.25


class Swaps(NamedTuple):
    """The parts for model swaps, not started.

    ``instances`` returns how many instances share the deployment's budgets. ``is_leader``
    returns whether this instance is the leader, which reads the store for all. On the
    other instances, ``list_updates`` and ``route_versions`` replace these reads, and
    ``fetch_announced`` fetches a configuration that the leader announced. ``release``
    gives up the leader lease. ``entries`` are those that all instances exchange,
    ``peers`` queries other instances; ``own_address`` is that of the peer server here, and
    ``leader_address`` that of the leader's, None without one. ``start_check`` ends before the
    instance is ready.
    """

    local_demand: LocalDemand
    tasks: tuple[Task, ...]
    release: Callable[[], None]
    instances: InstanceCount
    is_leader: Callable[[], bool]
    list_updates: ListUpdateTracker
    route_versions: RouteVersionTracker
    fetch_announced: Callable[[], bool]
    entries: GossipState
    peers: PeerClient
    own_address: Callable[[], str]
    leader_address: Callable[[], str | None]
    start_check: StartCheck


def engine_calls() -> EngineCalls:
    """Return how the platform encodes reports and orders."""
    return EngineCalls(
        engine.REPORT_TARGET,
        engine.ORDER_TARGET,
        engine.decode_report,
        engine.encode_order,
        engine.order_headers,
        engine.order_result,
        exchange.read_backpressure,
    )


def build_swaps(
    settings: IngressSettings,
    start: str,
    store: RowStore,
    eras: StoreEras,
    routes: CurrentRoutes,
    fleet: Fleet,
    metrics: IngressMetrics,
    reads: StoreReads,
    limiter: UseLimiter,
    returns: ReturnUpdates,
    place_uses: PlaceUses,
    budget: RepeatBudget,
    reply_on_path: Callable[[PathQuery], PathReply | None],
    streams: StreamParts,
) -> Swaps:
    """Return the parts, not started; ``start`` identifies this process."""
    me = settings.instance
    news_port = settings.peer_ports[0]
    needs_port = news_port + 1 if news_port else 0
    recorded = RecordedVersions(streams.versions, fleet.directory, store, discovery.TABLE)
    origin_rows = OriginRows(store, streams.origins, streams.versions, lambda: lease.is_leader)
    recorded.on_taken = origin_rows.load
    lease = LeaderLease(
        store,
        start,
        lambda: LeaderRecord(
            me,
            settings.host,
            server.news_port,
            server.needs_port,
            start,
            desk_port=peers.server.port,
            instances=instances(),
            peers=sorted(peers.client.addresses())[:NAMED_PEERS],
        ),
        LeaseTiming(
            LEASE_SECONDS,
            ORDER_SECONDS,
            ORDER_CALL_SECONDS,
            settings.bounds.order_quiet,
            _standby_seconds(settings.machine),
        ),
        may_lead=lambda: not fleet.path.cut_off,
        software=recorded,
        eras=eras,
    )
    lease_retry = Backoff()
    local_demand = LocalDemand()
    # The demand history of this instance, sent to new leaders as the initial snapshot.
    own_demand = Demand()
    replaced = ReplacedUpstreams(fleet.directory, fleet.health)
    bounds = settings.bounds
    list_updates = ListUpdateTracker(fleet.directory, bounds.leave, eras)
    route_versions = RouteVersionTracker(bounds.configuration)
    # The loads that this instance sent last: the leader's totals include them.
    sent_loads: list[LoadEntry] = []
    instances = InstanceCount(lambda: lease.record.instances if lease.record else 0)

    def on_leader_update(update: LeaderUpdate) -> None:
        instances.receive(update.instances)
        returns.receive(update)
        place_uses.receive(update.shares)
        replaced.receive(update.replaced, "order giver")
        if (former := update.starts.get(start)) is not None:
            budget.note_former(former)
        _take_update(update, sent_loads, fleet)
        if update.grants is not None:
            limiter.receive(update.grants)
        peers.client.remember(update.peers)
        if not lease.is_leader:
            told = update.store
            eras.note(max(told.lease_version.era, told.upstreams.version.era), "order giver")
            lease.note_renewal(told.lease_version)
            list_updates.take(update.fence, update.store.upstreams)
            apply_announced(routes, update.store.configuration, update.configuration_difference)
            route_versions.take(update.store.configuration, update.store.configuration_age)
            routes.note_newest(update.store.configuration, update.store.configuration_age)

    def read_for_all(changes: ListChanges) -> StoreUpdate:
        table = routes.get()
        return StoreUpdate(
            lease.row_version.number,
            changes.make_update(fleet.directory, reads.upstreams.age),
            table.version if table else 0,
            reads.configuration.age,
            lease.row_version.era,
        )

    def gives_up(upstream_id: str) -> bool:
        upstream, table = fleet.directory.get(upstream_id), routes.get()
        if upstream is None or table is None:
            return False
        rule = table.services_by_name.get(upstream.service)
        return rule is not None and is_on(settings.scheduling.lost_swaps, rule.engine)

    def make_update(initial: bool) -> InstanceUpdate:
        nonlocal sent_loads
        loads = [LoadEntry(key, *load) for key, load in fleet.load_tracker.own().items()]
        sent_loads = loads
        uses = [
            UseEntry(upstream, unit.model, unit.adapter, requests)
            for (upstream, unit), requests in fleet.load_tracker.open_by_unit().items()
        ]
        snapshot = own_demand.snapshot() if initial else None
        findings = drain_findings(fleet)
        update = InstanceUpdate(
            me,
            local_demand.drain(),
            loads,
            uses,
            findings.unreachable,
            snapshot,
            [OutcomeEntry(*counts) for counts in findings.outcomes],
            limiter.updates(full=initial),
            peers.server.address,
            fleet.rates.updates(full=initial),
            fleet.directory.leaving_unlisted(),
            fleet.retry_times.pending(),
            returns=returns.entries(),
            places=place_uses.drain(),
            misdirected=[key for key in fleet.outcomes.drain_misdirected() if gives_up(key)],
            first_events=[first_event_entry(*event) for event in findings.first_events],
            start=start,
            repeats=budget.repeats(),
            replaced=replaced.addresses(),
            bound_waits=local_demand.bound_waits(),
            configuration=table.version if (table := routes.get()) else 0,
        )
        own_demand.receive(update)
        return update

    issuer = PermitIssuer(fleet.rates.limited, fleet.directory.lists)
    fleet.directory.on_gone(issuer.forget)
    authority = OrderAuthority(
        me,
        lease.fence,
        lambda: lease.succeeds_another,
        settings.bounds.order_quiet,
        lambda upstream: not fleet.retry_times.remaining(upstream) and issuer.draw(upstream),
    )
    newest_told = 0

    def receive(update: InstanceUpdate) -> None:
        nonlocal newest_told
        newest_told = max(newest_told, update.configuration)
        leader.receive(update)

    server = LeaderServer(settings.host, news_port, needs_port, receive)
    leader = Leader(
        authority,
        routes,
        fleet.directory,
        OrderClient(
            engine_calls(),
            lambda result: metrics.orders.add(1, {"result": result.value}),
            lambda upstream, backpressure: fleet.backpressure.take(
                upstream, backpressure, "order giver"
            ),
            fleet.path,
        ),
        server,
        LoadCeiling(0.0, bounds.load_window),
        read_for_all,
        settings.machine.link_mbps,
        bounds.use_slack,
        issuer,
        instances,
        fleet.rates.limited,
        ordered_return=lambda engine: is_on(settings.scheduling.ordered_return, engine),
        lost_swaps=settings.scheduling.lost_swaps,
        next_difference=VersionAnnouncements(routes).next_difference,
        on_given_up=lambda reason: metrics.swaps_given_up.add(1, {"reason": reason}),
        copies=CopySettings(
            settings.scheduling.copy_aware_swaps,
            settings.scheduling.staged_copies,
            lambda purpose: metrics.staged_loads.add(1, {"purpose": purpose}),
            lambda service, models: metrics.without_copy.set(models, {"service": service}),
        ),
        former_slowness=fleet.first_events.slowness.values,
        repeats=RepeatHistory(bounds.repeat_window),
        replaced=replaced,
    )
    fleet.directory.on_gone(leader.forget)
    peers = build_peers(
        settings,
        routes,
        reads,
        route_versions,
        lease,
        eras,
        fleet,
        reply_on_path,
        lambda: newest_told,
    )
    share_leaving(fleet.directory, peers.entries)
    client = LeaderClient(lease, me, make_update, on_leader_update, leader.receive)
    local_demand.on_new_wait(client.wake)
    fleet.rates.on_update(client.wake)
    budget.on_sent(client.wake)
    fleet.health.on_replaced(lambda _, source: client.wake() if source == OWN_ANSWER else None)

    def follow_lease() -> None:
        # The leader's updates show that it is alive: its row is read only without them.
        if lease.is_leader and fleet.path.cut_off:
            # Orders need the path, and a leader without one plans by what it cannot see.
            lease.hand_over()
        elif lease.is_leader or lease.unconfirmed:
            lease.step()
        elif (not fleet.residency.fresh or lease.record is None) and lease_retry.due:
            try:
                lease.watch(LEASE_WATCH_SECONDS)
            except PlatformError:
                lease_retry.note_failure()
                raise
            lease_retry.note_answer()

    def named_peers() -> list[str]:
        record, here = lease.record, peers.server.address
        named = [f"{record.host}:{record.desk_port}", *record.peers] if record else []
        return [address for address in named if address != here]

    def leader_address() -> str | None:
        record = lease.record
        return f"{record.host}:{record.desk_port}" if record and record.desk_port else None

    start_check = StartCheck(
        routes,
        eras,
        named_peers,
        lambda peer: peers.client.confirm(peer, bounds.configuration * FETCH_FRACTION),
    )
    lease_task = Periodic("giver-lease", LEASE_STEP_SECONDS, follow_lease)
    fleet.path.on_lost(lease_task.wake)
    eras.on_rise(lambda before, era: lease_task.wake())

    def lead() -> None:
        update = leader.step()
        if update is not None:
            on_leader_update(update)

    return Swaps(
        local_demand=local_demand,
        tasks=(
            server,
            *peers.tasks,
            start_check,
            lease_task,
            client,
            Periodic("order-giver", 0.0, lead),
            Periodic("stream-origin-rows", WRITE_SECONDS, origin_rows.step),
        ),
        release=lease.release,
        instances=instances,
        is_leader=lambda: lease.is_leader,
        list_updates=list_updates,
        route_versions=route_versions,
        fetch_announced=peers.fetch_announced,
        entries=peers.entries,
        peers=peers.client,
        own_address=lambda: peers.server.address,
        leader_address=leader_address,
        start_check=start_check,
    )


def _take_update(update: LeaderUpdate, own_loads: list[LoadEntry], fleet: Fleet) -> None:
    residency = {
        entry.upstream: {
            name: frozenset(adapters) for name, adapters in entry.adapters_by_model.items()
        }
        for entry in update.residency
    }
    take = fleet.residency.replace if update.residency_complete else fleet.residency.update
    take(residency, update.ready_in, update.fence)
    fleet.rates.receive(update.rate_limits)
    fleet.directory.note_leaving(update.leaving, "order giver")
    if update.loads is not None:
        fleet.outcomes.set_failure_ratios(update.failure_ratios)
        fleet.first_events.slowness.receive(update.slowness)
        own = {entry.upstream: entry for entry in own_loads}
        others = {
            entry.upstream: _load_of_others(entry, own.get(entry.upstream))
            for entry in update.loads
        }
        fleet.load_tracker.set_others(others, update.instances)
        fleet.first_events.receive_others(others)
    fleet.changes.notify()


def _standby_seconds(machine: Machine) -> float:
    small = machine.cores < LEADER_CORES or machine.link_mbps < LEADER_LINK_MBPS
    # Not used for secrets, only to spread the writes.
    random_seconds = random.random() * CONTEST_SPREAD_SECONDS  # noqa: S311
    return random_seconds + (STANDBY_SECONDS if small else 0.0)


def _load_of_others(total: LoadEntry, own: LoadEntry | None) -> Load:
    # The total may be older than the loads that this instance has sent since.
    if own is None:
        return Load(total.requests, total.prompt_tokens, total.generating, total.waiting)
    return Load(
        max(0, total.requests - own.requests),
        max(0, total.prompt_tokens - own.prompt_tokens),
        max(0, total.generating - own.generating),
        max(0, total.waiting - own.waiting),
    )
