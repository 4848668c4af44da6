"""Wires what instances know of how streams began."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.list_confirmation import ListConfirmation
from redwingscale_daemon._internal.fleet.software_versions import SoftwareVersions
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory
from redwingscale_daemon._internal.forwarding.origin_link import OriginLink
from redwingscale_daemon._internal.forwarding.stream_origins import StreamOrigins
from redwingscale_daemon._internal.forwarding.stream_resumption import StreamResumption
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.telemetry.ingress_metrics import IngressMetrics

# A stream that breaks right before its time limit may be taken up for as long again.
TRIES = 2
# An upstream may serve for this long after it was listed last.
UNLISTED_SECONDS = 5.0
# Before the first configuration.
UNKNOWN_LIMIT_SECONDS = 60.0


class StreamParts(NamedTuple):
    """The parts; ``link`` is not started."""

    versions: SoftwareVersions
    origins: StreamOrigins
    resumption: StreamResumption
    link: OriginLink
    confirmation: ListConfirmation


def build_stream_origins(
    routes: CurrentRoutes,
    directory: UpstreamDirectory,
    list_age: Callable[[], float],
    own_address: Callable[[], str],
    peers: Callable[[], Sequence[str]],
    leader: Callable[[], str | None],
    metrics: IngressMetrics,
) -> StreamParts:
    """Return the parts for the streams of all ``routes``."""

    def stream_seconds() -> float:
        table = routes.get()
        if table is None:
            return UNKNOWN_LIMIT_SECONDS
        # Streams may have begun before the configuration changed.
        longest = max(one.longest_stream_seconds for one in (table, *routes.former()))
        return longest * TRIES + UNLISTED_SECONDS

    versions = SoftwareVersions(stream_seconds, list_age)
    directory.on_list(versions.follow)
    link = OriginLink(own_address, peers, leader, metrics.record_origin_datagrams)
    origins = StreamOrigins(link, stream_seconds, versions.note)
    link.connect(origins.receive, origins.entry)
    confirmation = ListConfirmation()
    resumption = StreamResumption(
        origins,
        versions,
        lambda result: metrics.taken_up.add(1, {"result": result}),
        confirmation.confirm,
    )
    return StreamParts(versions, origins, resumption, link, confirmation)


def load_seconds(
    routes: CurrentRoutes,
    directory: UpstreamDirectory,
    service: str,
    unit: Unit,
    upstream: Upstream,
) -> float:
    """Return the seconds in which ``upstream`` could load ``unit``, 0 if it holds the model."""
    engine = routes.engine(service)
    rule = engine.models_by_name.get(unit.model) if engine else None
    if rule is None or unit.model in directory.resident(upstream):
        return 0.0
    if unit.model in upstream.in_memory:
        return rule.memory_seconds
    return rule.disk_seconds if unit.model in upstream.on_disk else rule.cold_seconds
