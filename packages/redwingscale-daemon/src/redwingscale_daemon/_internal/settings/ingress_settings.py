"""Settings of an instance whose requests are routed by host and path."""

from pathlib import Path
from typing import Any, NamedTuple

from redwingscale_common.exceptions import CheckFailed
from redwingscale_common.utils.jsontext import read_json_file
from redwingscale_common.utils.schemas import schema_findings

from redwingscale_daemon._internal.settings.scheduling import Mode, Scheduling

# The key of these settings in the settings file.
SECTION = "ingress"


class Endpoint(NamedTuple):
    """A TCP address."""

    host: str
    port: int


class Bounds(NamedTuple):
    """Requirements of the deployment; times are in seconds.

    In any ``repeat_window``, a service's repeats at all instances stay under ``repeat_ratio`` times
    its requests plus ``repeat_slack``. ``order_quiet`` is the handover pause between the
    orders of two leaders. Open requests have ``stop_grace`` to end when an instance stops.
    The limit on loads from the weight store applies to each ``load_window``. An upstream
    gets no new work ``leave`` after the store has its state as leaving, and a configuration
    is in force at all instances ``configuration`` after the store has it. All instances
    together may admit ``use_slack`` units beyond a workspace's limit.
    """

    repeat_ratio: float
    repeat_slack: float
    repeat_window: float
    order_quiet: float
    stop_grace: float
    load_window: float
    leave: float
    configuration: float
    use_slack: float = 0.0


class Machine(NamedTuple):
    """What the instance may use: cores of standard speed, megabits a second, megabytes.

    ``memory_mb`` is None if it is not limited, ``descriptors`` if the process's own limit holds.
    """

    cores: float
    link_mbps: float
    memory_mb: float | None = None
    descriptors: int | None = None


class IngressSettings(NamedTuple):
    """All settings of an instance whose requests are routed by host and path."""

    instance: str
    failure_domain: str
    host: str
    callers: Endpoint
    readiness: Endpoint
    peer_ports: tuple[int, int]
    store: Endpoint
    bounds: Bounds
    machine: Machine
    metrics_port: int
    request_threads: int
    log_level: str
    scheduling: Scheduling


_TEXT = {"type": "string", "minLength": 1}
_ADDRESS = {"type": "string", "pattern": r"^[^\s:]+:[0-9]{1,5}$"}
_PORT = {"type": "integer", "minimum": 0, "maximum": 65535}
_POSITIVE = {"type": "number", "exclusiveMinimum": 0}
_BOUNDS = (
    "repeat_ratio",
    "repeat_slack",
    "repeat_window",
    "order_quiet_ms",
    "stop_grace",
    "load_window",
)
_OPTIONAL_BOUNDS = ("leave_ms", "configuration_ms", "use_slack")
_MACHINE = ("processor_share", "processor_speed", "link_mbps")
_OPTIONAL_MACHINE = ("memory_mb", "descriptors")
_MODE = {"enum": [mode.value for mode in Mode]}
_REQUIRED = (
    "instance",
    "failure_domain",
    "host",
    "callers",
    "readiness",
    "peer_ports",
    "store",
    "bounds",
)
INGRESS_SCHEMA: dict[str, Any] = {
    "type": "object",
    "required": [SECTION],
    "properties": {
        SECTION: {
            "type": "object",
            "required": list(_REQUIRED),
            "additionalProperties": False,
            "properties": {
                "instance": _TEXT,
                "failure_domain": _TEXT,
                "host": _TEXT,
                "callers": _ADDRESS,
                "readiness": _ADDRESS,
                "peer_ports": {"type": "array", "items": _PORT, "minItems": 2, "maxItems": 2},
                "store": _ADDRESS,
                "metrics_port": _PORT,
                "request_threads": {"type": "integer", "minimum": 8, "maximum": 1000},
                "machine": {
                    "type": "object",
                    "required": list(_MACHINE),
                    "additionalProperties": False,
                    "properties": dict.fromkeys((*_MACHINE, *_OPTIONAL_MACHINE), _POSITIVE),
                },
                "scheduling": {
                    "type": "object",
                    "additionalProperties": False,
                    "properties": dict.fromkeys(Scheduling._fields, _MODE),
                },
                "log_level": {"enum": ["debug", "info", "warning", "error"]},
                "bounds": {
                    "type": "object",
                    "required": list(_BOUNDS),
                    "additionalProperties": False,
                    "properties": dict.fromkeys((*_BOUNDS, *_OPTIONAL_BOUNDS), _POSITIVE),
                },
            },
        }
    },
}
# Each stream and each waiting request needs a thread. An instance has about 20 of them, three
# times as many in a burst, and twice that number again after another instance is lost.
DEFAULT_REQUEST_THREADS = 160
DEFAULT_METRICS_PORT = 9464
DEFAULT_LEAVE_MS = 2000
DEFAULT_CONFIGURATION_MS = 2000
# Without `machine` in the settings, an instance counts as able to lead like any other.
DEFAULT_MACHINE = Machine(cores=1.0, link_mbps=1000.0)
_MILLISECONDS = 1000.0


def is_ingress(path: Path) -> bool:
    """Return whether ``path`` has an ingress section; raise `CheckFailed` if unreadable."""
    value = read_json_file(path)
    return isinstance(value, dict) and SECTION in value


def load_ingress_settings(path: Path) -> IngressSettings:
    """Return the settings in ``path``; raise `CheckFailed` with all findings."""
    value = read_json_file(path)
    findings = schema_findings(value, INGRESS_SCHEMA)
    if findings:
        raise CheckFailed.from_findings(str(path), findings)
    return _build(value[SECTION])


def _build(value: dict[str, Any]) -> IngressSettings:
    bounds = value["bounds"]
    first, last = value["peer_ports"]
    return IngressSettings(
        instance=value["instance"],
        failure_domain=value["failure_domain"],
        host=value["host"],
        callers=_endpoint(value["callers"]),
        readiness=_endpoint(value["readiness"]),
        peer_ports=(first, last),
        store=_endpoint(value["store"]),
        bounds=Bounds(
            repeat_ratio=bounds["repeat_ratio"],
            repeat_slack=bounds["repeat_slack"],
            repeat_window=bounds["repeat_window"],
            order_quiet=bounds["order_quiet_ms"] / _MILLISECONDS,
            stop_grace=bounds["stop_grace"],
            load_window=bounds["load_window"],
            leave=bounds.get("leave_ms", DEFAULT_LEAVE_MS) / _MILLISECONDS,
            configuration=bounds.get("configuration_ms", DEFAULT_CONFIGURATION_MS) / _MILLISECONDS,
            use_slack=bounds.get("use_slack", 0.0),
        ),
        machine=_machine(value.get("machine")),
        metrics_port=value.get("metrics_port", DEFAULT_METRICS_PORT),
        request_threads=value.get("request_threads", DEFAULT_REQUEST_THREADS),
        log_level=value.get("log_level", "info"),
        scheduling=Scheduling(**{k: Mode(v) for k, v in value.get("scheduling", {}).items()}),
    )


def _machine(value: dict[str, float] | None) -> Machine:
    if value is None:
        return DEFAULT_MACHINE
    descriptors = value.get("descriptors")
    return Machine(
        value["processor_share"] * value["processor_speed"],
        value["link_mbps"],
        value.get("memory_mb"),
        None if descriptors is None else int(descriptors),
    )


def _endpoint(address: str) -> Endpoint:
    host, _, port = address.rpartition(":")
    return Endpoint(host, int(port))
