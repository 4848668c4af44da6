"""The JSON Schema of the configuration text."""

from typing import Any

NAME_PATTERN = "^[a-z0-9][a-z0-9.-]{0,62}$"

_NAME: dict[str, Any] = {"type": "string", "pattern": NAME_PATTERN}
_SIZE: dict[str, Any] = {"type": "integer", "exclusiveMinimum": 0}
_SECONDS: dict[str, Any] = {"type": "number", "exclusiveMinimum": 0, "maximum": 86400}


def _object(required: list[str], properties: dict[str, Any]) -> dict[str, Any]:
    return {
        "type": "object",
        "required": required,
        "properties": properties,
        "additionalProperties": False,
    }


def _by_name(item: dict[str, Any]) -> dict[str, Any]:
    return {"type": "object", "propertyNames": _NAME, "additionalProperties": item}


_VERSION = _object(["size_bytes"], {"size_bytes": _SIZE})
_ADAPTER = _object(["size_bytes"], {"size_bytes": _SIZE})
_MODEL = _object(
    ["serving", "versions"],
    {"serving": _NAME, "versions": _by_name(_VERSION), "adapters": _by_name(_ADAPTER)},
)
_DEPENDENCY = _object(
    ["model"],
    {"model": _NAME, "adapters": {"type": "array", "items": _NAME, "uniqueItems": True}},
)
_SERVICE = _object(
    ["kind", "callers"],
    {
        "kind": {"enum": ["model", "plain"]},
        "callers": {"type": "array", "items": _NAME, "uniqueItems": True},
        "depends_on": {"type": "array", "items": _DEPENDENCY},
        "deadline_seconds": _SECONDS,
        "idempotent": {"type": "boolean"},
        "priority": {"type": "integer", "minimum": 0, "maximum": 9},
    },
)
_CALLER = _object(
    ["token_sha256"],
    {
        "token_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"},
        "share": {"type": "integer", "minimum": 1, "maximum": 1000},
        "deadline_seconds": _SECONDS,
    },
)

CONFIGURATION_SCHEMA = _object(
    ["deployment", "callers", "models", "services"],
    {
        "deployment": _NAME,
        "policy": _object(
            [],
            {
                "moves_weight": {"type": "number", "minimum": 0, "maximum": 1},
                "cache_share": {"type": "number", "minimum": 0, "maximum": 0.9},
            },
        ),
        "weight_store": _object(
            ["loads_per_second", "concurrent_loads"],
            {
                "loads_per_second": {"type": "number", "exclusiveMinimum": 0},
                "concurrent_loads": {"type": "integer", "minimum": 1},
            },
        ),
        "callers": _by_name(_CALLER),
        "models": _by_name(_MODEL),
        "services": _by_name(_SERVICE),
    },
)
