"""Reads and checks the settings file, and builds the typed settings."""

from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from redwingscale_common.exceptions import CheckFailed
from redwingscale_common.finding import Finding
from redwingscale_common.utils.jsontext import read_json_file
from redwingscale_common.utils.schemas import schema_findings

from redwingscale_daemon._internal.settings.schema import (
    DEFAULT_LIMITS,
    DEFAULT_TELEMETRY,
    DEFAULT_TIMING,
    SETTINGS_SCHEMA,
)
from redwingscale_daemon._internal.settings.settings import (
    AddressSettings,
    InstanceSettings,
    Limits,
    OperatorsSettings,
    PeersSettings,
    PlatformSettings,
    Settings,
    TelemetrySettings,
    Timing,
)

DEFAULT_PLATFORM_TIMEOUT_SECONDS = 2.0
# A lease must last for this many renewal intervals, so that one lost renewal does not end it.
LEASE_RENEWALS_IN_LEASE = 2


def load_settings(path: Path) -> Settings:
    """Return the settings in ``path``; raise `CheckFailed` with all findings."""
    value = read_json_file(path)
    findings = schema_findings(value, SETTINGS_SCHEMA) or list(_relation_findings(value))
    if findings:
        raise CheckFailed.from_findings(str(path), findings)
    return _build(value)


def _relation_findings(value: Mapping[str, Any]) -> Iterator[Finding]:
    timing = DEFAULT_TIMING | value.get("timing", {})
    if timing["lease_renewal"] * LEASE_RENEWALS_IN_LEASE > timing["lease"]:
        yield Finding(
            "$.timing.lease_renewal",
            "is more than half of the lease",
            "one lost renewal would end the lease",
        )
    if not value["platform"]["url"].startswith(("http://", "https://")):
        yield Finding("$.platform.url", "is not an http or https URL")


def _build(value: Mapping[str, Any]) -> Settings:
    platform = {"timeout_seconds": DEFAULT_PLATFORM_TIMEOUT_SECONDS} | value["platform"]
    peers = value["peers"]
    return Settings(
        instance=InstanceSettings(**value["instance"]),
        callers=AddressSettings(**value["callers"]),
        operators=OperatorsSettings(**value["operators"]),
        peers=PeersSettings(**(peers | {"seeds": tuple(peers.get("seeds", ()))})),
        platform=PlatformSettings(**platform),
        limits=Limits(**(DEFAULT_LIMITS | value.get("limits", {}))),
        timing=Timing(**(DEFAULT_TIMING | value.get("timing", {}))),
        telemetry=TelemetrySettings(**(DEFAULT_TELEMETRY | value.get("telemetry", {}))),
    )
