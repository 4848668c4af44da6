"""Wires the reports that an instance requests itself."""

from redwingscale_daemon._internal.composition.store_reads import StoreReads
from redwingscale_daemon._internal.composition.swaps import engine_calls
from redwingscale_daemon._internal.fleet.fleet import Fleet
from redwingscale_daemon._internal.fleet.own_reports import OwnReports
from redwingscale_daemon._internal.forwarding.upstream_connection import CONNECT_SECONDS
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.settings.ingress_settings import IngressSettings
from redwingscale_daemon._internal.swaps.order_client import OrderClient


def report_client(fleet: Fleet) -> OrderClient:
    """Return the client for reports that this instance requests itself."""
    return OrderClient(
        engine_calls(),
        on_backpressure=lambda upstream, backpressure: fleet.backpressure.take(
            upstream, backpressure, "own report"
        ),
        path=fleet.path,
        connect_timeout_seconds=CONNECT_SECONDS,
        response_timeout_seconds=CONNECT_SECONDS,
    )


def build_own_reports(
    settings: IngressSettings,
    routes: CurrentRoutes,
    fleet: Fleet,
    reads: StoreReads,
    client: OrderClient,
) -> OwnReports:
    """Return the part, not started."""

    def runs_models(service: str) -> bool:
        table = routes.get()
        rule = table.services_by_name.get(service) if table else None
        return rule is not None and rule.engine is not None

    return OwnReports(
        settings.failure_domain,
        fleet.directory,
        fleet.residency,
        reads.upstreams,
        runs_models,
        client.report,
        settings.bounds.leave,
        fleet.gate.draw,
    )
