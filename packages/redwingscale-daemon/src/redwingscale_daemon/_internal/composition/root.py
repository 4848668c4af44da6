"""The composition root: wires the parts of an instance."""

from redwingscale_common.network.server import HttpServer, ServerLimits

from redwingscale_daemon._internal.composition.control import Control, build_control
from redwingscale_daemon._internal.composition.engines import Engines, build_engines
from redwingscale_daemon._internal.composition.requests import Requests, build_requests
from redwingscale_daemon._internal.lifecycle.instance import Instance, Parts
from redwingscale_daemon._internal.operators.configuration_api import ConfigurationApi
from redwingscale_daemon._internal.operators.drain_requests import DrainRequests
from redwingscale_daemon._internal.operators.operators_app import OperatorsApp
from redwingscale_daemon._internal.operators.state_view import StateView
from redwingscale_daemon._internal.settings.settings import Settings
from redwingscale_daemon._internal.store.store import connect_platform
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing

OPERATORS_THREADS = 4


def build_instance(settings: Settings) -> Instance:
    """Return the instance for ``settings``; nothing is started yet."""
    me = settings.instance
    tracing = Tracing(me.id, settings.telemetry.otlp_endpoint)
    metrics = Metrics(settings.telemetry.otlp_endpoint)
    platform = connect_platform(settings.platform, me.id)
    control = build_control(settings, platform)
    _observe_links(control, metrics)
    engines = build_engines(settings, platform, control, metrics)
    requests = build_requests(settings, platform, control, engines, tracing, metrics)
    operators_app = _operators_app(settings, control, engines, requests, metrics)
    parts = Parts(
        callers=_callers_server(settings, requests),
        operators=_operators_server(settings, operators_app),
        listener=control.listener,
        mesh=control.mesh,
        owners=engines.owners,
        plain_watch=requests.plain_watch,
        committer=requests.committer,
        settler=requests.settler,
        once=requests.once,
        retention=requests.retention,
        readiness=requests.readiness,
        tracing=tracing,
        metrics=metrics,
        tasks=[*control.tasks, *engines.tasks, *requests.tasks],
    )
    return Instance(parts, settings.timing.balancer_drain)


def _observe_links(control: Control, metrics: Metrics) -> None:
    traffic = control.traffic
    metrics.observe(
        {
            "redwingscale_peer_frames_rejected": lambda: traffic.frames_rejected,
            "redwingscale_peer_bytes_sent": lambda: traffic.bytes_sent,
            "redwingscale_peer_redials": lambda: traffic.redials,
        }
    )


def _operators_app(
    settings: Settings,
    control: Control,
    engines: Engines,
    requests: Requests,
    metrics: Metrics,
) -> OperatorsApp:
    me = settings.instance
    view = StateView(
        me,
        control.current,
        requests.readiness,
        engines.session,
        control.members,
        control.heartbeats,
        engines.directory,
        engines.in_flight,
    )
    configuration = ConfigurationApi(
        control.store, control.current, control.versions, control.members, engines.directory
    )
    return OperatorsApp(
        settings.operators.token_sha256,
        configuration,
        view,
        DrainRequests(me.id, control.gossip),
        engines.moves,
        engines.ownership,
        metrics,
    )


def _callers_server(settings: Settings, requests: Requests) -> HttpServer:
    limits = ServerLimits(
        threads=settings.limits.request_threads,
        backlog=settings.limits.queue_length,
        timeout_seconds=settings.limits.sender_timeout_seconds,
    )
    address = settings.callers
    return HttpServer(requests.callers_app, address.host, address.port, limits)


def _operators_server(settings: Settings, app: OperatorsApp) -> HttpServer:
    address = settings.operators
    limits = ServerLimits(threads=OPERATORS_THREADS)
    return HttpServer(app, address.host, address.port, limits)
