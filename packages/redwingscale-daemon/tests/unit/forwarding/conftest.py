"""Scripted upstreams and callers on real sockets."""

import contextlib
import itertools
import math
import random
import socket
import threading
import time
from collections import Counter
from typing import NamedTuple

import pytest
from redwingscale_daemon._internal.fleet.chooser import Chooser
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.list_check import ListCheck
from redwingscale_daemon._internal.fleet.path_messages import PathReply
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.fleet.upstream_ends import UpstreamEnds
from redwingscale_daemon._internal.forwarding.answer_end import AnswerEnds
from redwingscale_daemon._internal.forwarding.connection_pool import ConnectionPool
from redwingscale_daemon._internal.forwarding.crash_guard import CrashGuard
from redwingscale_daemon._internal.forwarding.detour import Detour
from redwingscale_daemon._internal.forwarding.holder_wait import HolderWait
from redwingscale_daemon._internal.forwarding.part_guard import PartGuard
from redwingscale_daemon._internal.forwarding.parts import RelayParts
from redwingscale_daemon._internal.forwarding.peer_offers import PeerOffers
from redwingscale_daemon._internal.forwarding.peer_port import PeerPort
from redwingscale_daemon._internal.forwarding.peer_relay import PeerRelay
from redwingscale_daemon._internal.forwarding.plain_relay import PlainRelay
from redwingscale_daemon._internal.forwarding.process_check import ProcessCheck
from redwingscale_daemon._internal.forwarding.repeat_budget import BudgetRule, RepeatBudget
from redwingscale_daemon._internal.forwarding.request_handler import RequestHandler
from redwingscale_daemon._internal.forwarding.sender import Sender
from redwingscale_daemon._internal.forwarding.stream_relay import StreamRelay
from redwingscale_daemon._internal.ingress.ingress_server import IngressServer, PortLimits
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.platform import exchange, names
from redwingscale_daemon._internal.quarantine.part_quarantine import PartQuarantine
from redwingscale_daemon._internal.quarantine.quarantine import Quarantine
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route, WeightedService
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.table_check import TableCheck
from redwingscale_daemon._internal.swaps.local_demand import LocalDemand
from redwingscale_daemon._internal.workspaces.use_limiter import UseLimiter

HOST = "a.example"
WAIT_SECONDS = 5.0


class Received(NamedTuple):
    """One request as an upstream received it."""

    upstream: str
    head: str
    body: bytes

    def header(self, name):
        for line in self.head.split("\r\n")[1:]:
            key, _, value = line.partition(": ")
            if key.lower() == name.lower():
                return value
        return None


class ScriptedUpstream:
    """Serves each request with the next script, a function of connection and request.

    The last script serves all further requests; one that returns False closes the connection.
    """

    def __init__(self, name, log, scripts):
        self.name = name
        self.log = log
        self.scripts = list(scripts)
        self.left = threading.Event()
        self._server = socket.create_server(("127.0.0.1", 0))
        self.port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        stream = connection.makefile("rb")
        # A connection that the other side discards is reset.
        with connection, contextlib.suppress(ConnectionResetError):
            while head := _read_head(stream):
                if head.startswith("GET /healthz "):
                    self._answer_with_name(connection)
                    continue
                length = int(Received("", head, b"").header("Content-Length") or 0)
                received = Received(self.name, head, stream.read(length))
                self.log.append(received)
                script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
                # The other side may close in the middle of a response.
                with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                    if script(connection, received) is not False:
                        continue
                return

    def _answer_with_name(self, connection):
        lines = ("HTTP/1.1 200 OK", f"X-Redwingscale-Instance-Id: {self.name}", "Content-Length: 0")
        connection.sendall("\r\n".join([*lines, "", ""]).encode())

    def close(self):
        # close() alone would let the waiting thread accept one more connection.
        with contextlib.suppress(OSError):
            self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()


