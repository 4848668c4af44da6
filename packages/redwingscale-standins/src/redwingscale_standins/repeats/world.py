"""A store, workers behind links, and instances, for plays that count repeats."""

import itertools
import threading
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import Any

import cherrypy
from redwingscale_common.network.server import HttpServer, ServerLimits

from redwingscale_standins.hang import drop_connection
from redwingscale_standins.hosted.documents import document
from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.hosted.model_worker import ModelWorker, WorkerTiming
from redwingscale_standins.hosted.rows_api import RowsApi
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.repeats.faults import FailedRequests
from redwingscale_standins.repeats.rule import Arrival, RepeatRule
from redwingscale_standins.soak.faulty_link import FaultyLink
from redwingscale_standins.soak.process_paths import ProcessPaths

MODEL = "m1"
EVENT_GAP_SECONDS = 0.005
SERVER_THREADS = 48
# Instances that start at the same time.
STARTS_AT_ONCE = 6


class FailingWorker(ModelWorker):
    """Fails each so many requests as ``fails`` says, None for none."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name}.1", {MODEL: set()}, WorkerTiming(EVENT_GAP_SECONDS))
        self.name = name
        self.fails: FailedRequests | None = None
        self._requests = itertools.count(1)
        self._lives = itertools.count(2)

    def begin_next_life(self) -> None:
        """Go on as another process would at the same address."""
        self.id = f"{self.name}.{next(self._lives)}"

    def _serve(self, headers: Any, body: bytes) -> Any:
        fails = self.fails
        if fails is None or next(self._requests) % fails.every:
            return super()._serve(headers, body)
        if fails.reset:
            drop_connection()
        if fails.retry_after_seconds is not None:
            cherrypy.response.headers["Retry-After"] = str(fails.retry_after_seconds)
        return self._refuse(503)


class WorkerPlace:
    """The address of a worker, at which one process follows another."""

    def __init__(self, name: str, rows: RowsApi, paths: ProcessPaths) -> None:
        self.worker = FailingWorker(name)
        self._rows = rows
        self._server = HttpServer(self.worker, "127.0.0.1", 0, ServerLimits(threads=SERVER_THREADS))
        self._server.start()
        self.link = FaultyLink(self._server.port, paths)
        self._listed: str | None = None
        self._lock = threading.Lock()
        self.list()

    def list(self) -> None:
        """List the process that listens now, in place of the one that is listed."""
        with self._lock:
            if self._listed is not None:
                self._rows.remove("servers", self._listed)
            self._listed = self.worker.id
            self._rows.put("servers", self._listed, self.worker.entry(self.link.port))

    def replace(self, listed_late_seconds: float) -> None:
        """End the process and begin the next one, which is listed later."""
        self.worker.begin_next_life()
        self.link.reset()
        threading.Timer(listed_late_seconds, self.list).start()

    def stop(self) -> None:
        """Stop the server and its link."""
        self.link.close()
        self._server.stop()


class RepeatWorld:
    """Everything that a play starts; `stop` ends it."""

    def __init__(self, directory: Path, workers: int, rule: RepeatRule) -> None:
        self._directory, self._rule = directory, rule
        self.rows = RowsApi()
        self._store = HttpServer(self.rows, "127.0.0.1", 0, ServerLimits(threads=96))
        self._store.start()
        self.rows.put("op", "config", document(1))
        self.paths = ProcessPaths()
        self.places = [
            WorkerPlace(f"w{number}", self.rows, self.paths) for number in range(workers)
        ]
        self.instances: list[InstanceProcess] = []

    def start_instances(self, count: int) -> None:
        """Start ``count`` more instances and wait until they are ready."""
        first = len(self.instances)
        names = [f"n{number}" for number in range(first, first + count)]
        with ThreadPoolExecutor(STARTS_AT_ONCE) as pool:
            self.instances += pool.map(self._start, names)
        for one in self.instances[first:]:
            until(partial(_is_ready, one), f"readiness of {one.name}")
        until(lambda: self.rows.value("redwingscale", "order-giver") is not None, "a leader")

    def _start(self, name: str) -> InstanceProcess:
        bounds = {
            "repeat_ratio": self._rule.ratio,
            "repeat_slack": self._rule.slack,
            "repeat_window": self._rule.window_seconds,
        }
        return InstanceProcess(name, self._store.port, self._directory, bounds=bounds)

    def arrivals(self) -> list[Arrival]:
        """Return all requests that arrived at the workers."""
        return [one for place in self.places for one in list(place.worker.arrivals)]

    def stop(self) -> None:
        """End all processes, links and servers."""
        for instance in self.instances:
            instance.end()
        for place in self.places:
            place.stop()
        self._store.stop()


def _is_ready(instance: InstanceProcess) -> bool:
    return instance.status() == HTTPStatus.OK
