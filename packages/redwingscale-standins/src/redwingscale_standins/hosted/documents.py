"""Configuration documents in the platform's format."""

from typing import Any

HOST = "a.example"
MODELS = [
    {
        "Name": name,
        "WeightsMb": 70.0,
        "LoadS": 0.2,
        "WarmS": 0.1,
        "DiskS": 0.1,
        "Adapters": 2,
        "AdapterMb": 1.0,
    }
    for name in ("m1", "m2", "m3", "m4")
]


def document(version: int, prefix: str = "/live/") -> dict[str, Any]:
    """Return a configuration with one streaming route and one service of four models."""
    engine = {
        "Slots": 64,
        "KvCapacity": 100000,
        "WeightsMb": 150.0,
        "AdapterSlots": 2,
        "LoadsPerS": 10.0,
        "Models": MODELS,
    }
    services = [{"Name": "llm", "MaxConns": 100, "Engine": engine}]
    return {"Version": version, "Routes": [stream_route("live", prefix)], "Services": services}


def stream_route(name: str, prefix: str) -> dict[str, Any]:
    """Return a streaming route whose streams can be resumed."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": prefix,
        "Kind": "streaming",
        "TimeoutMs": 20000,
        "TargetLatencyMs": 3000,
        "Priority": 1,
        "Service": "llm",
        "MaxAttempts": 3,
        "Resumable": True,
        "GapTargetMs": 1000,
    }


def mixed_document(version: int) -> dict[str, Any]:
    """Return that configuration with a plain service: one safe route, and one to run at most once."""
    made = document(version)
    plain = {"Service": "plain", "Resumable": False}
    made["Routes"] += [
        stream_route("unsafe", "/unsafe/") | plain | {"Kind": "unsafe", "MaxAttempts": 1},
        stream_route("safe", "/safe/") | plain | {"Kind": "safe"},
    ]
    made["Services"].append({"Name": "plain", "MaxConns": 100})
    return made


def keyed_document(
    version: int, *keys: str, per_second: float = 0, burst: float = 0
) -> dict[str, Any]:
    """Return a configuration that requires one of ``keys``, all owned by the workspace "clerks"."""
    clerks = {"Name": "clerks", "ApiKeys": list(keys), "Priority": 1, "Unit": "token_stream"}
    limit = {"PlainTokens": 100, "RatePerS": per_second, "Burst": burst}
    return document(version) | {"Tenants": [clerks | limit]}
