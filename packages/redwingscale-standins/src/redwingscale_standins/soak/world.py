"""The deployment under soak: a store, workers behind faulty links, instances."""

import random
import threading
import time
from pathlib import Path
from typing import Any, NamedTuple

from redwingscale_common.network.server import HttpServer, ServerLimits

from redwingscale_standins.hosted.documents import HOST, document
from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.hosted.rows_api import RowsApi
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.disturbance import Disturbance
from redwingscale_standins.soak.faulty_link import FaultyLink
from redwingscale_standins.soak.ledger import Ledger
from redwingscale_standins.soak.soak_worker import SoakWorker

MODEL_SERVICE, PLAIN_SERVICE = "llm", "plain"
MODEL_WORKERS, PLAIN_WORKERS = 3, 2
PLAIN_LIMIT_SECONDS = 4.0
# Known to each version, and of a workspace without a limit.
STEADY_KEY = "steady-key"
LIMITED_KEY = "limited-key"
# Requests a second, and at once, that the limited workspace may send.
MOST_PER_SECOND, MOST_AT_ONCE = 10, 10
_SERVER_THREADS = 48


class Place:
    """A worker with the server and the link in front of it."""

    def __init__(self, worker: SoakWorker, service: str) -> None:
        self.worker = worker
        self.service = service
        self.state = "ready"
        self.replaced = False
        # When the list has said that it leaves.
        self.left_at = float("inf")
        # An entry that is taken off isn't written again by a heartbeat.
        self.listed = True
        limits = ServerLimits(threads=_SERVER_THREADS)
        self.server = HttpServer(worker, "127.0.0.1", 0, limits)
        self.server.start()
        self.link = FaultyLink(self.server.port)

    def entry(self) -> dict[str, Any]:
        """Return the worker's row in the list."""
        models = [{"Name": name, "Version": 1, "Adapters": []} for name in self.worker.models]
        return {
            "Service": self.service,
            "Address": f"127.0.0.1:{self.link.port}",
            "Zone": "z1",
            "Version": "v1",
            "Slots": 16,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": 1,
            "Models": models if self.service == MODEL_SERVICE else [],
        }


class Limited(NamedTuple):
    """A worker that advertised a rate limit; ``calm`` where nothing unplanned held up what it got."""

    worker: SoakWorker
    per_second: float
    named_at: float
    ended_at: float
    calm: bool


class Noticed(NamedTuple):
    """A time in which a worker's answers said something of it.

    ``calm`` where nothing unplanned held up what it got. It rejects where it names
    ``retry_seconds``, else it leaves.
    """

    worker: SoakWorker
    begun_at: float
    ended_at: float
    calm: bool
    retry_seconds: float | None = None


class Node:
    """An instance, its link to the store, and whether it is disturbed."""

    def __init__(self, name: str, store_port: int, directory: Path) -> None:
        self.store_link = FaultyLink(store_port)
        self.process = InstanceProcess(name, self.store_link.port, directory)
        self.name = name
        self.stopping = False
        self.disturbance = Disturbance()

    def until_ready(self) -> None:
        """Wait until the instance says that it is ready."""
        until(lambda: self.process.status() == 200, f"readiness of {self.name}")


class World:
    """Everything that a soak starts; `stop` ends it by the ids it has."""

    def __init__(self, directory: Path, instances: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.ledger = Ledger()
        self._directory = directory
        self._numbers = iter(range(1000))
        self.rows = RowsApi()
        self.places: dict[str, Place] = {}
        self.limited: list[Limited] = []
        self.noticed: list[Noticed] = []
        # Anything unplanned, and the whole store.
        self.disturbance = Disturbance()
        self.store_disturbance = Disturbance()
        self._listing = threading.Lock()
        self.version = 0
        self.version_at = 0.0
        self._store = HttpServer(self.rows, "127.0.0.1", 0, ServerLimits(threads=64))
        self._store.start()
        self.change_configuration()
        models = [{"m1", "m2"}, {"m3", "m1"}, {"m4"}]
        for held in models[:MODEL_WORKERS]:
            self.add_worker(MODEL_SERVICE, held)
        for _ in range(PLAIN_WORKERS):
            self.add_worker(PLAIN_SERVICE, set())
        self.nodes: list[Node] = []
        try:
            self._start_nodes(instances)
        except BaseException:
            # What has started must not be left behind.
            self.stop()
            raise

    def _start_nodes(self, instances: int) -> None:
        for number in range(instances):
            self.nodes.append(Node(f"n{number}", self._store.port, self._directory))
        for node in self.nodes:
            node.until_ready()

    def add_worker(self, service: str, models: set[str]) -> Place:
        """Start a worker and list it."""
        worker = SoakWorker(f"w{next(self._numbers)}", models, self.ledger)
        place = self.places[worker.id] = Place(worker, service)
        self.list(place, "ready")
        return place

    def list(self, place: Place, state: str) -> None:
        """Write the worker's row, unless it was taken off."""
        with self._listing:
            if place.listed:
                place.state = state
                self.rows.put("servers", place.worker.id, place.entry())

    def unlist(self, place: Place) -> None:
        """Take the worker's row off for good; it goes on serving."""
        with self._listing:
            place.listed = False
            self.rows.remove("servers", place.worker.id)

    def heartbeat(self) -> None:
        """Write every worker's row anew, with what it holds now."""
        for place in list(self.places.values()):
            self.list(place, place.state)

    def drop(self, place: Place) -> None:
        """End a worker at once, and its row after it."""
        place.worker.dead = True
        place.link.close()
        self.places.pop(place.worker.id, None)
        self.unlist(place)
        place.server.stop()

    def change_configuration(self) -> None:
        """Write the next version, with a route that has its number."""
        self.version += 1
        written = document(self.version)
        written["Routes"] += [
            _plain_route("safe", "/safe/", "safe"),
            _plain_route("once", "/once/", "unsafe"),
            _plain_route("newest", f"/v{self.version}/", "safe"),
        ]
        written["Services"].append({"Name": PLAIN_SERVICE, "MaxConns": 100})
        limit = {"RatePerS": MOST_PER_SECOND, "Burst": MOST_AT_ONCE}
        written["Tenants"] = [
            {"Name": "steady", "ApiKeys": [STEADY_KEY]},
            {"Name": "changing", "ApiKeys": [version_key(self.version)]},
            {"Name": "limited", "ApiKeys": [LIMITED_KEY], **limit},
        ]
        self.rows.put("op", "config", written)
        self.version_at = time.monotonic()

    def stop(self) -> None:
        """End instances, links and servers."""
        for node in self.nodes:
            node.process.end()
            node.store_link.close()
        for place in self.places.values():
            place.link.close()
            place.server.stop()
        self._store.stop()


def version_key(version: int) -> str:
    """Return the key that ``version`` alone knows."""
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
