"""The deployment under test: a store, workers behind faulty links, and instances."""

import random
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

from redwingscale_common.network.server import HttpServer, ServerLimits

from redwingscale_standins.hosted.documents import HOST, document
from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.hosted.rows_api import RowsApi
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.parts.rule import PartLedger
from redwingscale_standins.soak.disturbance import Disturbance
from redwingscale_standins.soak.faulty_link import FaultyLink
from redwingscale_standins.soak.ledger import Ledger
from redwingscale_standins.soak.process_paths import ProcessPaths
from redwingscale_standins.soak.soak_worker import SoakWorker

if TYPE_CHECKING:
    from redwingscale_standins.soak.brittle import BrittlePeriod
    from redwingscale_standins.soak.ending_body import EndingBody
    from redwingscale_standins.soak.ending_part import EndingPart
    from redwingscale_standins.soak.lost_path import PathCut

MODEL_SERVICE, PLAIN_SERVICE = "llm", "plain"
MODEL_WORKERS, PLAIN_WORKERS = 3, 2
PLAIN_LIMIT_SECONDS = 4.0
# Of the route of streams, in turn with each version; callers' own deadlines are shorter.
STREAM_ROUTE_LIMITS_MS = (20000, 15000)
# Of a planned stop: the deployed grace period, and one that is longer than any answer.
DEPLOYED_GRACE_SECONDS, LONG_GRACE_SECONDS = 8.0, 12.0
# Valid in every version, for a workspace without a limit.
STEADY_KEY = "steady-key"
LIMITED_KEY = "limited-key"
# Rate in requests a second, and burst, of the limited workspace.
MAX_PER_SECOND, MAX_BURST = 10, 10
_SERVER_THREADS = 48
# A worker that has ended stays in the list for a while, and is replaced later.
ENDED_LISTED_SECONDS = 0.5
ENDED_DOWN_SECONDS = 1.0


class WorkerHost:
    """A worker with the server and the link in front of it."""

    def __init__(
        self, worker: SoakWorker, service: str, paths: ProcessPaths, link: FaultyLink | None = None
    ) -> None:
        self.worker = worker
        self.service = service
        self.state = "ready"
        self.replaced = False
        # When the list announced that the worker is leaving.
        self.left_at = float("inf")
        # When the list named the worker for the first time while the store answered, and when its
        # process ended.
        self.known_at = float("inf")
        self.ended_at = float("inf")
        # False once the row is removed, so that a heartbeat does not write it again.
        self.listed = True
        limits = ServerLimits(threads=_SERVER_THREADS)
        self.server = HttpServer(worker, "127.0.0.1", 0, limits)
        self.server.start()
        self.link = link or FaultyLink(self.server.port, paths)

    def entry(self) -> dict[str, Any]:
        """Return the worker's row in the list."""
        models = [{"Name": name, "Version": 1, "Adapters": []} for name in self.worker.models]
        return {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.link.port}",
            "Zone": "z1",
            "Version": self.worker.software,
            "Slots": 16,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": 1,
            "Models": models if self.service == MODEL_SERVICE else [],
        }


class RateLimitPeriod(NamedTuple):
    """A period with a rate limit; ``undisturbed`` if no unplanned fault delayed calls."""

    worker: SoakWorker
    per_second: float
    begun_at: float
    ended_at: float
    undisturbed: bool


class BackpressurePeriod(NamedTuple):
    """A period in which a worker announced backpressure in its responses.

    ``undisturbed`` is true if no unplanned fault delayed its calls. The worker rejected
    requests if ``retry_seconds`` is set, else it was leaving.
    """

    worker: SoakWorker
    begun_at: float
    ended_at: float
    undisturbed: bool
    retry_seconds: float | None = None


class Node:
    """An instance, its link to the store, and its disturbance."""

    def __init__(self, name: str, store_port: int, directory: Path, grace_seconds: float) -> None:
        self.store_link = FaultyLink(store_port)
        bounds = {"stop_grace": grace_seconds}
        self.process = InstanceProcess(name, self.store_link.port, directory, bounds=bounds)
        self.name = name
        self.started_at = time.monotonic()
        self.stopping = False
        self.disturbance = Disturbance()

    def until_ready(self) -> None:
        """Wait until the instance says that it is ready."""
        until(lambda: self.process.status() == 200, f"readiness of {self.name}")


