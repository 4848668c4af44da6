"""Small stand-ins for the cases of this review: platform store, plain workers and consumers.

They use the standard library only. The instances are the project's own program, started with the
`run` line of `deploy/system.toml` and settings that follow `deploy/settings.json`.
"""

import base64
import contextlib
import http.server
import json
import os
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
# The field names of the platform's settings, with the bounds of a small deployment's sheet.
SETTINGS = {
    "Limits": {"CpuShare": 0.537, "Cores": 2, "MemoryMb": 300, "MaxFds": 4100, "LinkMbps": 1000.0},
    "Bounds": {
        "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
        "DrainMs": 2000, "GraceS": 8, "LossSlackMs": 200, "ConfigMs": 2000,
        "RollbackSlackMs": 250, "MaxSkewMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
        "BudgetSlack": 52, "RecoveryS": 12, "PassMs": 120, "RetryAfterS": 0,
        "FencingRequired": False, "LeaseMs": 3000, "ThawMs": 300, "CeilingWindowS": 5,
        "CeilingOvershoot": 1.1,
    },
}  # fmt: skip
CANNOT_RUN, BROKEN, HELD = 2, 1, 0
FORGET_SECONDS = 30.0


class CannotRun(Exception):
    """The case could not be played."""


def trouble():
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def until(condition, what, seconds=20.0):
    """Wait until ``condition`` holds; raises `CannotRun`."""
    end = time.monotonic() + seconds
    while not (value := condition()):
        if time.monotonic() > end:
            raise CannotRun(f"not reached in {seconds} s: {what}")
        time.sleep(0.02)
    return value


class Record:
    """What was sent, answered and run, with seconds since the begin of the case."""

    def __init__(self, file):
        self._file = Path(file)
        self._file.write_text("")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def line(self, text):
        """Write one line."""
        with self._lock, self._file.open("a") as file:
            file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Store:
    """The platform's store: rows, conditional writes and a feed; nothing else."""

    def __init__(self):
        self._condition = threading.Condition()
        self.rows = {}
        self.version = 0
        self.history = []
        self.era = 1
        # While set, no call is answered.
        self.silent = threading.Event()
        self._states = [(time.monotonic(), {}, 0, 0)]
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def setup(self):
                super().setup()
                self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

            def do_GET(self):
                if not store._is_lost(self):
                    store._get(self)

            def do_POST(self):
                if not store._is_lost(self):
                    store._post(self)

        self._server = _Server(("127.0.0.1", 0), Handler)
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self):
        """Close the port."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, table, key, value):
        """Write a row as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._condition:
            self._write((table, "", key), text)
            self._keep()

    def remove(self, table, key):
        """Remove a row as the platform does."""
        with self._condition:
            self._write((table, "", key), None)
            self._keep()

    def value(self, table, key):
        """Return the decoded value of a row, None without one."""
        row = self.rows.get((table, "", key))
        return None if row is None else json.loads(base64.b64decode(row[1]))

    def restore(self, seconds):
        """Come back from a copy that is ``seconds`` old, in the next era."""
        since = time.monotonic() - seconds
        with self._condition:
            older = [state for state in self._states if state[0] <= since]
            _, rows, version, length = (older or self._states[:1])[-1]
            self.rows, self.version = dict(rows), version
            del self.history[length:]
            self.era += 1
            self._keep()
            self._condition.notify_all()

    def _is_lost(self, request):
        """Return whether a call is not answered; its channel delivers nothing further."""
        if not self.silent.is_set():
            return False
        request.close_connection = True
        while self.silent.is_set():
            time.sleep(0.05)
        return True

    def _write(self, key, text):
        self.version += 1
        if text is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = (self.version, text)
        self.history.append((self.version, key, text))
        self._condition.notify_all()

    def _keep(self):
        now = time.monotonic()
        self._states.append((now, dict(self.rows), self.version, len(self.history)))
        while len(self._states) > 1 and self._states[1][0] < now - FORGET_SECONDS:
            self._states.pop(0)

    def _get(self, request):
        target = urllib.parse.urlsplit(request.path)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(target.query, True).items()}
        if target.path == "/api/rows-get":
            with self._condition:
                keys = sorted(
                    key
                    for key in self.rows
                    if key[:2] == (query["Table"], query.get("part", ""))
                    and key[2] >= query.get("From", "")
                )
                rows = [_row(key, *self.rows[key]) for key in keys]
                page, era = self._page(rows), self.era
            _answer(request, 200, page, era)
        elif target.path == "/api/rows-feed":
            self._feed(request, query["Table"], int(query["after"]), int(query["WaitMs"]) / 1000)
        else:
            _answer(request, 404, {}, self.era)

    def _feed(self, request, table, after, seconds):
        end = time.monotonic() + min(30.0, seconds)
        with self._condition:
            asked_in = self.era
            while True:
                gone = self.era != asked_in or after > self.version
                newest = {key: (v, t) for v, key, t in self.history if v > after}
                rows = [_row(key, v, t) for key, (v, t) in newest.items() if key[0] == table]
                left = end - time.monotonic()
                if gone or rows or left <= 0:
                    break
                self._condition.wait(left)
            rows.sort(key=lambda row: row["RowVersion"])
            page, era = self._page(rows), self.era
        _answer(request, 410 if gone else 200, page, era)

    def _post(self, request):
        body = json.loads(request.rfile.read(int(request.headers["Content-Length"])))
        if request.path != "/api/rows-tx":
            _answer(request, 404, {}, self.era)
            return
        with self._condition:
            era = self.era
            for row in body.get("Expect", []):
                if self.rows.get(_key(row), (0, ""))[0] != row["RowVersion"]:
                    page, status = self._page([]), 412
                    break
            else:
                for row in body.get("Puts", []):
                    self._write(_key(row), row["Value"])
                for row in body.get("Remove", []):
                    self._write(_key(row), None)
                self._keep()
                page, status = self._page([]), 200
        _answer(request, status, page, era)

    def _page(self, rows):
        return {
            "Rows": rows,
            "Truncated": False,
            "RowVersion": self.version,
            "NowMs": int(time.monotonic() * 1000),
        }


