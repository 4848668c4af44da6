"""A soak caller that sends requests on persistent connections and checks each response."""

import contextlib
import http.client
import random
import threading
import time
from typing import NamedTuple

from redwingscale_standins.hosted.documents import HOST
from redwingscale_standins.soak.ending_part import prompt_header
from redwingscale_standins.soak.ledger import RequestResult
from redwingscale_standins.soak.moved_connections import MOVED_FRACTION, NEW_FRACTION
from redwingscale_standins.soak.soak_worker import LARGE_MARK
from redwingscale_standins.soak.world import (
    LIMITED_KEY,
    PLAIN_LIMIT_SECONDS,
    STEADY_KEY,
    Node,
    World,
    version_key,
)
from redwingscale_standins.versions.rule import read_pieces

STREAM_LIMIT_SECONDS = 8.0
# Tolerance beyond the limit: half a second is promised, the rest allows for a busy machine.
LATE_SECONDS = 3.0
# A change is in force within two seconds at undisturbed instances; the rest is tolerance.
IN_FORCE_SECONDS = 2.5
DISCONNECT_SECONDS = 0.15
DISCONNECT_FRACTION = 0.05
# Callers of large streams that stop reading in mid-answer and go on.
STALL_FRACTION = 0.1
SHORTEST_STALL_SECONDS, LONGEST_STALL_SECONDS = 1.0, 4.0
STALLED_EVENTS = 40
PAUSE_SECONDS = 0.03
_NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# How often each kind of request is sent, relative to the others.
_WEIGHTS = {"stream": 5, "once": 3, "safe": 3, "newest": 1, "withdrawn": 1, "limited": 2}


class _Request(NamedTuple):
    """A request, the time limit of its response, and how its caller behaves."""

    id: str
    kind: str
    path: str
    body: bytes
    headers: dict[str, str]
    limit_seconds: float
    disconnects: bool
    # How long the caller stops reading after the first byte of the body.
    stall_seconds: float


