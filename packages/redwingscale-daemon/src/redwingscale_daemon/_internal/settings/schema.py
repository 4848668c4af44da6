"""The JSON Schema of the settings, and the defaults of optional ones."""

from typing import Any

_TEXT: dict[str, Any] = {"type": "string", "minLength": 1}
_PORT: dict[str, Any] = {"type": "integer", "minimum": 0, "maximum": 65535}
_SECONDS: dict[str, Any] = {"type": "number", "exclusiveMinimum": 0}
_COUNT: dict[str, Any] = {"type": "integer", "minimum": 1}
_PEER_URL: dict[str, Any] = {"type": "string", "pattern": "^tcp://.+:[0-9]+$"}
_SHA256: dict[str, Any] = {"type": "string", "pattern": "^[0-9a-f]{64}$"}

DEFAULT_LIMITS: dict[str, Any] = {
    "request_threads": 160,
    "queue_length": 256,
    "body_bytes": 4 << 20,
    "sender_timeout_seconds": 10,
    "claim_retention_seconds": 86_400,
}

DEFAULT_TIMING: dict[str, Any] = {
    "configuration_poll": 2.0,
    "member_poll": 2.0,
    "report_poll": 1.0,
    "heartbeat": 1.0,
    "full_cycle": 10.0,
    "lease": 10.0,
    "lease_renewal": 2.5,
    "planning": 2.0,
    "silence": 5.0,
    "least_silence": 0.5,
    "connect": 1.0,
    "balancer_drain": 3.0,
}

DEFAULT_TELEMETRY: dict[str, Any] = {"log_level": "INFO", "otlp_endpoint": ""}


def _object(required: list[str], properties: dict[str, Any]) -> dict[str, Any]:
    return {
        "type": "object",
        "required": required,
        "properties": properties,
        "additionalProperties": False,
    }


SETTINGS_SCHEMA = _object(
    ["instance", "callers", "operators", "peers", "platform"],
    {
        "instance": _object(
            ["id", "failure_domain", "region"],
            {"id": _TEXT, "failure_domain": _TEXT, "region": _TEXT},
        ),
        "callers": _object(["host", "port"], {"host": _TEXT, "port": _PORT}),
        "operators": _object(
            ["host", "port", "token_sha256"],
            {"host": _TEXT, "port": _PORT, "token_sha256": _SHA256},
        ),
        "peers": _object(
            ["host", "port", "key"],
            {
                "host": _TEXT,
                "port": _PORT,
                "key": {"type": "string", "minLength": 16},
                "seeds": {"type": "array", "items": _PEER_URL},
                "url": _PEER_URL,
            },
        ),
        "platform": _object(["url"], {"url": _TEXT, "timeout_seconds": _SECONDS}),
        "limits": _object(
            [],
            {
                "request_threads": _COUNT,
                "queue_length": _COUNT,
                "body_bytes": _COUNT,
                "sender_timeout_seconds": _COUNT,
                "claim_retention_seconds": _COUNT,
            },
        ),
        "timing": _object([], dict.fromkeys(DEFAULT_TIMING, _SECONDS)),
        "telemetry": _object(
            [],
            {
                "log_level": {"enum": ["DEBUG", "INFO", "WARNING", "ERROR"]},
                "otlp_endpoint": {"type": "string"},
            },
        ),
    },
)