class World:
    """Everything that a soak starts; `stop` ends it by the ids it has."""

    def __init__(
        self,
        directory: Path,
        instances: int,
        seed: int,
        software: Sequence[str] = ("v1",),
        planned_only: bool = False,
    ) -> None:
        self._planned_only = planned_only
        self.grace_seconds = DEPLOYED_GRACE_SECONDS if planned_only else LONG_GRACE_SECONDS
        # The versions that workers are started with; drawn apart from the faults.
        self._software = software
        self._drawn_software = random.Random(f"software {seed}")
        self.seed = seed
        self.random = random.Random(seed)
        self.ledger = Ledger()
        self._directory = directory
        self._numbers = iter(range(1000))
        self.rows = RowsApi()
        self.worker_hosts: dict[str, WorkerHost] = {}
        # Those that have ended as well.
        self.all_hosts: list[WorkerHost] = []
        self.rate_limit_periods: list[RateLimitPeriod] = []
        self.backpressure_periods: list[BackpressurePeriod] = []
        # Unplanned faults of any kind, and faults of the whole store.
        self.disturbance = Disturbance()
        self.store_disturbance = Disturbance()
        # Paths on which responses of workers, and so their announcements, are late.
        self.slow_paths = Disturbance()
        self.ending_bodies: list[EndingBody] = []
        self.ending_parts: list[EndingPart] = []
        self.parts = PartLedger()
        # Which instances have lost their path to the workers.
        self.paths = ProcessPaths()
        self.path_cuts: list[PathCut] = []
        self.brittle_periods: list[BrittlePeriod] = []
        # The instance that most new connections go to, if there is one.
        self.crowded: Node | None = None
        self._stopped = False
        self._listing = threading.Lock()
        self._version_lock = threading.Lock()
        self.version = 0
        self.version_at = 0.0
        self._store = HttpServer(self.rows, "127.0.0.1", 0, ServerLimits(threads=64))
        self._store.start()
        self.change_configuration()
        models = [{"m1", "m2"}, {"m3", "m1"}, {"m4"}]
        for resident in models[:MODEL_WORKERS]:
            self.add_worker(MODEL_SERVICE, resident)
        for _ in range(PLAIN_WORKERS):
            self.add_worker(PLAIN_SERVICE, set())
        self.nodes: list[Node] = []
        try:
            self._start_nodes(instances)
        except BaseException:
            # Processes that have started must not outlive the failed set-up.
            self.stop()
            raise

    def _start_nodes(self, instances: int) -> None:
        for number in range(instances):
            port, grace_seconds = self._store.port, self.grace_seconds
            self.nodes.append(Node(f"n{number}", port, self._directory, grace_seconds))
        for node in self.nodes:
            node.until_ready()

    def add_worker(self, service: str, models: set[str]) -> WorkerHost:
        """Start a worker and list it."""
        host = self._start_worker(service, models)
        self._add(host)
        return host

    def replace_in_place(self, host: WorkerHost) -> Callable[[], None]:
        """End a worker and let another process listen at its address at once.

        Returns what lists the new process in place of the old one.
        """
        follower = self._start_worker(host.service, set(host.worker.models), host.link)
        host.ended_at = time.monotonic()
        with self.ledger.breaking(host.worker.id):
            host.worker.crashed = True
            host.link.target_port = follower.server.port
            host.link.reset()
        self.worker_hosts.pop(host.worker.id, None)
        host.server.stop()

        def list_follower() -> None:
            self.unlist(host)
            self._add(follower)

        return list_follower

    def _start_worker(
        self, service: str, models: set[str], link: FaultyLink | None = None
    ) -> WorkerHost:
        worker = SoakWorker(f"w{next(self._numbers)}", models, self.ledger, self.parts)
        worker.software = self._drawn_software.choice(self._software)
        host = WorkerHost(worker, service, self.paths, link)
        worker.on_ending_body = lambda: self._end(host)
        self.all_hosts.append(host)
        return host

    def _add(self, host: WorkerHost) -> None:
        self.worker_hosts[host.worker.id] = host
        self.list(host, "ready")

    def list(self, host: WorkerHost, state: str) -> None:
        """Write the worker's row, unless it was removed from the list."""
        with self._listing:
            if host.listed:
                host.state = state
                self.rows.put("servers", host.worker.id, host.entry())

    def unlist(self, host: WorkerHost) -> None:
        """Remove the worker's row permanently; the worker continues to serve."""
        with self._listing:
            host.listed = False
            self.rows.remove("servers", host.worker.id)

    def heartbeat(self) -> None:
        """Rewrite every worker's row with its currently resident models."""
        for host in list(self.worker_hosts.values()):
            self.list(host, host.state)
            if not self.rows.down:
                host.known_at = min(host.known_at, time.monotonic())

    def drop(self, host: WorkerHost) -> None:
        """Stop a worker immediately, then remove its row."""
        host.ended_at = time.monotonic()
        with self.ledger.breaking(host.worker.id):
            host.worker.crashed = True
            host.link.close()
        self.worker_hosts.pop(host.worker.id, None)
        self.unlist(host)
        host.server.stop()

    def _end(self, host: WorkerHost) -> None:
        """End a worker as a process ends, and replace it after some time."""

        def replace() -> None:
            host.link.close()
            self.worker_hosts.pop(host.worker.id, None)
            time.sleep(ENDED_LISTED_SECONDS)
            self.unlist(host)
            host.server.stop()
            time.sleep(ENDED_DOWN_SECONDS - ENDED_LISTED_SECONDS)
            if not self._stopped:
                self.add_worker(host.service, set(host.worker.models))

        # Called by a thread of the server that it stops.
        host.ended_at = time.monotonic()
        with self.ledger.breaking(host.worker.id):
            threading.Thread(target=replace, name=f"replace {host.worker.id}", daemon=True).start()

    def announced_late_at(self) -> float:
        """Return when an unplanned fault or a slow path last delayed what workers announce."""
        return max(self.disturbance.last_at, self.slow_paths.last_at)

    def calm_since(self) -> float:
        """Return when the last unplanned fault ended; starts count as such beside others."""
        if self._planned_only:
            return float("-inf")
        disturbances = [self.disturbance, self.store_disturbance]
        disturbances += [node.disturbance for node in self.nodes]
        return max(one.last_at for one in disturbances)

    def change_configuration(self) -> None:
        """Write the next version: another time limit, and a route that contains its number."""
        with self._version_lock:
            self._write_next_version()

    def _write_next_version(self) -> None:
        self.version += 1
        configuration = document(self.version)
        limit_ms = STREAM_ROUTE_LIMITS_MS[self.version % len(STREAM_ROUTE_LIMITS_MS)]
        configuration["Routes"][0]["TimeoutMs"] = limit_ms
        configuration["Routes"] += [
            _plain_route("safe", "/safe/", "safe"),
            _plain_route("once", "/once/", "unsafe"),
            _plain_route("newest", f"/v{self.version}/", "safe"),
        ]
        configuration["Services"].append({"Name": PLAIN_SERVICE, "MaxConns": 100})
        limit = {"RatePerS": MAX_PER_SECOND, "Burst": MAX_BURST}
        configuration["Tenants"] = [
            {"Name": "steady", "ApiKeys": [STEADY_KEY]},
            {"Name": "changing", "ApiKeys": [version_key(self.version)]},
            {"Name": "limited", "ApiKeys": [LIMITED_KEY], **limit},
        ]
        self.rows.put("op", "config", configuration)
        self.version_at = time.monotonic()

    def stop(self) -> None:
        """Stop all instances, links and servers."""
        self._stopped = True
        for node in self.nodes:
            node.process.end()
            node.store_link.close()
        for host in list(self.worker_hosts.values()):
            host.link.close()
            host.server.stop()
        self._store.stop()


def version_key(version: int) -> str:
    """Return the key that is valid in ``version`` only."""
    return f"key-{version}"


def _plain_route(name: str, prefix: str, kind: str) -> dict[str, Any]:
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": prefix,
        "Kind": kind,
        "TimeoutMs": int(PLAIN_LIMIT_SECONDS * 1000),
        "TargetLatencyMs": 500,
        "Priority": 2,
        "Service": PLAIN_SERVICE,
        "MaxAttempts": 2,
    }
