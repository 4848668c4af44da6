"""Starts and stops a whole deployment: platform, upstreams and instances."""

import json
import signal
from collections.abc import Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple

import urllib3
from redwingscale_common.utils.digests import sha256_hex

from redwingscale_standins.launcher.process import ChildProcess
from redwingscale_standins.launcher.shape import EngineShape, PlainShape, Shape

HOST = "127.0.0.1"
OPERATORS_TOKEN = "demo-operators-token"
PEERS_KEY = "demo-peers-key-of-32-characters!"
STOP_SECONDS = 30.0
PARALLEL_STARTS = 8
LATE_ORDER_SECONDS = 5.0


class Speed(NamedTuple):
    """How fast the stand-ins work."""

    weights_bytes_per_second: float = 40e9
    token_gap_seconds: float = 0.01
    report_lag_seconds: float = 0.5
    slots: int = 32
    batch_slowdown: float = 1.0


class RunningMember(NamedTuple):
    """One process of the deployment and where it listens."""

    id: str
    kind: str
    failure_domain: str
    urls_by_name: dict[str, str]
    admin_url: str
    process: ChildProcess


class Deployment:
    """All processes of one deployment, by id; a development tool."""

    def __init__(
        self,
        shape: Shape,
        directory: Path,
        speed: Speed,
        *,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self._shape = shape
        self._directory = directory
        self._speed = speed
        self._extra_settings = settings or {}
        self._pool = urllib3.PoolManager(retries=False)
        self.members_by_id: dict[str, RunningMember] = {}
        # What peers are told in place of an instance's own address, by instance.
        self.peers_urls: dict[str, str] = {}

    @property
    def platform_url(self) -> str:
        """Base URL of the platform stand-in."""
        return self.members_by_id["platform"].urls_by_name["url"]

    def start(self) -> None:
        """Start everything; on a failure nothing is left running."""
        self._directory.mkdir(parents=True, exist_ok=True)
        try:
            self.start_platform()
            with ThreadPoolExecutor(PARALLEL_STARTS) as pool:
                starts: list[Future[Any]] = [
                    pool.submit(self.start_engine, e) for e in self._shape.engines
                ]
                starts += [pool.submit(self.start_plain, p) for p in self._shape.plain]
                starts += [
                    pool.submit(self.start_instance, instance, domain)
                    for instance, domain in self._shape.instances_by_id.items()
                ]
                for start in starts:
                    start.result()
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop the instances gracefully, then the rest; kill what does not end."""
        instances = [m for m in self.members_by_id.values() if m.kind == "instance"]
        others = [m for m in self.members_by_id.values() if m.kind != "instance"]
        for group in (instances, others):
            for member in group:
                member.process.signal(signal.SIGTERM)
            for member in group:
                member.process.wait(STOP_SECONDS)
                member.process.kill()
        self.members_by_id.clear()

    def start_platform(self) -> None:
        """Start the platform stand-in, which every other process needs."""
        arguments = [
            f"--bytes-per-second={self._speed.weights_bytes_per_second}",
            f"--full-speed-loads={self._shape.full_speed_loads}",
        ]
        process = self._spawn("platform", "redwingscale_standins.platform", arguments)
        url = f"http://{HOST}:{process.read_ready_line()['port']}"
        self._add("platform", "platform", "", {"url": url}, url, process)

    def start_engine(self, engine: EngineShape, resident: Mapping[str, int] | None = None) -> None:
        """Start an engine stand-in and list it; an old one of its id is replaced.

        ``resident`` maps units that it holds from the start to their bytes.
        """
        arguments = [
            f"--vendor={engine.vendor}",
            f"--memory-bytes={engine.memory_bytes}",
            f"--token-gap-seconds={self._speed.token_gap_seconds}",
            f"--report-lag-seconds={self._speed.report_lag_seconds}",
            f"--slots={self._speed.slots}",
            f"--batch-slowdown={self._speed.batch_slowdown}",
            f"--weights-url={self.platform_url}/weights",
            *(f"--resident={unit}={size}" for unit, size in (resident or {}).items()),
        ]
        process = self._spawn(engine.id, "redwingscale_standins.engine", arguments)
        url = f"http://{HOST}:{process.read_ready_line()['port']}"
        self._add(engine.id, "engine", engine.failure_domain, {"url": url}, url, process)
        self.list_member(
            {
                "id": engine.id,
                "kind": "engine",
                "failure_domain": engine.failure_domain,
                "state": "live",
                "url": url,
                "vendor": engine.vendor,
                "accelerators": engine.accelerators,
                "checks_fencing": engine.vendor == "alder",
                "late_order_seconds": LATE_ORDER_SECONDS,
            }
        )

    def start_plain(self, plain: PlainShape) -> None:
        """Start an upstream of a plain service and list it."""
        process = self._spawn(plain.id, "redwingscale_standins.plain", [f"--name={plain.service}"])
        url = f"http://{HOST}:{process.read_ready_line()['port']}"
        self._add(plain.id, "plain", plain.failure_domain, {"url": url}, url, process)
        self.list_member(
            {
                "id": plain.id,
                "kind": "plain",
                "failure_domain": plain.failure_domain,
                "state": "live",
                "url": url,
                "service": plain.service,
            }
        )

    def start_instance(self, instance: str, failure_domain: str) -> int:
        """Start an instance and list it; return its port for peers."""
        settings = self._settings(instance, failure_domain)
        path = self._directory / f"{instance}.json"
        path.write_text(json.dumps(settings, indent=2))
        process = self._spawn(instance, "redwingscale_daemon", [f"--settings={path}"])
        ports = process.read_ready_line()
        urls = {
            "callers_url": f"http://{HOST}:{ports['callers_port']}",
            "operators_url": f"http://{HOST}:{ports['operators_port']}",
            "peers_url": self.peers_urls.get(instance, f"tcp://{HOST}:{ports['peers_port']}"),
        }
        self._add(instance, "instance", failure_domain, urls, "", process)
        item = {
            "id": instance,
            "kind": "instance",
            "failure_domain": failure_domain,
            "region": self._shape.region,
            "state": "live",
        }
        self.list_member(item | urls)
        return int(ports["peers_port"])

    def list_member(self, item: dict[str, Any]) -> None:
        """Put ``item`` into the platform's list."""
        self._pool.request("PUT", f"{self.platform_url}/admin/members", json=item)

    def set_faults(self, member: str, **switches: Any) -> None:
        """Set fault switches of a stand-in."""
        url = self.members_by_id[member].admin_url
        self._pool.request("POST", f"{url}/admin/faults", json=switches)

    def describe(self) -> list[dict[str, Any]]:
        """Return each member as ``build/demo.json`` lists it."""
        return [
            {
                "id": m.id,
                "kind": m.kind,
                "failure_domain": m.failure_domain,
                "admin_url": m.admin_url,
                "pid": m.process.pid,
            }
            | m.urls_by_name
            for m in self.members_by_id.values()
        ]

    def _settings(self, instance: str, failure_domain: str) -> dict[str, Any]:
        return {
            "instance": {
                "id": instance,
                "failure_domain": failure_domain,
                "region": self._shape.region,
            },
            "callers": {"host": HOST, "port": 0},
            "operators": {
                "host": HOST,
                "port": 0,
                "token_sha256": sha256_hex(OPERATORS_TOKEN.encode()),
            },
            "peers": {
                "host": HOST,
                "port": 0,
                "key": PEERS_KEY,
                "seeds": self._seeds(instance, failure_domain),
            }
            | ({"url": self.peers_urls[instance]} if instance in self.peers_urls else {}),
            "platform": {"url": self.platform_url},
            "timing": {"balancer_drain": 0.5},
        } | self._extra_settings

    def _seeds(self, instance: str, failure_domain: str) -> list[str]:
        """Return the peers of ``failure_domain`` that run already."""
        return [
            m.urls_by_name["peers_url"]
            for m in list(self.members_by_id.values())
            if m.kind == "instance" and m.failure_domain == failure_domain and m.id != instance
        ]

    def _spawn(self, name: str, module: str, arguments: list[str]) -> ChildProcess:
        return ChildProcess(name, module, arguments, self._directory / "logs")

    def _add(
        self,
        member_id: str,
        kind: str,
        domain: str,
        urls: dict[str, str],
        admin_url: str,
        process: ChildProcess,
    ) -> None:
        member = RunningMember(member_id, kind, domain, urls, admin_url, process)
        self.members_by_id[member_id] = member