def _read_head(stream):
    lines = []
    while (line := stream.readline()) not in (b"", b"\r\n"):
        lines.append(line.decode("latin-1").rstrip("\r\n"))
    return "\r\n".join(lines)


def head(received, status="200 OK", *lines, signed=True):
    """Return the head of a response to ``received``."""
    response = [
        f"HTTP/1.1 {status}",
        f"X-Redwingscale-Request-Id: {received.header('X-Redwingscale-Request-Id')}",
    ]
    if signed:
        response.append("X-Redwingscale-Response-Seal: seal")
    return "\r\n".join([*response, *lines, "", ""]).encode()


def sized(body, status="200 OK", signed=True):
    """Return a script that sends a complete response with a length."""

    def script(connection, received):
        length = f"Content-Length: {len(body)}"
        connection.sendall(head(received, status, length, signed=signed) + body)

    return script


def not_run(connection, received):
    """Script of a full upstream, which has not run the request."""
    connection.sendall(
        head(
            received,
            "503 Full",
            "X-Redwingscale-Not-Executed: 1",
            "Content-Length: 0",
            signed=False,
        )
    )


def breaks(connection, received):
    """Script of an upstream that crashes without a response."""
    return False


def events(*numbers, then="end", gap=0.0):
    """Return a script that sends a stream of events.

    ``then`` is how it stops: "end", "break" (the connection closes), "inside" (the same,
    in the middle of an event) or "silent".
    """

    def script(connection, received):
        connection.sendall(
            head(
                received, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
            )
        )
        for number in numbers:
            time.sleep(gap)
            event = f"id: {number}\ndata: token{number}\n\n".encode()
            connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        if then == "end":
            connection.sendall(b"0\r\n\r\n")
            return True
        if then == "inside":
            connection.sendall(b"20\r\nid: 99\ndata: hal")
        if then == "silent":
            connection.settimeout(WAIT_SECONDS)
            connection.recv(1)
        return False

    return script


def route(prefix, kind, **changes):
    base = Route(
        prefix, HOST, prefix, kind, 4.0, 0.5, 1, (WeightedService("llm", 1.0),), 2, False, 0.4
    )
    return base._replace(**changes)


ROUTES = [
    route("/safe/", Idempotency.IDEMPOTENT, services=(WeightedService("plain", 1.0),)),
    route("/once/", Idempotency.AT_MOST_ONCE, services=(WeightedService("plain", 1.0),)),
    route("/brief/", Idempotency.IDEMPOTENT, services=(WeightedService("plain", 1.0),), time_limit_seconds=0.3),
    route("/slow/", Idempotency.AT_MOST_ONCE, services=(WeightedService("plain", 1.0),), time_limit_seconds=10.0),
    route("/stream/", Idempotency.STREAM, resumable=True),
    route("/single/", Idempotency.STREAM, most_upstreams=1),
    route("/long/", Idempotency.STREAM, resumable=True, time_limit_seconds=10.0),
    route("/minutes/", Idempotency.STREAM, resumable=True, time_limit_seconds=120.0),
    route("/public/", Idempotency.IDEMPOTENT, services=(WeightedService("plain", 1.0),), public=True),
    route("/brief-stream/", Idempotency.STREAM, resumable=True, time_limit_seconds=0.5),
]  # fmt: skip


LIMITS = PortLimits(16, 16384, 1 << 20, 10)


class _OutcomeLog:
    """Replaces the metrics; collects the outcomes of requests."""

    def __init__(self, ended):
        self._ended = ended

    def record_resumptions(self, **counted):
        """Count nothing."""

    def record_request(self, request, outcome):
        self._ended.append(outcome)
        return 0.0


class NoStore:
    """Keeps no quarantines."""

    def save(self, quarantine):
        pass

    def drop(self, fingerprint):
        pass

    def load(self):
        return iter(())


class SettableCheck(TableCheck):
    """Has a table whose age the test sets."""

    outdated = False

    def wait_until_current(self, request_id):
        pass


