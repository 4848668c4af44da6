"""A store, workers of two software versions behind links, and instances."""

import threading
from collections.abc import Collection, Sequence
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

from redwingscale_common.network.server import HttpServer, ServerLimits

from redwingscale_standins.hosted.documents import document
from redwingscale_standins.hosted.instance_process import DAEMON_MODULE, InstanceProcess
from redwingscale_standins.hosted.model_worker import ModelWorker, WorkerTiming
from redwingscale_standins.hosted.rows_api import RowsApi
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.faulty_link import FaultyLink
from redwingscale_standins.soak.process_paths import ProcessPaths

FIRST, OTHER = "v1", "v1.1"
MODEL, OTHER_MODEL = "m1", "m2"
EVENT_GAP_SECONDS = 0.05
SERVER_THREADS = 64
# Instances that start at the same time.
STARTS_AT_ONCE = 6
# An instance that starts asks so many peers for what they know.
PEERS_ASKED = 3
CUTTABLE_MODULE = "redwingscale_standins.versions.cut_process"


class VersionPlace:
    """The address of a worker, at which one process follows another, of any version."""

    def __init__(
        self,
        name: str,
        software: str,
        models: Sequence[str],
        world: "VersionWorld",
        *,
        listed: bool = True,
    ) -> None:
        self.name, self._models, self._world = name, models, world
        self._lives = 0
        self.worker = self._new_worker(software)
        self.link = FaultyLink(self._serve(self.worker), world.paths)
        self._listed: str | None = None
        self._lock = threading.Lock()
        if listed:
            self.list()

    def _new_worker(self, software: str) -> ModelWorker:
        self._lives += 1
        worker = ModelWorker(
            f"{self.name}.{self._lives}",
            {name: set() for name in self._models},
            WorkerTiming(EVENT_GAP_SECONDS),
        )
        worker.software = software
        return worker

    def _serve(self, worker: ModelWorker) -> int:
        self._server = HttpServer(worker, "127.0.0.1", 0, ServerLimits(threads=SERVER_THREADS))
        self._server.start()
        return int(self._server.port)

    def list(self) -> None:
        """List the process that listens now, in place of the one that is listed."""
        with self._lock:
            self.unlist()
            self._listed = self.worker.id
            entry = self.worker.entry(self.link.port)
            self._world.rows.put("servers", self._listed, entry)

    def unlist(self) -> None:
        """Remove the entry of the process that is listed."""
        if self._listed is not None:
            self._world.rows.remove("servers", self._listed)
            self._listed = None

    def replace(self, software: str, listed_late_seconds: float) -> None:
        """End the process and begin one of version ``software``, which is listed later."""
        former, self.worker = self._server, self._new_worker(software)
        self.link.target_port = self._serve(self.worker)
        self.link.reset()
        former.stop()
        if listed_late_seconds:
            threading.Timer(listed_late_seconds, self.list).start()
        else:
            self.list()

    def end(self) -> None:
        """End the process for good."""
        self.link.refuse = True
        self.link.reset()
        self.unlist()

    def stop(self) -> None:
        """Stop the server and its link."""
        self.link.close()
        self._server.stop()


class VersionWorld:
    """Everything that a play starts; `stop` ends it."""

    def __init__(
        self,
        directory: Path,
        software: Sequence[str],
        without_model: Collection[int] = (),
        unlisted: Collection[str] = (),
        *,
        cuttable: bool = False,
    ) -> None:
        self._directory = directory
        # Whether the network of single instances can be cut, see `cut_process`.
        self._module = CUTTABLE_MODULE if cuttable else DAEMON_MODULE
        self.rows = RowsApi()
        self._store = HttpServer(self.rows, "127.0.0.1", 0, ServerLimits(threads=96))
        self._store.start()
        self.rows.put("op", "config", document(1))
        self.paths = ProcessPaths()
        self.places = [
            VersionPlace(
                f"w{number}",
                version,
                [OTHER_MODEL if number in without_model else MODEL],
                self,
                listed=version not in unlisted,
            )
            for number, version in enumerate(software)
        ]
        self.instances: list[InstanceProcess] = []

    @property
    def store_port(self) -> int:
        """The port of the store."""
        return int(self._store.port)

    def start_instances(self, count: int) -> None:
        """Start ``count`` instances and wait until they are ready and know each other."""
        names = [f"n{number}" for number in range(count)]
        with ThreadPoolExecutor(STARTS_AT_ONCE) as pool:
            self.instances += pool.map(
                partial(_start, self.store_port, self._directory, self._module), names
            )
        for one in self.instances:
            until(partial(is_ready, one), f"readiness of {one.name}")
        until(lambda: self.rows.value("redwingscale", "order-giver") is not None, "a leader")
        for one in self.instances:
            until(
                partial(_knows_peers, one, min(count - 1, PEERS_ASKED)), f"the peers of {one.name}"
            )

    def stop(self) -> None:
        """End all processes, links and servers."""
        for instance in self.instances:
            instance.end()
        for place in self.places:
            place.stop()
        self._store.stop()


def _start(store_port: int, directory: Path, module: str, name: str) -> InstanceProcess:
    return InstanceProcess(name, store_port, directory, module=module)


def is_ready(instance: InstanceProcess) -> bool:
    """Return whether the instance says that it takes requests."""
    return instance.status() == 200


def _knows_peers(instance: InstanceProcess, count: int) -> bool:
    lines = instance.log.read_text().splitlines()
    peers = {line.split("peer=")[1].split()[0] for line in lines if "event=entries_" in line}
    return len(peers) >= count
