"""Builds the typed configuration from the parsed configuration text."""

from collections.abc import Mapping
from typing import Any

from redwingscale_common.configuration.caller import Caller
from redwingscale_common.configuration.configuration import Configuration
from redwingscale_common.configuration.model import Adapter, Model, ModelVersion
from redwingscale_common.configuration.policy import Policy, WeightStore
from redwingscale_common.configuration.service import (
    Dependency,
    ModelService,
    PlainService,
    Service,
)

DEFAULT_CALLER_DEADLINE_SECONDS = 60.0
DEFAULT_SERVICE_DEADLINE_SECONDS = 60.0
DEFAULT_SHARE = 1
DEFAULT_PRIORITY = 5
DEFAULT_MOVES_WEIGHT = 0.5
DEFAULT_CACHE_SHARE = 0.1
DEFAULT_LOADS_PER_SECOND = 1.0
DEFAULT_CONCURRENT_LOADS = 4


def build_configuration(value: Mapping[str, Any]) -> Configuration:
    """Return the typed form of ``value``, a parsed configuration text without findings."""
    callers = {name: _caller(name, item) for name, item in value["callers"].items()}
    return Configuration(
        deployment=value["deployment"],
        policy=_policy(value.get("policy", {})),
        weight_store=_weight_store(value.get("weight_store", {})),
        callers_by_token={c.token_sha256: c for c in callers.values()},
        callers_by_name=callers,
        models_by_name={name: _model(name, item) for name, item in value["models"].items()},
        services_by_name={name: _service(name, item) for name, item in value["services"].items()},
    )


def _policy(item: Mapping[str, Any]) -> Policy:
    return Policy(
        moves_weight=float(item.get("moves_weight", DEFAULT_MOVES_WEIGHT)),
        cache_share=float(item.get("cache_share", DEFAULT_CACHE_SHARE)),
    )


def _weight_store(item: Mapping[str, Any]) -> WeightStore:
    return WeightStore(
        loads_per_second=float(item.get("loads_per_second", DEFAULT_LOADS_PER_SECOND)),
        concurrent_loads=item.get("concurrent_loads", DEFAULT_CONCURRENT_LOADS),
    )


def _caller(name: str, item: Mapping[str, Any]) -> Caller:
    return Caller(
        name=name,
        token_sha256=item["token_sha256"],
        share=item.get("share", DEFAULT_SHARE),
        deadline_seconds=float(item.get("deadline_seconds", DEFAULT_CALLER_DEADLINE_SECONDS)),
    )


def _model(name: str, item: Mapping[str, Any]) -> Model:
    versions = item["versions"].items()
    adapters = item.get("adapters", {}).items()
    return Model(
        name=name,
        serving=item["serving"],
        versions_by_name={key: ModelVersion(key, v["size_bytes"]) for key, v in versions},
        adapters_by_name={key: Adapter(key, a["size_bytes"]) for key, a in adapters},
    )


def _service(name: str, item: Mapping[str, Any]) -> Service:
    callers = frozenset(item["callers"])
    deadline = float(item.get("deadline_seconds", DEFAULT_SERVICE_DEADLINE_SECONDS))
    priority = item.get("priority", DEFAULT_PRIORITY)
    if item["kind"] == "plain":
        return PlainService(name, callers, deadline, item.get("idempotent", False), priority)
    depends_on = tuple(
        Dependency(d["model"], tuple(d.get("adapters", ()))) for d in item["depends_on"]
    )
    return ModelService(name, callers, depends_on, deadline, item.get("idempotent", True), priority)
