"""Wires the path of a request: admission, claims, quarantine, relays, the callers' app."""

import time
from typing import NamedTuple

from redwingscale_daemon._internal.admission.capacity import Capacity
from redwingscale_daemon._internal.admission.gate import Gate, gate_limits
from redwingscale_daemon._internal.composition.control import Control
from redwingscale_daemon._internal.composition.engines import Engines
from redwingscale_daemon._internal.entry.callers_app import CallersApp
from redwingscale_daemon._internal.idempotency.claim import Claimant
from redwingscale_daemon._internal.idempotency.claims import Claims
from redwingscale_daemon._internal.idempotency.committer import Committer
from redwingscale_daemon._internal.idempotency.once import Once
from redwingscale_daemon._internal.idempotency.outcome import OutcomeStore
from redwingscale_daemon._internal.idempotency.retention import LEASE_NAME as SWEEP_LEASE
from redwingscale_daemon._internal.idempotency.retention import Retention
from redwingscale_daemon._internal.idempotency.settler import Settler
from redwingscale_daemon._internal.lifecycle.readiness import Readiness
from redwingscale_daemon._internal.quarantine.quarantine import Quarantine
from redwingscale_daemon._internal.quarantine.store import QuarantineStore
from redwingscale_daemon._internal.relay.generation import GenerationRelay
from redwingscale_daemon._internal.relay.plain import PlainRelay
from redwingscale_daemon._internal.relay.retry_budget import RetryBudget
from redwingscale_daemon._internal.relay.run_parts import RunParts
from redwingscale_daemon._internal.relay.silence import SilenceBounds
from redwingscale_daemon._internal.settings.settings import Settings
from redwingscale_daemon._internal.store.store import Platform
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing
from redwingscale_daemon._internal.upstreams.engine_client import EngineClient
from redwingscale_daemon._internal.upstreams.plain_client import PlainClient
from redwingscale_daemon._internal.upstreams.plain_state import PlainStates
from redwingscale_daemon._internal.upstreams.plain_watch import PlainWatch
from redwingscale_daemon._internal.upstreams.reachability import Reachability
from redwingscale_daemon._internal.upstreams.watchers import Watchers
from redwingscale_daemon._internal.utils.periodic import Periodic

CLAIM_MARGIN_SECONDS = 0.5
QUARANTINE_POLL_SECONDS = 30.0
CLAIM_INDEX_SECONDS = 300.0
CLAIM_SWEEP_SECONDS = 60.0
# Assumed age of the load in an engine's report when the report arrives.
REPORT_LAG_SECONDS = 0.5


class Requests(NamedTuple):
    """The parts, not started; ``tasks`` are the threads that run their steps."""

    callers_app: CallersApp
    readiness: Readiness
    committer: Committer
    settler: Settler
    once: Once
    retention: Retention
    plain_watch: PlainWatch
    tasks: list[Periodic]


def build_requests(
    settings: Settings,
    platform: Platform,
    control: Control,
    engines: Engines,
    tracing: Tracing,
    metrics: Metrics,
) -> Requests:
    """Return the parts for ``settings``."""
    me, timing = settings.instance, settings.timing
    gossip, heartbeats, members, current = (
        control.gossip,
        control.heartbeats,
        control.members,
        control.current,
    )
    readiness = Readiness(current)
    committer = Committer(platform.table)
    settler = Settler(committer, platform.table)
    claimant = Claimant(me.id, gossip.boot)
    retention = Retention(
        platform.table, claimant, lambda: engines.ownership.try_acquire(SWEEP_LEASE) is not None
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
    capacity = Capacity(
        me, engines.directory, members, engines.in_flight, REPORT_LAG_SECONDS, time.monotonic
    )
    gate = Gate(gate_limits(settings.limits.request_threads), capacity)
    quarantine = Quarantine(me.id, gossip, QuarantineStore(platform.table))
    # Both relays share one budget: it limits the load that retries of this instance add to a
    # failing deployment.
    budget = RetryBudget()
    generation = GenerationRelay(
        RunParts(
            router=engines.router,
            client=EngineClient(timing.connect),
            control=engines.control,
            in_flight=engines.in_flight,
            reachability=Reachability(),
            budget=budget,
            silence=SilenceBounds(timing.least_silence, timing.silence),
            quarantine=quarantine,
            tracing=tracing,
            metrics=metrics,
        )
    )
    states = PlainStates(gossip, members)
    watchers = Watchers(me, members, heartbeats, timing.lease)
    plain_watch = PlainWatch(
        members, gossip, watchers.includes_this_instance, timing.report_poll, timing.connect
    )
    plain = PlainRelay(
        engines.router,
        PlainClient(timing.connect),
        engines.in_flight,
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
    return Requests(
        callers_app=callers_app,
        readiness=readiness,
        committer=committer,
        settler=settler,
        once=once,
        retention=retention,
        plain_watch=plain_watch,
        tasks=[
            Periodic("plain-watch", timing.heartbeat, plain_watch.step),
            Periodic("claim-index", CLAIM_INDEX_SECONDS, retention.flush),
            Periodic("claim-sweep", CLAIM_SWEEP_SECONDS, retention.sweep),
            Periodic("quarantine", QUARANTINE_POLL_SECONDS, quarantine.refresh),
        ],
    )
