"""Wires the parts for engines: directory, ownership, placement and routing."""

import random
import time
from typing import NamedTuple

from redwingscale_daemon._internal.composition.control import Control
from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.leases.ownership import Ownership
from redwingscale_daemon._internal.leases.session import Session
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.placement.demand import DemandTotals, DemandTracker
from redwingscale_daemon._internal.placement.drain_acks import DrainAcks
from redwingscale_daemon._internal.placement.drain_reporter import STEP_SECONDS, DrainReporter
from redwingscale_daemon._internal.placement.intents import IntentStore
from redwingscale_daemon._internal.placement.move_history import MoveHistory
from redwingscale_daemon._internal.placement.owner import EngineOwner
from redwingscale_daemon._internal.placement.owner_parts import OwnerParts
from redwingscale_daemon._internal.placement.owners import Owners
from redwingscale_daemon._internal.placement.plan_follower import PlanFollower
from redwingscale_daemon._internal.placement.plan_store import PlanStore
from redwingscale_daemon._internal.placement.planner import Planner
from redwingscale_daemon._internal.routing.cache_feed import CacheFeed
from redwingscale_daemon._internal.routing.cache_poller import CachePoller
from redwingscale_daemon._internal.routing.prefix_index import PrefixIndex
from redwingscale_daemon._internal.routing.router import ModelHooks, Router
from redwingscale_daemon._internal.settings.settings import Settings
from redwingscale_daemon._internal.store.store import Platform
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.upstreams.directory import Directory
from redwingscale_daemon._internal.upstreams.engine_control import EngineControl
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_daemon._internal.utils.periodic import Periodic

MOVES_FLUSH_SECONDS = 2.0


class Engines(NamedTuple):
    """The parts, not started; ``tasks`` are the threads that run their steps."""

    directory: Directory
    in_flight: InFlight
    session: Session
    ownership: Ownership
    control: EngineControl
    router: Router
    owners: Owners
    moves: MoveHistory
    tasks: list[Periodic]


def build_engines(
    settings: Settings, platform: Platform, control: Control, metrics: Metrics
) -> Engines:
    """Return the parts for ``settings``."""
    me, timing = settings.instance, settings.timing
    gossip, heartbeats, members, current = (
        control.gossip,
        control.heartbeats,
        control.members,
        control.current,
    )
    directory = Directory(gossip)
    members.on_change(directory.update_members)

    session = Session(platform.table, me.id, gossip.boot, timing.lease)
    ownership = Ownership(platform.table, session, me.id, timing.lease)

    in_flight = InFlight()
    plans = PlanStore(platform)
    engine_control = EngineControl(timing.connect)
    demand = DemandTracker(me.id, gossip, lambda: _live_instances(members))
    totals = DemandTotals(gossip, lambda: _live_instances(members))
    planner = Planner(ownership, plans, current, directory, totals)
    index = PrefixIndex()
    router = Router(
        me.failure_domain,
        directory,
        members,
        in_flight,
        random.Random(),
        index=index,
        hooks=ModelHooks(lambda model: _listed_versions(current, model), demand.arrived),
    )
    cache_poller = CachePoller(
        members, lambda e: ownership.grant_of(e) is not None, engine_control, CacheFeed(index)
    )
    moves = MoveHistory(platform.table)
    owner_parts = OwnerParts(
        control=engine_control,
        gossip=gossip,
        directory=directory,
        plans=PlanFollower(PlanStore(platform), time.monotonic),
        current=current,
        ownership=ownership,
        intents=IntentStore(platform.table),
        acks=DrainAcks(me.id, gossip, members, heartbeats, timing.lease),
        metrics=metrics,
        moves=moves,
    )
    owners = Owners(
        me, timing, members, heartbeats, ownership, lambda engine: EngineOwner(engine, owner_parts)
    )
    drain_reporter = DrainReporter(gossip, directory, in_flight)
    return Engines(
        directory=directory,
        in_flight=in_flight,
        session=session,
        ownership=ownership,
        control=engine_control,
        router=router,
        owners=owners,
        moves=moves,
        tasks=[
            Periodic("session", timing.lease_renewal, session.renew),
            Periodic("owners", timing.heartbeat, owners.step),
            Periodic("drains", STEP_SECONDS, drain_reporter.step),
            Periodic("moves", MOVES_FLUSH_SECONDS, moves.flush),
            Periodic("planner", timing.planning, planner.step),
            Periodic("cache", timing.planning, cache_poller.step),
            Periodic("demand", timing.planning, lambda: demand.step(time.monotonic())),
        ],
    )


def _listed_versions(current: CurrentConfiguration, model: str) -> list[str]:
    accepted = current.get()
    listed = accepted.configuration.models_by_name.get(model) if accepted else None
    return list(reversed(listed.versions_by_name)) if listed else []


def _live_instances(members: Members) -> list[str]:
    return [m.id for m in members.instances() if not m.leaving]