def _key(row):
    return (row["Table"], row.get("part", ""), row["Key"])


def _row(key, version, text):
    row = {"Table": key[0], "part": key[1], "Key": key[2], "RowVersion": version}
    return row | ({"Deleted": True} if text is None else {"Value": text})


def _answer(request, status, document, era):
    data = json.dumps(document).encode()
    with contextlib.suppress(OSError):
        request.send_response(status)
        request.send_header("Content-Type", "application/json")
        request.send_header("Content-Length", str(len(data)))
        request.send_header("Store-Era", str(era))
        request.end_headers()
        request.wfile.write(data)


class PlainWorker:
    """A sound worker of a plain service, on plain sockets; ``serve`` may be replaced.

    ``runs`` are (seconds, id) of the requests that it has run.
    """

    def __init__(self, name, record, service="plain", work_seconds=0.02, options=()):
        self.id, self.service, self._record = name, service, record
        self.work_seconds = work_seconds
        self.runs, self.arrivals = [], []
        self._listener = socket.socket()
        for option in options:
            self._listener.setsockopt(*option)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(256)
        self.port = self._listener.getsockname()[1]
        self.state = "ready"
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self):
        """Return its row in the list of workers."""
        return {
            "Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": "izmir-a",
            "Version": "v1", "Slots": 6, "State": self.state, "ColdLeftMs": 0, "Seq": 1,
        }  # fmt: skip

    def stop(self):
        """Accept no more."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def note_run(self, request):
        """Record that it has begun to work on a request."""
        self.runs.append((time.monotonic() - self._record.began, request))
        self._record.line(f"run      {self.id} {request}")

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._converse, args=(connection,), daemon=True).start()

    def _converse(self, connection):
        with contextlib.suppress(OSError, ValueError), connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader = connection.makefile("rb")
            while (head := read_head(reader)) is not None:
                line, headers = head
                target = line.split()[1]
                if target == "/healthz":
                    status = 200 if self.state == "ready" else 503
                    connection.sendall(answer(status, {"X-Redwingscale-Instance-Id": self.id}))
                    continue
                if target.startswith("/api/"):
                    body = reader.read(int(headers.get("content-length", "0")))
                    if (reply := self.call(target, headers, body)) is None:
                        return
                    connection.sendall(reply)
                    continue
                request = headers.get("x-redwingscale-request-id")
                if request is None:
                    connection.sendall(answer(400, {"X-Redwingscale-Not-Executed": "1"}))
                    continue
                self.arrivals.append((time.monotonic() - self._record.began, request))
                self._record.line(f"arrival  {self.id} {request}")
                if headers.get("x-redwingscale-expect-instance", self.id) != self.id:
                    reader.read(int(headers.get("content-length", "0")))
                    connection.sendall(self.refusal(421, request))
                    continue
                if not self.serve(connection, reader, headers, request):
                    return

    def call(self, target, headers, body):
        """Return the answer to a call of the system, None to give none."""
        return answer(404, {})

    def refusal(self, status, request):
        """Return a refusal of a request that it has not run."""
        named = {
            "X-Redwingscale-Instance-Id": self.id,
            "X-Redwingscale-Not-Executed": "1",
            "X-Redwingscale-Request-Id": request,
        }
        return answer(status, named)

    def sealed(self, request, body):
        """Return its whole answer to a request that it has run."""
        headers = {
            "X-Redwingscale-Request-Id": request,
            "X-Redwingscale-Response-Seal": f"seal-{request}",
        }
        return answer(200, headers, body)

    def serve(self, connection, reader, headers, request):
        """Run a request; return whether the channel stays open."""
        reader.read(int(headers.get("content-length", "0")))
        self.note_run(request)
        time.sleep(self.work_seconds)
        connection.sendall(self.sealed(request, b"x" * 800))
        return True


def read_head(reader):
    """Return the first line and the headers of a message, None at the end."""
    line = reader.readline()
    if not line:
        return None
    headers = {}
    while (field := reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


def answer(status, headers, body=b""):
    """Return a whole answer."""
    lines = [f"HTTP/1.1 {status} S", *(f"{k}: {v}" for k, v in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Instance:
    """One process of the project's program."""

    def __init__(self, name, store_port, folder, zone="izmir-a", **bounds):
        self.name = name
        ports = free_ports(5)
        self.front, self.readiness, self.metrics = ports[:3]
        fields = {
            "Limits": SETTINGS["Limits"],
            "Bounds": SETTINGS["Bounds"] | bounds,
            "NodeName": name,
            "Zone": zone,
            "Ip": "127.0.0.1",
            "Listen": {
                "Front": f"127.0.0.1:{self.front}",
                "Readiness": f"127.0.0.1:{self.readiness}",
            },
            "PortRange": [0, 0],
            "Platform": {"Address": f"127.0.0.1:{store_port}"},
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["redwingscaled"]
        document = json.loads(render((ROOT / role["template"]).read_text(), fields))
        # All instances share one address here; on machines of their own the default port is free.
        document["ingress"]["metrics_port"] = self.metrics
        self.settings = Path(folder) / f"{name}.json"
        self.settings.write_text(json.dumps(document))
        self._command = [
            str(self.settings) if word == "/etc/redwingscale/boot.yaml" else word
            for word in role["run"].split()
        ]
        if self._command[0] == "python3":
            self._command[0] = sys.executable
        self.log = Path(folder) / f"{name}.log"
        self.process = None

    def start(self):
        """Start the process at the root of the repository."""
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["REDWINGSCALE_BOOT"] = str(self.settings)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def ready(self):
        """Return whether it answers the platform's question with 200."""
        try:
            with socket.create_connection(("127.0.0.1", self.readiness), 1.0) as sock:
                sock.settimeout(1.0)
                sock.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return sock.recv(64).split(b" ")[1:2] == [b"200"]
        except OSError:
            return False

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


def render(text, fields):
    """Fill in the project's template of its settings."""

    def section(match):
        value = _look_up(fields, match[1])
        return match[2] if value not in (None, False) else ""

    def value(match):
        found = _look_up(fields, match[1])
        return "" if found is None else json.dumps(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(?:\|json)?\}\}", value, text)


