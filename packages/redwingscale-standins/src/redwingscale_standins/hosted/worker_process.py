"""A model worker in a process of its own, which some requests end.

Their bodies have a mark, or their prompts a part that ends workers.
"""

import itertools
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from typing import IO, Any

from redwingscale_common.network.server import HttpServer, ServerLimits

from redwingscale_standins.hosted.model_worker import ModelWorker, WorkerTiming
from redwingscale_standins.hosted.rows_api import RowsApi
from redwingscale_standins.parts.rule import (
    PartEnd,
    PartLedger,
    PartRun,
    bad_part_of,
    read_parts,
)

# A worker ends before it answers a request with the first mark, after the head of the answer
# to one with the second, and after two events to one with the third.
ENDS_AT_ONCE, ENDS_AFTER_HEAD, ENDS_AFTER_EVENTS = b"end-at-once", b"end-after-head", b"end-late"
EVENTS_BEFORE_END = 2
END_SECONDS = 0.02
SERVER_THREADS = 48


class EndingWorker(ModelWorker):
    """Ends its process when it runs a request whose body has a mark, or with a bad part.

    Writes a line for each request that it takes, and for its end under a part.
    """

    def _serve(self, headers: Any, body: bytes) -> bytes | Iterator[bytes]:
        parts = read_parts(headers.get("X-Redwingscale-Prefix-Hash", ""))
        self._write("run", headers["X-Redwingscale-Request-Id"], ",".join(parts) or "-")
        if ENDS_AT_ONCE in body:
            time.sleep(END_SECONDS)
            os._exit(1)
        answer = super()._serve(headers, body)
        if isinstance(answer, bytes):
            return answer
        if ENDS_AFTER_HEAD in body:
            return _ends(answer, 0)
        if ENDS_AFTER_EVENTS in body:
            return _ends(answer, EVENTS_BEFORE_END - int(headers.get("Last-Event-Id", "0")))
        if (bad := bad_part_of(parts)) is not None:
            return _ends(answer, 0, lambda: self._write("end", bad, "-"))
        return answer

    def _write(self, kind: str, name: str, parts: str) -> None:
        # One call: the threads of the server write at the same time.
        line = "\t".join((kind, name, parts, self.id, f"{time.monotonic()}\n"))
        os.write(sys.stdout.fileno(), line.encode())


def _ends(
    events: Iterator[bytes], count: int, on_end: Callable[[], None] = lambda: None
) -> Iterator[bytes]:
    # The server sends the head with the first bytes: a comment, which is no event.
    yield b": begun\n"
    yield from itertools.islice(events, max(0, count))
    time.sleep(END_SECONDS)
    on_end()
    os._exit(1)


class WorkerProcess:
    """Keeps a worker running and listed: a process that ends is replaced under its address.

    ``ends`` are the monotonic times at which a process ended. The entry of one that has ended
    stays in the list for ``listed_seconds``, the next one starts after ``down_seconds``.
    ``open_link`` returns the port that is listed for the worker's own port. ``ledger`` takes what
    the processes run.
    """

    def __init__(
        self,
        name: str,
        models: tuple[str, ...],
        rows: RowsApi,
        gap: float = 0.02,
        listed_seconds: float = 0.6,
        down_seconds: float = 1.0,
        open_link: Callable[[int], int] = lambda port: port,
        ledger: PartLedger | None = None,
    ) -> None:
        self._ledger = ledger or PartLedger()
        self.name, self.models, self.ends = name, models, list[float]()
        self._rows, self._gap = rows, gap
        self._listed_seconds, self._down_seconds = listed_seconds, down_seconds
        self._starts = itertools.count(1)
        self._stopped = threading.Event()
        # Bound but not listening: the port stays reserved for the process and its successors.
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind(("127.0.0.1", 0))
        self._port = self._reserved.getsockname()[1]
        self._listed_port = open_link(self._port)
        self.process = self._start()
        self._thread = threading.Thread(target=self._replace_ended, daemon=True)
        self._thread.start()

    def kill(self) -> None:
        """End the process from outside."""
        self.process.kill()

    def stop(self) -> None:
        """End the process for good."""
        self._stopped.set()
        self.process.kill()
        self._thread.join()
        self.process.kill()
        self.process.wait()
        self._reserved.close()

    def _start(self) -> "subprocess.Popen[str]":
        self.id = f"{self.name}.{next(self._starts)}"
        command = [sys.executable, "-m", __name__, self.id, str(self._port), str(self._gap)]
        process = subprocess.Popen(
            [*command, *self.models], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True
        )
        assert process.stdout is not None
        assert process.stdout.readline(), "the worker has not started"
        threading.Thread(target=self._read, args=(process.stdout,), daemon=True).start()
        self._rows.put("servers", self.id, self._entry())
        return process

    def _read(self, lines: IO[str]) -> None:
        for line in lines:
            kind, name, parts, worker, at = line.split("\t")
            if kind == "end":
                self._ledger.note_end(PartEnd(name, worker, float(at)))
            else:
                self._ledger.note_run(PartRun(name, tuple(parts.split(",")), worker, float(at)))

    def _replace_ended(self) -> None:
        while True:
            self.process.wait()
            if self._stopped.is_set():
                return
            self.ends.append(time.monotonic())
            self._stopped.wait(self._listed_seconds)
            self._rows.remove("servers", self.id)
            if self._stopped.wait(self._down_seconds - self._listed_seconds):
                return
            self.process = self._start()
            if self._stopped.is_set():
                self.process.kill()

    def _entry(self) -> dict[str, Any]:
        models = [{"Name": name, "Version": 1, "Adapters": []} for name in self.models]
        return {
            "Service": "llm",
            "Address": f"127.0.0.1:{self._listed_port}",
            "Zone": "z1",
            "Slots": 64,
            "State": "ready",
            "Version": "v1",
            "ColdLeftMs": 0,
            "Seq": 1,
            "Models": models,
        }


def main() -> None:
    """Serve until the process is ended; writes a line once it listens."""
    worker_id, port, gap, *models = sys.argv[1:]
    worker = EndingWorker(worker_id, {name: set() for name in models}, WorkerTiming(float(gap)))
    limits = ServerLimits(threads=SERVER_THREADS)
    server = HttpServer(worker, "127.0.0.1", int(port), limits)
    server.start()
    print("started", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