class Caller(threading.Thread):
    """Keeps its connection until it closes, then connects to an instance not stopping."""

    def __init__(self, world: World, number: int, seed: int, *, stalls: bool = False) -> None:
        super().__init__(name=f"caller-{number}", daemon=True)
        self._world = world
        self._number = number
        self._random = random.Random(seed * 1000 + number)
        # Apart from the other draws, so that those of a seed stay the same.
        self._stalls = random.Random(f"stalls {seed} {number}") if stalls else None
        self._parts = random.Random(f"parts {seed} {number}")
        self._moves = random.Random(f"moves {seed} {number}")
        self._connection: http.client.HTTPConnection | None = None
        self._node = world.nodes[number % len(world.nodes)]
        self._sent_count = 0
        self.stopped = False

    def run(self) -> None:
        """Send until stopped."""
        while not self.stopped:
            self._send(self._next())
            if self._world.crowded and self._moves.random() < NEW_FRACTION:
                self._close()
            time.sleep(self._random.random() * PAUSE_SECONDS)

    def _next(self) -> _Request:
        self._sent_count += 1
        request_id = f"{self._number:04x}{self._sent_count:08x}"
        kind = self._random.choices([*_WEIGHTS], [*_WEIGHTS.values()])[0]
        headers = {"Host": HOST, "X-Redwingscale-Request-Id": request_id}
        headers["Authorization"] = f"Bearer {self._key(kind)}"
        body = self._random.randbytes(self._random.choice([0, 40, 3000]))
        disconnects = self._random.random() < DISCONNECT_FRACTION
        stall_seconds = 0.0
        if kind == "stream":
            model = self._random.choices(["m1", "m2", "m3", "m4"], [6, 3, 1, 1])[0]
            headers["X-Redwingscale-Model-Name"] = model
            headers["X-Redwingscale-Prefix-Hash"] = prompt_header(self._parts)
            headers["X-Redwingscale-Token-Usage"] = f"10,{self._random.randint(1, 25)}"
            headers["X-Redwingscale-Deadline-Ms"] = str(int(STREAM_LIMIT_SECONDS * 1000))
            path, limit = "/live/x", STREAM_LIMIT_SECONDS
            if self._stalls is not None and self._stalls.random() < STALL_FRACTION:
                stall_seconds = self._stalls.uniform(SHORTEST_STALL_SECONDS, LONGEST_STALL_SECONDS)
                body = LARGE_MARK + request_id.encode()
                headers["X-Redwingscale-Token-Usage"] = f"10,{STALLED_EVENTS}"
        else:
            version = self._world.version
            segment = "once" if kind == "once" else "safe"
            path = f"/v{version}/x" if kind == "newest" else f"/{segment}/{request_id}?a=%2F"
            limit = PLAIN_LIMIT_SECONDS
        return _Request(request_id, kind, path, body, headers, limit, disconnects, stall_seconds)

    def _key(self, kind: str) -> str:
        match kind:
            case "withdrawn":
                return version_key(self._world.version - 1)
            case "limited":
                return LIMITED_KEY
            case _:
                return STEADY_KEY

    def _send(self, request: _Request) -> None:
        connection = self._connect()
        if connection is None:
            time.sleep(0.05)
            return
        node, process, sent_at = self._node, self._node.process.process, time.monotonic()
        status: int | None = None
        last_byte_at: float | None = None
        body, complete = b"", False
        try:
            connection.request("POST", request.path, body=request.body, headers=request.headers)
            last_byte_at = time.monotonic()
            if request.disconnects:
                time.sleep(DISCONNECT_SECONDS)
                self._close()
            else:
                response = connection.getresponse()
                status = response.status
                if request.stall_seconds:
                    body = response.read(1)
                    time.sleep(request.stall_seconds)
                body += response.read()
                complete = True
                self._check(request, node, response, body, process.pid)
        except (OSError, http.client.HTTPException):
            # A connection that ends is checked by what the workers ran.
            self._close()
        ended_at = time.monotonic()
        if status is not None and not complete and status >= 300:
            status = None
        self._check_time(request, node, ended_at - sent_at - request.stall_seconds)
        self._world.ledger.add_result(
            RequestResult(
                request.id,
                request.kind,
                request.path,
                request.body,
                node.name,
                status,
                sent_at,
                ended_at,
                request.disconnects,
                max(node.disturbance.last_at, self._world.store_disturbance.last_at),
                process.pid,
                complete,
                request.limit_seconds,
                request.stall_seconds,
                last_byte_at,
                self._world.calm_since(),
            )
        )

    def _connect(self) -> http.client.HTTPConnection | None:
        if self._connection is not None:
            return self._connection
        ready = [node for node in self._world.nodes if node.process.ports and not node.stopping]
        if not ready:
            return None
        self._node = self._random.choice(ready)
        crowded = self._world.crowded
        if crowded in ready and self._moves.random() < MOVED_FRACTION:
            self._node = crowded
        with contextlib.suppress(IndexError):
            self._connection = http.client.HTTPConnection(
                "127.0.0.1", self._node.process.ports[0], timeout=STREAM_LIMIT_SECONDS + 8.0
            )
        return self._connection

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _check(
        self,
        request: _Request,
        node: Node,
        response: http.client.HTTPResponse,
        body: bytes,
        pid: int,
    ) -> None:
        if response.will_close:
            self._close()
        add_finding = self._world.ledger.add_finding
        context = f"request {request.id} ({request.kind}) at {node.name}, pid {pid}"
        if response.status < 300:
            seal = response.headers.get("X-Redwingscale-Response-Seal")
            echoed = response.headers.get("X-Redwingscale-Request-Id")
            if request.kind == "withdrawn" and self._in_force(node):
                add_finding(
                    "withdrawn", f"{context}: answered for {request.headers['Authorization']}"
                )
            if seal is None or echoed != request.id:
                add_finding("mixed", f"{context}: signature {seal}, id {echoed}")
            if request.kind == "stream":
                self._check_events(request, body, context)
            elif body != request.id.encode() + b":" + request.body:
                add_finding("mixed", f"{context}: {len(body)} bytes that are not its response")
        elif response.status == 404 and self._must_have_route(request, node):
            add_finding("configuration", f"{context}: 404 for {request.path}")
        elif response.status in (400, 401, 403, 422) and request.kind != "withdrawn":
            add_finding("denied", f"{context}: {response.status}")
        if response.status in _NOT_EXECUTED_STATUSES and not response.headers.get("Retry-After"):
            add_finding("refused", f"{context}: {response.status} without Retry-After")

    def _check_events(self, request: _Request, body: bytes, context: str) -> None:
        self._world.ledger.pieces_by_request[request.id] = [*read_pieces(body)]
        numbers = [int(line[4:]) for line in body.decode().splitlines() if line[:4] == "id: "]
        expected = int(request.headers["X-Redwingscale-Token-Usage"].partition(",")[2])
        if numbers != list(range(1, expected + 1)):
            self._world.ledger.add_finding("order", f"{context}: {numbers} of {expected} events")

    def _must_have_route(self, request: _Request, node: Node) -> bool:
        if request.kind != "newest":
            return True
        return request.path == f"/v{self._world.version}/x" and self._in_force(node)

    def _in_force(self, node: Node) -> bool:
        """Return whether the newest version must be in force at ``node``."""
        now = time.monotonic()
        known_for = now - self._world.version_at
        disturbed_at = max(node.disturbance.last_at, self._world.disturbance.last_at)
        return now - disturbed_at > 2 * IN_FORCE_SECONDS and known_for > IN_FORCE_SECONDS

    def _check_time(self, request: _Request, node: Node, seconds: float) -> None:
        undisturbed = time.monotonic() - node.disturbance.last_at > seconds + 1.0
        if (
            seconds > request.limit_seconds + LATE_SECONDS
            and undisturbed
            and not request.disconnects
        ):
            context = f"request {request.id} ({request.kind}) at {node.name}"
            self._world.ledger.add_finding("time", f"{context}: {seconds:.2f} s")
