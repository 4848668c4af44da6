"""A store, workers that end with the requests of some parts, and instances."""

from functools import partial
from pathlib import Path

from redwingscale_common.network.server import HttpServer, ServerLimits

from redwingscale_standins.hosted.documents import document
from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.hosted.rows_api import RowsApi
from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.hosted.worker_process import WorkerProcess
from redwingscale_standins.parts.rule import PartLedger

MODEL = "m1"
# A worker that has ended is back after this time, with its model.
DOWN_SECONDS = 2.5


class PartWorld:
    """Everything that a play starts; `stop` ends it by the ids it has."""

    def __init__(self, directory: Path, workers: int) -> None:
        self._directory = directory
        self.ledger = PartLedger()
        self.rows = RowsApi()
        self._store = HttpServer(self.rows, "127.0.0.1", 0, ServerLimits(threads=64))
        self._store.start()
        self.rows.put("op", "config", document(1))
        self.workers: list[WorkerProcess] = []
        self.instances: list[InstanceProcess] = []
        for number in range(workers):
            self.workers.append(
                WorkerProcess(
                    f"w{number}",
                    (MODEL,),
                    self.rows,
                    down_seconds=DOWN_SECONDS,
                    ledger=self.ledger,
                )
            )

    def start_instances(self, count: int, request_threads: int = 32) -> None:
        """Start instances one after another, and wait until they are ready and have a leader."""
        for number in range(count):
            name = f"n{number}"
            instance = InstanceProcess(
                name, self._store.port, self._directory, request_threads=request_threads
            )
            self.instances.append(instance)
        for one in self.instances:
            until(partial(_is_ready, one), f"readiness of {one.name}")
        until(lambda: self.rows.value("redwingscale", "order-giver") is not None, "a leader")

    def stop(self) -> None:
        """End all processes and the store."""
        for instance in self.instances:
            instance.end()
        for worker in self.workers:
            worker.stop()
        self._store.stop()


def _is_ready(instance: InstanceProcess) -> bool:
    return instance.status() == 200
