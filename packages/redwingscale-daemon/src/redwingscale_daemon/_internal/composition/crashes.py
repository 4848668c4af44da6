"""Wires the quarantine of requests that crash upstreams."""

from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.fleet.fleet import Fleet
from redwingscale_daemon._internal.fleet.upstream_ends import UpstreamEnds
from redwingscale_daemon._internal.forwarding.crash_guard import CrashGuard
from redwingscale_daemon._internal.forwarding.part_guard import PartGuard
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.quarantine.part_quarantine import PartQuarantine
from redwingscale_daemon._internal.quarantine.quarantine import Quarantine
from redwingscale_daemon._internal.quarantine.row_store import RowQuarantineStore
from redwingscale_daemon._internal.store.rows import RowStore
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_daemon._internal.telemetry.ingress_metrics import IngressMetrics
from redwingscale_daemon._internal.utils.periodic import Periodic

SWEEP_SECONDS = 2.0


class Crashes(NamedTuple):
    """The guard of all requests, and the task that keeps its quarantine."""

    guard: CrashGuard
    task: Periodic


def build_crashes(
    instance: str,
    entries: GossipState,
    store: RowStore,
    eras: StoreEras,
    fleet: Fleet,
    metrics: IngressMetrics,
) -> Crashes:
    """Return the parts, not started."""
    rows = RowQuarantineStore(store)
    eras.on_rise(lambda before, era: rows.write_again())
    quarantine = Quarantine(
        instance,
        entries,
        rows,
        lambda result: metrics.suspects.add(1, {"result": result}),
    )
    parts = PartQuarantine(
        instance,
        entries,
        quarantine.shared,
        rows,
        lambda result: metrics.suspect_parts.add(1, {"result": result}),
    )
    ends = UpstreamEnds(fleet.directory, fleet.health, fleet.path)
    guard = CrashGuard(quarantine, PartGuard(parts), fleet.directory, ends)
    fleet.path.on_lost(guard.drop_losses)
    fleet.health.on_replaced(lambda upstream_id, _: guard.note_replaced(upstream_id))
    loaded = False

    def step() -> None:
        # Peers send what is new: the stored quarantines are read once, at the start.
        nonlocal loaded
        parts.sweep()
        if loaded:
            quarantine.sweep()
            return
        try:
            quarantine.refresh()
        except PlatformError as error:
            log_event("quarantines_not_loaded", error=error)
            return
        loaded = True

    return Crashes(guard, Periodic("quarantine", SWEEP_SECONDS, step))