class World:
    """One instance's request path in front of scripted upstreams."""

    def __init__(self, limits=LIMITS, held=None, open_bytes=None):
        self.log = []
        self.upstreams = []
        self._request_numbers = itertools.count(1)
        self.routes = CurrentRoutes()
        self.table_check = SettableCheck(self.routes, math.inf)
        fleet = new_fleet()
        self.changes, self.residency = fleet.changes, fleet.residency
        self.directory = fleet.directory
        self.pool = ConnectionPool()
        self.open_requests = OpenRequests()
        self.local_demand = LocalDemand()
        self.ended = []
        self.limiter = UseLimiter(lambda: 1)
        self.load_tracker = fleet.load_tracker
        self.rates = fleet.rates
        self.backpressure = fleet.backpressure
        self.outcomes, self.health = fleet.outcomes, fleet.health
        chooser = Chooser("z1", fleet)
        chooser._random = random.Random(1)
        budget = self.budget = RepeatBudget(BudgetRule(0.2, 50.0, 10.0), lambda: 1)
        budget.note_former({})
        self.check = ProcessCheck(names.HEALTH_PATH, exchange.answering_upstream)
        self.directory.on_gone(self.check.forget)
        self.entries = GossipState("one")
        self.crash_counts = Counter()
        count = self.crash_counts.update
        self.quarantine = Quarantine("one", self.entries, NoStore(), lambda kind: count([kind]))
        ends = UpstreamEnds(fleet.directory, fleet.health, fleet.path)
        self.path = fleet.path
        self.peers = {}
        self.peer_port = None
        self.list_outdated_since = None
        self.list_age, self.store_lost = 0.0, False
        self.offers = PeerOffers(
            "z1", lambda: self.peers, lambda address, query: self.peers[address]
        )
        store = NoStore()
        part_quarantine = PartQuarantine("one", self.entries, self.quarantine.shared, store)
        guard = CrashGuard(self.quarantine, PartGuard(part_quarantine), fleet.directory, ends)
        self.guard, self.part_quarantine = guard, part_quarantine
        fleet.health.on_replaced(lambda upstream_id, _: self.guard.note_replaced(upstream_id))
        parts = RelayParts(
            exchange,
            Sender(
                self.pool,
                exchange,
                fleet.backpressure,
                open_bytes,
                fleet.path,
                check=self.check,
                list_check=ListCheck(
                    fleet.directory, lambda: self.list_age, lambda: self.store_lost
                ),
            ),
            chooser,
            fleet.load_tracker,
            fleet.health,
            fleet.latency_factors,
            budget,
            fleet.gate,
            fleet.backpressure,
            self.guard,
            fleet.path,
            Detour(fleet.path, fleet.health, self.offers, lambda: self.list_outdated_since),
            PeerRelay("one", exchange, ConnectionPool(), self.offers, lambda: fleet.path.lost),
        )
        self.caller_retry_seconds = None
        wait = HolderWait(
            chooser,
            self.changes,
            self.residency,
            self.local_demand,
            self.open_requests,
            fleet.gate,
            lambda: self.caller_retry_seconds,
            find_peer=parts.detour.choose,
        )
        # Why answers that had begun were ended early.
        self.cuts = []
        handler = self.handler = RequestHandler(
            self.routes, exchange, PlainRelay(parts, self.changes), StreamRelay(parts, wait, fleet.prefixes),
            self.local_demand, budget, self.open_requests, _OutcomeLog(self.ended),
            self.limiter, self.guard, ends=AnswerEnds(self.open_requests, self.cuts.append),
            table_check=self.table_check,
        )  # fmt: skip
        self.server = IngressServer(
            handler.handle, "127.0.0.1", 0, limits, handler.screen, handler.refuse_unread, held
        )

    def start(self):
        self.configure(1)
        self.server.start()

    def configure(self, version, keys=None):
        """Apply a configuration version; ``keys`` are those of callers, None if none is needed."""
        self.routes.offer(RouteTable(version, ROUTES, {}, IngressLimits(1, 1, 1.0, 1.0), keys))

    def lose_path(self):
        """Let the instance take its path to upstreams as lost."""
        self.path.note_failed("a", "no connection")
        self.path.note_failed("b", "no connection")
        assert self.path.confirm_loss(self.path.evidence(), self.peers)

    def add_peer(self, *scripts, able=True, domain="z1", heard=()):
        """Start a peer that takes requests."""
        name = f"p{len(self.peers)}"
        scripted = ScriptedUpstream(name, self.log, scripts)
        self.peers[name] = PathReply(
            name,
            domain,
            "127.0.0.1",
            scripted.port,
            f"token of {name}",
            able,
            0.0,
            list(heard),
            0.0,
        )
        return scripted

    def add(self, service, *scripts, models=("m",)):
        """Start an upstream; the first one is in the failure domain of the instance."""
        name = f"u{len(self.upstreams)}"
        scripted = ScriptedUpstream(name, self.log, scripts)
        domain = "z1" if not self.upstreams else "z2"
        resident = {m: ResidentModel(m, 1, frozenset()) for m in models} if service == "llm" else {}
        listed = Upstream(
            name, service, "127.0.0.1", scripted.port, domain, 64, False, None, resident,
            frozenset(), frozenset(),
        )  # fmt: skip
        self.upstreams.append((scripted, listed))
        self.directory.replace([upstream for _, upstream in self.upstreams])
        return scripted

    def connect(self):
        caller = socket.create_connection(("127.0.0.1", self.server.port))
        caller.settimeout(WAIT_SECONDS)
        return caller

    def send(
        self,
        path,
        body=b"",
        *,
        method="POST",
        model=None,
        caller=None,
        headers=(),
        tokens="100,9000",
    ):
        caller = caller or self.connect()
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {HOST}",
            f"X-Redwingscale-Request-Id: r{next(self._request_numbers)}",
            f"Content-Length: {len(body)}", *headers,
        ]  # fmt: skip
        if model:
            lines.append(f"X-Redwingscale-Model-Name: {model}")
        if model:
            lines.append(f"X-Redwingscale-Token-Usage: {tokens}")
        caller.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        return caller

    def request(self, path, body=b"", **options):
        """Send a request and return the response, parsed strictly by its framing."""
        return read_response(self.send(path, body, **options))

    def take_requests_of_peers(self, name="p0", may_take=lambda: True):
        """Open the port for requests of peers; return what a peer learns of it."""

        def make_server(port):
            return IngressServer(
                port.handle, "127.0.0.1", 0, LIMITS, port.screen, port.refuse_unread
            )

        self.peer_port = PeerPort(self.handler, make_server, may_take)
        offer = self.peer_port.offer()
        return PathReply(name, "z1", "127.0.0.1", offer.port, offer.token, True, 0.0, [], 0.0)

    def stop(self):
        self.server.stop()
        if self.peer_port is not None:
            self.peer_port.stop()
        for scripted, _ in self.upstreams:
            scripted.close()


class Response(NamedTuple):
    status: int
    headers: dict
    body: bytes
    whole: bool


def read_response(caller):
    stream = caller.makefile("rb")
    first, *lines = _read_head(stream).split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines)
    status = int(first.split()[1])
    if "Content-Length" in headers:
        length = int(headers["Content-Length"])
        body = stream.read(length)
        return Response(status, headers, body, len(body) == length)
    body = b""
    while size := stream.readline().strip():
        if size == b"0":
            stream.readline()
            return Response(status, headers, body, True)
        body += stream.read(int(size, 16))
        stream.readline()
    return Response(status, headers, body, False)


@pytest.fixture
def world():
    """A started request path; `World.ended` lists the outcomes of its requests."""
    made = World()
    made.start()
    yield made
    made.stop()


@pytest.fixture
def peer():
    """Another instance, which reaches its upstreams."""
    made = World()
    made.start()
    yield made
    made.stop()
