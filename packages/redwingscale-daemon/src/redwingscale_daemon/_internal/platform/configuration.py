"""Decodes the operators' configuration in the platform's store."""

import msgspec

from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route, WeightedService
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule, ServiceRule
from redwingscale_daemon._internal.utils.documents import Integer, decode_json
from redwingscale_daemon._internal.workspaces.keys import WorkspaceKeys, key_digest
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, UseUnit, Workspace

TABLE = "op"
KEY = "config"
_MILLISECONDS = 1000.0
_IDEMPOTENCY_BY_KIND = {
    "safe": Idempotency.IDEMPOTENT,
    "unsafe": Idempotency.AT_MOST_ONCE,
    "streaming": Idempotency.STREAM,
}
_TOKEN_UNIT = "token_stream"


class _Model(msgspec.Struct, rename="pascal"):
    name: str
    weights_mb: float
    load_s: float
    adapters: Integer = 0
    adapter_mb: float = 0.0
    warm_s: float | None = None
    disk_s: float | None = None


class _Engine(msgspec.Struct, rename="pascal"):
    slots: Integer
    kv_capacity: Integer
    models: list[_Model] = []
    weights_mb: float = 0.0
    adapter_slots: Integer = 0
    # Loads a second from the weight store over all upstreams, not for one upstream.
    loads_per_s: float = 1.0
    host_mb: float | None = None
    disk_mb: float | None = None
    # Tokens in an event of a stream.
    stride: Integer = 1


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    max_conns: Integer = 64
    engine: _Engine | None = None


class _Split(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: Integer = 0
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: Integer = 1
    resumable: bool = False
    gap_target_ms: float = 0.0
    # Callers need no API key.
    public: bool = False


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str]
    priority: Integer = 0
    # Limits requests unless this is ``token_stream``.
    unit: str = ""
    plain_tokens: float = 0.0
    # 0 means no limit.
    rate_per_s: float = 0.0
    burst: float = 0.0


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: Integer = 16384
    max_body_bytes: Integer = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Document(msgspec.Struct, rename="pascal"):
    version: Integer
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Absent if callers need no API keys.
    tenants: list[_Tenant] | None = None


def decode_configuration(document: bytes) -> RouteTable:
    """Return the route table in ``document``; raise `msgspec.DecodeError`."""
    decoded = decode_json(document, _Document)
    limits = decoded.limits
    return RouteTable(
        version=decoded.version,
        routes=map(_route, decoded.routes),
        services_by_name={service.name: _service(service) for service in decoded.services},
        limits=IngressLimits(
            head_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            head_seconds=limits.header_timeout_ms / _MILLISECONDS,
            idle_seconds=limits.idle_timeout_ms / _MILLISECONDS,
        ),
        keys=None if decoded.tenants is None else _keys(decoded.tenants),
    )


def _keys(tenants: list[_Tenant]) -> WorkspaceKeys:
    workspaces_by_digest: dict[bytes, Workspace] = {}
    for tenant in tenants:
        workspace = Workspace(tenant.name, tenant.priority, _limit(tenant))
        for digest in map(key_digest, tenant.api_keys):
            if workspaces_by_digest.setdefault(digest, workspace).name != tenant.name:
                other = workspaces_by_digest[digest].name
                raise msgspec.ValidationError(
                    f"workspaces {other} and {tenant.name} have the same API key"
                )
    return WorkspaceKeys(workspaces_by_digest)


def _limit(tenant: _Tenant) -> UseLimit | None:
    if tenant.rate_per_s <= 0:
        return None
    unit = UseUnit.TOKENS if tenant.unit == _TOKEN_UNIT else UseUnit.REQUESTS
    return UseLimit(unit, tenant.rate_per_s, tenant.burst, tenant.plain_tokens)


def _route(route: _Route) -> Route:
    split = tuple(WeightedService(entry.service, entry.weight) for entry in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        idempotency=_IDEMPOTENCY_BY_KIND.get(route.kind, Idempotency.AT_MOST_ONCE),
        time_limit_seconds=route.timeout_ms / _MILLISECONDS,
        latency_target_seconds=route.target_latency_ms / _MILLISECONDS,
        priority=route.priority,
        services=split or (WeightedService(route.service, 1.0),),
        most_upstreams=max(1, route.max_attempts),
        resumable=route.resumable,
        longest_gap_seconds=route.gap_target_ms / _MILLISECONDS,
        public=route.public,
    )


def _service(service: _Service) -> ServiceRule:
    engine = service.engine
    return ServiceRule(service.name, service.max_conns, _engine(engine) if engine else None)


def _engine(engine: _Engine) -> EngineRule:
    return EngineRule(
        batch_slots=engine.slots,
        cache_tokens=engine.kv_capacity,
        weights_mb=engine.weights_mb,
        adapter_slots=engine.adapter_slots,
        cold_loads_per_second=engine.loads_per_s,
        models_by_name={model.name: _model(model) for model in engine.models},
        memory_copies_mb=engine.host_mb,
        disk_copies_mb=engine.disk_mb,
        tokens_per_event=engine.stride,
    )


def _model(model: _Model) -> ModelRule:
    return ModelRule(
        name=model.name,
        weights_mb=model.weights_mb,
        adapter_mb=model.adapter_mb,
        adapters=model.adapters,
        cold_seconds=model.load_s,
        disk_seconds=model.load_s if model.disk_s is None else model.disk_s,
        memory_seconds=model.load_s if model.warm_s is None else model.warm_s,
    )
