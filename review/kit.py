"""Stand-ins for the cases of the review: a row store, workers, consumers and the platform.

Only the standard library is used. Every address is a loopback address.
"""

import base64
import contextlib
import json
import os
import random
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
SEAL = "X-Redwingscale-Response-Seal"
ID = "X-Redwingscale-Request-Id"
RESET = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
HEARTBEAT_SECONDS = 1.2
# The bounds of the sheets of the small deployments.
BOUNDS = {
    "RetryBudgetRatio": 0.2,
    "BudgetSlack": 52,
    "BudgetWindowS": 10,
    "LeaseMs": 3000,
    "GraceS": 8,
    "CeilingWindowS": 5,
    "DrainMs": 2000,
    "ConfigMs": 2000,
}


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._lock = threading.Lock()
        self._file = path.open("w")
        self._start = time.monotonic()
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._start:8.3f}  {text}"
        with self._lock:
            self.lines.append(line)
            self._file.write(line + "\n")
            self._file.flush()


class Store:
    """The platform's row store: reads, long polls and conditional writes."""

    def __init__(self, host: str, record: Record) -> None:
        self._condition = threading.Condition()
        self._rows: dict[tuple[str, str, str], tuple[int, str]] = {}
        self._deleted: dict[tuple[str, str, str], int] = {}
        self._version = 0
        self._record = record
        # The number of times that it came back from a copy; None if it tells no number.
        self.era: int | None = None
        # Called with the method and the path of a call; returns a status to refuse it with.
        self.refuse: Callable[[str, str], int | None] = lambda method, path: None
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_: Any) -> None:
                """Write nothing."""

            def do_GET(self) -> None:
                """Serve a read."""
                self._serve(b"")

            def do_POST(self) -> None:
                """Serve a transaction."""
                self._serve(self.rfile.read(int(self.headers.get("Content-Length", "0"))))

            def _serve(self, body: bytes) -> None:
                status, page = store.serve(self.command, self.path, body)
                data = json.dumps(page).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                if store.era is not None:
                    self.send_header("Store-Era", str(store.era))
                self.end_headers()
                self.wfile.write(data)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_: Any) -> None:
                """Write nothing about channels that are closed."""

        self._server = Server((host, 0), Handler)
        self.address = f"{host}:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row, as the operator and the workers do."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self._condition:
            self._version += 1
            self._rows[(table, "", key)] = (self._version, data)
            self._condition.notify_all()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        with self._condition:
            self._version += 1
            self._rows.pop((table, "", key), None)
            self._deleted[(table, "", key)] = self._version
            self._condition.notify_all()

    def copy(self) -> tuple[Any, Any, int]:
        """Return a copy of all rows."""
        with self._condition:
            return dict(self._rows), dict(self._deleted), self._version

    def restore(self, copy: tuple[Any, Any, int]) -> None:
        """Go back to a copy; what the operator and the workers wrote is written again."""
        with self._condition:
            kept = {k: v for k, v in self._rows.items() if k[0] in ("op", "servers")}
            self._rows, self._deleted, self._version = dict(copy[0]), dict(copy[1]), copy[2]
            self.era = (self.era or 0) + 1
            for key, (_, value) in kept.items():
                if self._rows.get(key, (0, ""))[1] != value:
                    self._version += 1
                    self._rows[key] = (self._version, value)
            self._condition.notify_all()

    def version(self, table: str, key: str) -> int:
        """Return the version of a row, 0 without it."""
        return self._rows.get((table, "", key), (0, ""))[0]

    def value(self, table: str, key: str) -> Any:
        """Return the value of a row, None without it."""
        row = self._rows.get((table, "", key))
        return json.loads(base64.b64decode(row[1])) if row else None

    def serve(self, method: str, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        """Return the status and the page of one call."""
        parts = urlsplit(target)
        if (status := self.refuse(method, parts.path)) is not None:
            return status, {}
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path:
            case "/api/rows-get":
                return self._get(query["Table"], query.get("part", ""))
            case "/api/rows-feed":
                wait = min(30.0, int(query["WaitMs"]) / 1000)
                return self._feed(query["Table"], int(query["after"]), wait)
            case "/api/rows-tx":
                return self._transact(json.loads(body))
        return 404, {}

    def _get(self, table: str, part: str) -> tuple[int, dict[str, Any]]:
        with self._condition:
            keys = sorted(key for key in self._rows if key[:2] == (table, part))
            return 200, self._page([self._row(key) for key in keys])

    def _feed(self, table: str, after: int, wait: float) -> tuple[int, dict[str, Any]]:
        until = time.monotonic() + wait
        with self._condition:
            while True:
                rows = [
                    self._row(k)
                    for k, one in self._rows.items()
                    if k[0] == table and one[0] > after
                ]
                rows += [
                    {"Table": k[0], "part": k[1], "Key": k[2], "RowVersion": v, "Deleted": True}
                    for k, v in self._deleted.items()
                    if k[0] == table and v > after and k not in self._rows
                ]
                left = until - time.monotonic()
                if after > self._version:
                    return 410, self._page([])
                if rows or left <= 0:
                    return 200, self._page(sorted(rows, key=lambda row: row["RowVersion"]))
                self._condition.wait(left)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        with self._condition:
            for one in body.get("Expect", []):
                if self._rows.get(_key(one), (0, ""))[0] != one["RowVersion"]:
                    return 412, self._page([])
            self._version += 1
            for one in body.get("Puts", []):
                self._rows[_key(one)] = (self._version, one["Value"])
            for one in body.get("Remove", []):
                self._rows.pop(_key(one), None)
                self._deleted[_key(one)] = self._version
            self._condition.notify_all()
            return 200, self._page([])

    def _row(self, key: tuple[str, str, str]) -> dict[str, Any]:
        version, value = self._rows[key]
        names = dict(zip(("Table", "part", "Key"), key, strict=True))
        return names | {"Value": value, "RowVersion": version}

    def _page(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now = int(time.monotonic() * 1000)
        return {"Rows": rows, "Truncated": False, "RowVersion": self._version, "NowMs": now}


def _key(row: dict[str, Any]) -> tuple[str, str, str]:
    return row["Table"], row.get("part", ""), row["Key"]


class Request:
    """A request as a worker has read it."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body

    def header(self, name: str) -> str:
        """Return a header, empty without it."""
        return self.headers.get(name.lower(), "")

    @property
    def id(self) -> str:
        """The id of the consumer's attempt, empty for a call of the system's own."""
        return self.header(ID)


def read_head(reader: Any) -> tuple[str, str, dict[str, str]] | None:
    """Return the start line's first two words and the headers, None at the end."""
    line = reader.readline()
    if not line:
        return None
    first, second = line.decode("latin-1").split()[:2]
    headers: dict[str, str] = {}
    while (line := reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, second, headers


# Serves one request on a channel of a worker; returns whether the channel is kept.
Behaviour = Callable[["Worker", socket.socket, Request], bool]


class Worker:
    """A worker: reads requests, refuses those for another one, answers the rest as told."""

    def __init__(self, name: str, service: str, host: str, record: Record, zone: str) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.record = record
        self.models: list[str] = []
        self.state = "ready"
        self.runs: list[str] = []
        self.orders: list[tuple[float, dict[str, Any]]] = []
        self.seq = 0
        self.behaviour: Behaviour = answer_whole
        self.reads_body = True
        self.is_gone = False
        self._channels: set[socket.socket] = set()
        self.listener = socket.create_server((host, 0), backlog=128)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        """Return the row in which the worker describes itself."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 64,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self.seq,
            "Models": self._models(),
        }

    def note_run(self, request: Request) -> None:
        """Note that the worker begins to run a request."""
        self.runs.append(request.id)
        self.record.note(f"{self.name} runs {request.id}")

    def crash(self) -> None:
        """End all channels and the listener, as the end of the process does."""
        self.is_gone = True
        for one in (self.listener, *list(self._channels)):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def _models(self) -> list[dict[str, Any]]:
        return [{"Name": name, "Version": 1, "Adapters": []} for name in self.models]

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                channel, _ = self.listener.accept()
                channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._serve, args=(channel,), daemon=True).start()

    def _serve(self, channel: socket.socket) -> None:
        self._channels.add(channel)
        with contextlib.suppress(OSError, ValueError), channel, channel.makefile("rb") as reader:
            while (head := read_head(reader)) is not None:
                method, target, headers = head
                body = b""
                if self.reads_body or target.startswith("/api/"):
                    body = reader.read(int(headers.get("content-length", "0")))
                if not self._answer(channel, Request(method, target, headers, body)):
                    break
        self._channels.discard(channel)

    def _answer(self, channel: socket.socket, request: Request) -> bool:
        expected = request.header("X-Redwingscale-Expect-Instance")
        if expected not in ("", self.name):
            send(channel, 421, {"X-Redwingscale-Instance-Id": self.name, ID: request.id}, b"")
            return True
        if request.target.startswith("/healthz"):
            ready = 200 if self.state == "ready" else 503
            send(channel, ready, {"X-Redwingscale-Instance-Id": self.name}, b"")
            return True
        if request.target.startswith("/api/report"):
            page = {"Stage": "colocated", "Models": self._models(), "Busy": False, "Seq": self.seq}
            page |= {"Queued": 0, "Running": 0, "KvUsed": 0, "KvTotal": 100000, "Handles": 0}
            send(channel, 200, {"Content-Type": "application/json"}, json.dumps(page).encode())
            return True
        if request.target.startswith("/api/order"):
            return self._order(channel, json.loads(request.body))
        return self.behaviour(self, channel, request)

    def _order(self, channel: socket.socket, order: dict[str, Any]) -> bool:
        self.orders.append((time.monotonic(), order))
        self.record.note(f"{self.name} gets the order {json.dumps(order)}")
        if order.get("Expect", self.seq) != self.seq:
            send(channel, 409, {}, b"")
            return True
        self.seq += 1
        if order["Op"] == "load" and order["Model"] not in self.models:
            self.models.append(order["Model"])
        elif order["Op"] == "unload" and order["Model"] in self.models:
            self.models.remove(order["Model"])
        send(channel, 202, {}, b"")
        return True


def reset(channel: socket.socket) -> None:
    """Close a channel with a reset."""
    with contextlib.suppress(OSError):
        channel.setsockopt(*RESET)
        # The reader keeps the descriptor open; a shutdown ends its wait.
        channel.shutdown(socket.SHUT_RD)
    with contextlib.suppress(OSError):
        channel.close()


def head_of(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{k}: {v}" for k, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


def send(channel: socket.socket, status: int, headers: dict[str, str], body: bytes) -> None:
    """Send a whole answer with a length."""
    channel.sendall(head_of(status, headers | {"Content-Length": str(len(body))}) + body)


def sealed(worker: Worker, request: Request) -> dict[str, str]:
    """Return the headers of a worker's own answer."""
    return {ID: request.id, SEAL: f"{worker.name}.{request.id}"}


def answer_whole(worker: Worker, channel: socket.socket, request: Request) -> bool:
    """Run a request and answer it."""
    worker.note_run(request)
    send(channel, 200, sealed(worker, request), f"done {request.id}".encode())
    return True


class Answer:
    """What a consumer has received; ``ended`` tells how the channel ended, if it did."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, ended: str) -> None:
        self.status, self.headers, self.body, self.ended = status, headers, body, ended

    def __repr__(self) -> str:
        text = self.body[:60].decode("latin-1")
        return f"{self.status} seal={self.headers.get(SEAL.lower(), '-')} {text!r} {self.ended}"


class Consumer:
    """A channel of a consumer to an instance."""

    def __init__(self, address: tuple[str, int], record: Record, timeout: float = 20.0) -> None:
        self._record = record
        self.channel = socket.create_connection(address, 5.0)
        self.channel.settimeout(timeout)
        self.channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = self.channel.makefile("rb")

    def send(
        self, method: str, path: str, request_id: str, body: bytes = b"", **headers: str
    ) -> None:
        """Send one request."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{ID}: {request_id}"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.channel.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        self._record.note(f"consumer sends {request_id} {method} {path}")

    def receive(self, request_id: str) -> Answer:
        """Return the answer to the request that was sent last; status 0 without one."""
        answer = self._receive()
        self._record.note(f"consumer gets for {request_id}: {answer!r}")
        return answer

    def _receive(self) -> Answer:
        status, headers, body = 0, {}, b""
        try:
            head = read_head(self.reader)
            if head is None:
                return Answer(0, {}, b"", "closed without an answer")
            status, headers = int(head[1]), head[2]
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while size := int(self.reader.readline() or b"-1", 16):
                    if size < 0:
                        return Answer(status, headers, body, "cut")
                    piece = self.reader.read(size)
                    body += piece
                    if len(piece) < size or self.reader.read(2) != b"\r\n":
                        return Answer(status, headers, body, "cut")
                self.reader.readline()
                return Answer(status, headers, body, "")
            length = headers.get("content-length")
            body = self.reader.read(-1 if length is None else int(length))
            whole = length is None or len(body) == int(length)
            return Answer(status, headers, body, "" if whole else "cut")
        except TimeoutError:
            return Answer(status, headers, body, "no answer in time")
        except OSError as error:
            return Answer(status, headers, body, f"broken: {error!r}")

    def close(self) -> None:
        """Close the channel."""
        with contextlib.suppress(OSError):
            self.reader.close()
            self.channel.close()


class Instance:
    """One machine: a process that is started with the run line of the deploy file."""

    def __init__(
        self,
        name: str,
        zone: str,
        host: str,
        deployment: "Deployment",
        max_descriptors: int | None = None,
    ) -> None:
        self.name, self.zone, self.host = name, zone, host
        # The platform's limit on the descriptors of a process.
        self._max_descriptors = max_descriptors
        self._deployment = deployment
        self.front = free_port(host)
        self.readiness = free_port(host)
        self._settings = deployment.directory / f"{name}.json"
        self.log = deployment.directory / f"{name}.log"
        fields = self._fields()
        self._settings.write_text(render((ROOT / "deploy/settings.json").read_text(), [fields]))
        self.process: subprocess.Popen[bytes] | None = None
        self.start()

    def _fields(self) -> dict[str, Any]:
        first = self._deployment.peer_ports
        return {
            "NodeName": self.name,
            "Zone": self.zone,
            "Ip": self.host,
            "Listen": {
                "Front": f"{self.host}:{self.front}",
                "Readiness": f"{self.host}:{self.readiness}",
            },
            "PortRange": [first, first + 15],
            "Platform": {"Address": self._deployment.store.address},
            "Limits": {"CpuShare": 0.537, "Cores": 2, "LinkMbps": 1000.0, "MemoryMb": 300},
            "Bounds": BOUNDS,
        }

    def start(self) -> None:
        """Start the process."""
        deploy = (ROOT / "deploy/system.toml").read_text()
        run = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE)
        assert run is not None
        words = run.group(1).split(" ")
        words[words.index("--settings") + 1] = str(self._settings)
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "REDWINGSCALE_BOOT": str(self._settings),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )
        self._deployment.record.note(f"platform starts {self.name}")

    def _limit_descriptors(self) -> None:
        if self._max_descriptors is not None:
            limit = (self._max_descriptors, self._max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limit)

    def descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        assert self.process is not None
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._deployment.record.note(f"platform sends {number.name} to {self.name}")
        self.process.send_signal(number)

    def ready(self) -> bool:
        """Return whether the instance answers the platform's question with 200."""
        request = f"GET /api/readyz HTTP/1.1\r\nHost: {self.host}\r\nConnection: close\r\n\r\n"
        try:
            with socket.create_connection((self.host, self.readiness), 1.0) as channel:
                channel.settimeout(1.0)
                channel.sendall(request.encode())
                return channel.recv(64).split(b" ")[1:2] == [b"200"]
        except OSError:
            return False

    def consumer(self, timeout: float = 20.0) -> Consumer:
        """Return a new channel to the instance."""
        return Consumer((self.host, self.front), self._deployment.record, timeout)

    def end(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """A store, workers and instances; all of them end with the ``with`` block."""

    def __init__(self, record_path: Path) -> None:
        self.record = Record(record_path)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = Path(self._temporary.name)
        self._net = free_network()
        self._hosts = (f"{self._net}.{number}" for number in range(10, 250))
        self.peer_ports = random.randrange(20000, 30000, 16)
        self.store = Store(self.host(), self.record)
        self.workers: list[Worker] = []
        self.instances: list[Instance] = []

    def host(self) -> str:
        """Return a loopback address that nothing else here uses."""
        return next(self._hosts)

    def worker(self, name: str, service: str, *models: str, listed: bool = True) -> Worker:
        """Start a worker, and list it unless told otherwise."""
        made = Worker(name, service, self.host(), self.record, "z-a")
        made.models = list(models)
        self.workers.append(made)
        if listed:
            self.list(made)
        return made

    def list(self, worker: Worker) -> None:
        """Write the entry of a worker now and at each check-in."""

        def check_in() -> None:
            while not worker.is_gone:
                self.store.put("servers", worker.name, worker.entry())
                time.sleep(HEARTBEAT_SECONDS)

        self.store.put("servers", worker.name, worker.entry())
        threading.Thread(target=check_in, daemon=True).start()

    def instance(
        self, name: str, zone: str = "z-a", max_descriptors: int | None = None
    ) -> Instance:
        """Start an instance."""
        made = Instance(name, zone, self.host(), self, max_descriptors)
        self.instances.append(made)
        return made

    def await_ready(self, seconds: float = 30.0) -> bool:
        """Return whether all instances are ready in time."""
        return wait_for(lambda: all(one.ready() for one in self.instances), seconds)

    def leader(self) -> str:
        """Return the instance that holds the lease, as the store has it."""
        return (self.store.value("redwingscale", "order-giver") or {}).get("instance", "")

    def __enter__(self) -> "Deployment":
        # A case that takes too long is told to end: its processes end with it.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        return self

    def __exit__(self, *_: object) -> None:
        for one in self.instances:
            one.end()
        if keep := os.environ.get("KEEP_LOGS"):
            for one in self.instances:
                (Path(keep) / one.log.name).write_bytes(one.log.read_bytes())
        self._temporary.cleanup()


def wait_for(condition: Callable[[], bool], seconds: float) -> bool:
    """Return whether ``condition`` holds within ``seconds``."""
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(0.05)
    return True


def free_port(host: str) -> int:
    """Return a port that is free at a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def free_network() -> str:
    """Return the first three bytes of loopback addresses that are probably not in use."""
    return f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"


def render(text: str, scopes: list[Any]) -> str:
    """Fill in a template of settings as the deploy page tells."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def expand(match: re.Match[str]) -> str:
        value = _look_up(match.group(2), scopes)
        shown = bool(value) if match.group(1) == "#" else not value
        return render(match.group(3), scopes) if shown else ""

    def fill(match: re.Match[str]) -> str:
        name, _, as_json = match.group(1).partition("|")
        value = _look_up(name, scopes)
        if as_json or not isinstance(value, str):
            return "" if value is None and not as_json else json.dumps(value)
        return value

    return re.sub(r"\{\{([\w.]+(?:\|json)?)\}\}", fill, section.sub(expand, text))


def _look_up(name: str, scopes: list[Any]) -> Any:
    value: Any = scopes[-1]
    for part in name.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    return value


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    made = {"Name": name, "Host": HOST, "Prefix": f"/{name}/", "Kind": kind, "Service": service}
    made |= {"TimeoutMs": 4000, "TargetLatencyMs": 400, "Priority": 1, "MaxAttempts": 3}
    return made | more


def manifest(version: int, *routes: dict[str, Any], models: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return a manifest of a plain service, and of one that runs models if any are named."""
    services: list[dict[str, Any]] = [{"Name": "desk", "MaxConns": 96, "HealthCheck": "/healthz"}]
    if models:
        engine = {"Slots": 64, "KvCapacity": 100000, "WeightsMb": 230000.0, "AdapterSlots": 8}
        sizes = {"WeightsMb": 70000.0, "LoadS": 1.0, "Adapters": 2, "AdapterMb": 100.0}
        engine |= {"LoadsPerS": 10.0, "Models": [{"Name": name} | sizes for name in models]}
        services.append({"Name": "llm", "MaxConns": 360, "Engine": engine})
    return {"Version": version, "Routes": list(routes), "Services": services}


def numbers(prefix: str) -> Iterator[str]:
    """Return ids of requests."""
    count = 0
    while True:
        count += 1
        yield f"{prefix}{count:05d}"


def verdict(record: Record, broken: list[str]) -> int:
    """Write the verdict and return the exit code."""
    for text in broken:
        record.note(f"BROKEN {text}")
    record.note("the rule was broken" if broken else "the rule held")
    print("\n".join(broken) or "the rule held")
    return 1 if broken else 0


def could_not_run(record: Record, reason: str) -> int:
    """Write why the case could not run and return the exit code."""
    record.note(f"could not run: {reason}")
    print(f"could not run: {reason}", file=sys.stderr)
    return 2


class Proxy:
    """Passes channels on to ``target``, and delays or cuts them as told."""

    def __init__(self, host: str, target: str) -> None:
        name, _, port = target.rpartition(":")
        self._target = (name, int(port))
        # Returns for how long bytes of a caller are held up, as by packets sent again.
        self.delay: Callable[[bytes], float] = lambda data: 0.0
        # While set, bytes are held up in both directions, and new channels as well.
        self.is_cut = False
        self._listener = socket.create_server((host, 0), backlog=128)
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            channel, _ = self._listener.accept()
            threading.Thread(target=self._open, args=(channel,), daemon=True).start()

    def _open(self, channel: socket.socket) -> None:
        self._wait()
        try:
            far = socket.create_connection(self._target, 5.0)
        except OSError:
            reset(channel)
            return
        far.settimeout(None)
        for one in (channel, far):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._pump, args=(far, channel, False), daemon=True).start()
        self._pump(channel, far, True)

    def _pump(self, source: socket.socket, sink: socket.socket, is_caller: bool) -> None:
        try:
            while data := source.recv(65536):
                if is_caller and (seconds := self.delay(data)):
                    time.sleep(seconds)
                self._wait()
                sink.sendall(data)
            self._wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._wait()
            reset(source)
            reset(sink)

    def _wait(self) -> None:
        while self.is_cut:
            time.sleep(0.01)
