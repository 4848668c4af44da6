"""Wires what follows the store: the configuration and the list of upstreams."""

import threading
from collections.abc import Callable

from redwingscale_daemon._internal.composition.store_reads import StoreReads
from redwingscale_daemon._internal.composition.stream_origins import StreamParts
from redwingscale_daemon._internal.composition.swaps import Swaps
from redwingscale_daemon._internal.fleet.fleet import Fleet
from redwingscale_daemon._internal.fleet.list_age import ListAge
from redwingscale_daemon._internal.fleet.list_follower import ListFollower
from redwingscale_daemon._internal.fleet.list_gaps import ListGaps
from redwingscale_daemon._internal.fleet.list_reads import READ_CHECK_SECONDS, ListReads
from redwingscale_daemon._internal.fleet.own_reports import OwnReports
from redwingscale_daemon._internal.fleet.removed_upstreams import RemovedUpstreams
from redwingscale_daemon._internal.platform import configuration, discovery
from redwingscale_daemon._internal.platform.store_client import StoreClient
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_follower import RouteFollower
from redwingscale_daemon._internal.settings.ingress_settings import Bounds
from redwingscale_daemon._internal.store.rows import RowKey
from redwingscale_daemon._internal.store.store_eras import StoreEras
from redwingscale_daemon._internal.utils.periodic import Periodic


def build_followers(
    bounds: Bounds,
    store: StoreClient,
    list_store: StoreClient,
    route_store: StoreClient,
    eras: StoreEras,
    routes: CurrentRoutes,
    fleet: Fleet,
    swaps: Swaps,
    reads: StoreReads,
    own_reports: OwnReports,
    list_age: ListAge,
    streams: StreamParts,
) -> tuple[Periodic, ...]:
    """Return the steps that follow the configuration and the list of upstreams.

    ``list_store`` is used for the list alone, and waits longer for answers; ``route_store``
    is used for the configuration alone, and waits less long.
    """
    list_reads = ListReads(
        swaps.is_leader,
        swaps.list_updates.replaces_read,
        lambda: own_reports.leader_silent,
        bounds.leave,
        lambda: streams.confirmation.wanted or fleet.directory.copy.version.era < eras.newest,
    )
    route_follower = RouteFollower(
        route_store,
        RowKey(configuration.TABLE, "", configuration.KEY),
        configuration.decode_configuration,
        routes,
        reads.configuration,
        swaps.route_versions,
        swaps.is_leader,
        bounds.configuration,
        swaps.fetch_announced,
    )
    gaps = ListGaps(
        list_age.seconds,
        fleet.directory,
        RemovedUpstreams(store, discovery.TABLE),
        streams.versions.note_missed,
    )

    def note_read(begun_at: float) -> None:
        gaps.end()
        # Only now: those who wait for the list rely on all versions being known.
        streams.confirmation.note_read(begun_at)

    list_follower = ListFollower(
        list_store,
        discovery.TABLE,
        discovery.decode_upstream,
        fleet.directory,
        reads.upstreams,
        list_reads.not_due,
        note_read,
        _start_thread,
    )

    def follow_list() -> None:
        gaps.follow()
        list_follower.step()

    return (
        Periodic("configuration", 0.0, route_follower.step),
        Periodic("upstreams", READ_CHECK_SECONDS, follow_list),
    )


def _start_thread(task: Callable[[], None]) -> None:
    threading.Thread(target=task, name="upstreams-read", daemon=True).start()