def _look_up(fields, path):
    for name in path.split("."):
        fields = fields.get(name) if isinstance(fields, dict) else None
    return fields


def free_ports(count):
    """Return ports of the loopback address that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def route(name, kind, timeout_ms, service="plain", **more):
    """Return a route of the manifest."""
    made = {
        "Name": name, "Host": HOST, "Prefix": f"/{name}/", "Kind": kind, "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 400, "Priority": 2, "Service": service, "MaxAttempts": 1,
    }  # fmt: skip
    return made | more


def manifest(version, routes, services=None):
    """Return a manifest with one plain service, or with ``services``."""
    plain = {"Name": "plain", "HealthCheck": "/healthz", "MaxConns": 96}
    limits = {
        "MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }  # fmt: skip
    return {
        "Version": version,
        "Routes": routes,
        "Services": services or [plain | {"Protocol": "h1", "Tls": False}],
        "Limits": limits,
    }


class Answer:
    """What a consumer got: ``status`` is None if the channel ended without an answer."""

    def __init__(self, request, sent_at):
        self.request, self.sent_at = request, sent_at
        self.status, self.ended_at, self.body, self.sealed = None, None, b"", False
        self.whole, self.headers = False, {}

    @property
    def seconds(self):
        """How long the consumer waited."""
        return self.ended_at - self.sent_at


def ask(record, instance, target, request, body=b"", method="POST", patience=10.0, deadline=None,
        more=()):  # fmt: skip
    """Send one request on a new channel, and wait for its whole answer."""
    got = Answer(request, time.monotonic())
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Redwingscale-Request-Id: {request}",
    ]
    if deadline is not None:
        lines.append(f"X-Redwingscale-Deadline-Ms: {deadline}")
    lines += [*more, f"Content-Length: {len(body)}", "", ""]
    record.line(f"sent     {request} to {instance.name} {method} {target} {len(body)} bytes")
    try:
        with socket.create_connection(("127.0.0.1", instance.front), 1.0) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(patience)
            sock.sendall("\r\n".join(lines).encode() + body)
            _read_answer(sock, got)
    except (OSError, ValueError) as error:
        got.error = repr(error)
    got.ended_at = time.monotonic()
    shown = got.status if got.status is not None else f"nothing ({getattr(got, 'error', 'closed')})"
    record.line(f"answered {request} {shown} after {got.seconds:.3f} s sealed={got.sealed}")
    return got


def _read_answer(sock, got):
    reader = sock.makefile("rb")
    head = read_head(reader)
    if head is None:
        return
    line, got.headers = head
    got.sealed = "x-redwingscale-response-seal" in got.headers
    if "content-length" in got.headers:
        length = int(got.headers["content-length"])
        got.body = reader.read(length)
        got.whole = len(got.body) == length
    elif "chunked" in got.headers.get("transfer-encoding", ""):
        while size := int(reader.readline().strip() or b"-", 16):
            got.body += reader.read(size)
            reader.readline()
        got.whole = True
    got.status = int(line.split()[1])


class Case:
    """Starts and ends what a case uses."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = tempfile.mkdtemp(prefix="redwingscale-case-")
        self.store = Store()
        self.instances, self.workers = [], []

    def worker(self, worker):
        """List a worker."""
        self.workers.append(worker)
        self.store.put("servers", worker.id, worker.entry())
        return worker

    def instance(self, name, **options):
        """Start an instance and wait until it is ready."""
        made = Instance(name, options.pop("store_port", self.store.port), self.folder, **options)
        self.instances.append(made)
        made.start()
        until(made.ready, f"readiness of {name}")
        self.record.line(f"ready    {name}")
        return made

    def leader(self):
        """Return the name of the instance that gives orders, None without one."""
        row = self.store.value("redwingscale", "order-giver")
        return row and row["instance"]

    def stop(self):
        """End all processes and servers that were started."""
        for one in self.instances:
            one.end()
        for worker in self.workers:
            worker.stop()
        self.store.stop()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


def play(file, story):
    """Play ``story`` with a `Case`, and exit with 1 if it returns findings, 0 if none."""
    case = Case(Path(file).resolve().parent)
    try:
        findings = story(case)
    except CannotRun as error:
        case.record.line(f"cannot run: {error}")
        print(f"cannot run: {error}")
        code = CANNOT_RUN
    except Exception as error:
        case.record.line(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        code = CANNOT_RUN
    else:
        for finding in findings:
            case.record.line(f"BROKEN   {finding}")
            print(f"broken: {finding}")
        if not findings:
            case.record.line("held")
            print("held")
        code = BROKEN if findings else HELD
    finally:
        case.stop()
    sys.exit(code)
