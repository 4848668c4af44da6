"""The typed settings of one instance."""

from typing import NamedTuple


class InstanceSettings(NamedTuple):
    """Who this instance is and where it runs."""

    id: str
    failure_domain: str
    region: str


class AddressSettings(NamedTuple):
    """A TCP address to listen on; port 0 takes a free one."""

    host: str
    port: int


class OperatorsSettings(NamedTuple):
    """The operators' port and the SHA-256 of its bearer token."""

    host: str
    port: int
    token_sha256: str


class PeersSettings(NamedTuple):
    """The port for other instances and the key that all instances share.

    ``seeds`` are ``tcp://HOST:PORT`` of peers of the own failure domain, for a
    start while the platform cannot be reached. ``url`` is where peers reach
    this instance, when it is not where it listens.
    """

    host: str
    port: int
    key: str
    seeds: tuple[str, ...] = ()
    url: str = ""


class PlatformSettings(NamedTuple):
    """Where the platform's service answers, and how long to wait for it."""

    url: str
    timeout_seconds: float


class Limits(NamedTuple):
    """Bounds of what one instance takes on; claims are kept for their retention."""

    request_threads: int
    queue_length: int
    body_bytes: int
    sender_timeout_seconds: int
    claim_retention_seconds: int


class Timing(NamedTuple):
    """Intervals and waits, in seconds."""

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
    """Level of logs; OTLP endpoint, empty for none."""

    log_level: str
    otlp_endpoint: str


class Settings(NamedTuple):
    """Everything an instance reads at its start."""

    instance: InstanceSettings
    callers: AddressSettings
    operators: OperatorsSettings
    peers: PeersSettings
    platform: PlatformSettings
    limits: Limits
    timing: Timing
    telemetry: TelemetrySettings
