"""Typed settings of one instance."""

from typing import NamedTuple


class InstanceSettings(NamedTuple):
    """The id of this instance, and where it runs."""

    id: str
    failure_domain: str
    region: str


class AddressSettings(NamedTuple):
    """A TCP address to listen on; port 0 selects a free one."""

    host: str
    port: int


class OperatorsSettings(NamedTuple):
    """The address of the operators' port, and the SHA-256 of its bearer token."""

    host: str
    port: int
    token_sha256: str


class PeersSettings(NamedTuple):
    """The address of the port for other instances, and the key that all instances share.

    ``seeds`` are URLs ``tcp://HOST:PORT`` of peers in the same failure domain, for a start
    while the platform is unreachable. ``url`` is the URL for peers if it differs from the
    address on which this instance listens.
    """

    host: str
    port: int
    key: str
    seeds: tuple[str, ...] = ()
    url: str = ""


class PlatformSettings(NamedTuple):
    """The URL of the platform's service, and the timeout of its answers."""

    url: str
    timeout_seconds: float


class Limits(NamedTuple):
    """Bounds of one instance's work, and the retention time of claims."""

    request_threads: int
    queue_length: int
    body_bytes: int
    sender_timeout_seconds: int
    claim_retention_seconds: int


class Timing(NamedTuple):
    """Intervals and timeouts in seconds."""

    configuration_poll: float
    member_poll: float
    report_poll: float
    heartbeat: float
    full_cycle: float
    lease: float
    lease_renewal: float
    planning: float
    silence: float
    least_silence: float
    connect: float
    balancer_drain: float


class TelemetrySettings(NamedTuple):
    """The log level, and the OTLP endpoint (empty for none)."""

    log_level: str
    otlp_endpoint: str


class Settings(NamedTuple):
    """All settings of an instance."""

    instance: InstanceSettings
    callers: AddressSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    limits: Limits
    timing: Timing
    telemetry: TelemetrySettings
