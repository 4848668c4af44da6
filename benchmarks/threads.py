"""Threads and memory of an instance at rest and under a burst: ``python -m benchmarks.threads``.

Before its port's threads came with need, an instance at rest had 210 of them on 8 cores
(216 where it gave the orders to six workers): 160 for callers and 30 of the links'
library. What it has at rest and under a burst of streams is written here by each run.
"""

import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_standins.hosted.documents import document
from redwingscale_standins.hosted.instance_process import InstanceProcess
from redwingscale_standins.hosted.model_worker import ModelWorker, WorkerTiming
from redwingscale_standins.hosted.rows_api import RowsApi
from redwingscale_standins.hosted.waiting import until

from benchmarks.lib.points import write_points
from benchmarks.lib.usage import usage_of

WORKERS = 6
STREAMS = (0, 20, 60)
EVENTS = 20
GAP_SECONDS = 0.1
SERVER_THREADS = 100
SETTLE_SECONDS = 2.0
# The bound of an instance without a setting of its own.
REQUEST_THREADS = 160


def serve(handler: Any, servers: ExitStack) -> int:
    """Serve ``handler`` until ``servers`` ends; return its port."""
    server = HttpServer(handler, "127.0.0.1", 0, ServerLimits(threads=SERVER_THREADS))
    server.start()
    servers.callback(server.stop)
    return server.port


def start(directory: Path, servers: ExitStack) -> InstanceProcess:
    """Return a ready instance in front of workers that hold one model."""
    rows = RowsApi()
    rows.put("op", "config", document(1))
    for number in range(WORKERS):
        worker = ModelWorker(f"w{number}", {"m1": set()}, WorkerTiming(gap=GAP_SECONDS))
        rows.put("servers", worker.id, worker_entry(serve(worker, servers)))
    instance = InstanceProcess(
        "one", serve(rows, servers), directory, request_threads=REQUEST_THREADS
    )
    until(lambda: instance.status() == 200, "readiness")
    return instance


def worker_entry(port: int) -> dict[str, Any]:
    """Return what a worker says of itself in the list."""
    return {
        "Service": "llm", "Address": f"127.0.0.1:{port}", "Zone": "z1", "Slots": 64,
        "State": "ready", "Version": "v1", "ColdLeftMs": 0, "Seq": 1,
        "Models": [{"Name": "m1", "Version": 1, "Adapters": []}],
    }  # fmt: skip


def point(instance: InstanceProcess, streams: int) -> dict[str, Any]:
    """Return the counts while ``streams`` are open."""
    with ThreadPoolExecutor(max(1, streams)) as callers:
        open_ = [
            callers.submit(instance.request_stream, "m1", EVENTS, request=f"s{streams}-{n}")
            for n in range(streams)
        ]
        time.sleep(SETTLE_SECONDS / 2 if streams else SETTLE_SECONDS)
        pid = instance.process.pid
        threads = sum(1 for _ in Path(f"/proc/{pid}/task").iterdir())
        memory = usage_of(pid).memory_mb
        whole = sum(1 for each in open_ if each.result() == (200, [*range(1, EVENTS + 1)]))
    return {
        "streams": streams,
        "whole": whole,
        "threads": threads,
        "memory_mb": round(memory, 1),
    }


def main() -> None:
    """Write a point for each number of open streams."""
    with tempfile.TemporaryDirectory() as directory, ExitStack() as servers:
        instance = start(Path(directory), servers)
        servers.callback(instance.end)
        points = [point(instance, streams) for streams in STREAMS]
    write_points("threads", {"workers": WORKERS, "events": EVENTS}, points)


if __name__ == "__main__":
    main()
