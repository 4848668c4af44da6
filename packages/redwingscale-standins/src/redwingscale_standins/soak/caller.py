"""A caller of the soak: sends requests on kept connections and judges each answer."""

import contextlib
import http.client
import random
import threading
import time
from typing import NamedTuple

from redwingscale_standins.hosted.documents import HOST
from redwingscale_standins.soak.ledger import Told
from redwingscale_standins.soak.world import (
    LIMITED_KEY,
    PLAIN_LIMIT_SECONDS,
    STEADY_KEY,
    Node,
    World,
    version_key,
)

STREAM_LIMIT_SECONDS = 8.0
# Beyond the limit: half a second is promised; the rest is for a busy machine.
LATE_SECONDS = 3.0
# A change is in force within two seconds, of instances that nothing disturbs.
IN_FORCE_SECONDS = 2.5
LEAVE_SECONDS = 0.15
LEAVING_PART = 0.05
PAUSE_SECONDS = 0.03
_PROMISES = frozenset({408, 421, 429, 503})
# How often each kind of request is sent, relative to the others.
_WEIGHTS = {"stream": 5, "once": 3, "safe": 3, "newest": 1, "withdrawn": 1, "limited": 2}


class _Ask(NamedTuple):
    """A request, the longest that its answer may take, and whether its caller leaves."""

    id: str
    kind: str
    path: str
    body: bytes
    headers: dict[str, str]
    limit_seconds: float
    leaves: bool


class Caller(threading.Thread):
    """Keeps its connection until it is closed, then takes an instance that is ready."""

    def __init__(self, world: World, number: int, seed: int) -> None:
        super().__init__(name=f"caller-{number}", daemon=True)
        self._world = world
        self._number = number
        self._random = random.Random(seed * 1000 + number)
        self._connection: http.client.HTTPConnection | None = None
        self._node = world.nodes[number % len(world.nodes)]
        self._sent = 0
        self.stopped = False

    def run(self) -> None:
        """Send until stopped."""
        while not self.stopped:
            self._send(self._next())
            time.sleep(self._random.random() * PAUSE_SECONDS)

    def _next(self) -> _Ask:
        self._sent += 1
        request = f"{self._number:04x}{self._sent:08x}"
        kind = self._random.choices([*_WEIGHTS], [*_WEIGHTS.values()])[0]
        headers = {"Host": HOST, "X-Redwingscale-Request-Id": request}
        headers["Authorization"] = f"Bearer {self._key(kind)}"
        body = self._random.randbytes(self._random.choice([0, 40, 3000]))
        leaves = self._random.random() < LEAVING_PART
        if kind == "stream":
            model = self._random.choices(["m1", "m2", "m3", "m4"], [6, 3, 1, 1])[0]
            headers["X-Redwingscale-Model-Name"] = model
            headers["X-Redwingscale-Token-Usage"] = f"10,{self._random.randint(1, 25)}"
            headers["X-Redwingscale-Deadline-Ms"] = str(int(STREAM_LIMIT_SECONDS * 1000))
            path, limit = "/live/x", STREAM_LIMIT_SECONDS
        else:
            version = self._world.version
            place = "once" if kind == "once" else "safe"
            path = f"/v{version}/x" if kind == "newest" else f"/{place}/{request}?a=%2F"
            limit = PLAIN_LIMIT_SECONDS
        return _Ask(request, kind, path, body, headers, limit, leaves)

    def _key(self, kind: str) -> str:
        match kind:
            case "withdrawn":
                return version_key(self._world.version - 1)
            case "limited":
                return LIMITED_KEY
            case _:
                return STEADY_KEY

    def _send(self, ask: _Ask) -> None:
        connection = self._connect()
        if connection is None:
            time.sleep(0.05)
            return
        node, process, sent_at = self._node, self._node.process.process, time.monotonic()
        status: int | None = None
        body = b""
        whole = False
        try:
            connection.request("POST", ask.path, body=ask.body, headers=ask.headers)
            if ask.leaves:
                time.sleep(LEAVE_SECONDS)
                self._close()
            else:
                response = connection.getresponse()
                status = response.status
                body = response.read()
                whole = True
                self._check(ask, node, response, body, process.pid)
        except (OSError, http.client.HTTPException):
            # A connection that ends is judged by what the workers ran.
            self._close()
        ended_at = time.monotonic()
        if status is not None and not whole and status >= 300:
            status = None
        self._check_time(ask, node, ended_at - sent_at)
        self._world.ledger.ended(
            Told(
                ask.id,
                ask.kind,
                ask.path,
                ask.body,
                node.name,
                status,
                sent_at,
                ended_at,
                ask.leaves,
                max(node.disturbance.at, self._world.store_disturbance.at),
                process.pid,
            )
        )

    def _connect(self) -> http.client.HTTPConnection | None:
        if self._connection is not None:
            return self._connection
        ready = [node for node in self._world.nodes if node.process.ports and not node.stopping]
        if not ready:
            return None
        self._node = self._random.choice(ready)
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
        self, ask: _Ask, node: Node, response: http.client.HTTPResponse, body: bytes, pid: int
    ) -> None:
        if response.will_close:
            self._close()
        findings = self._world.ledger.finding
        place = f"request {ask.id} ({ask.kind}) at {node.name}, pid {pid}"
        if response.status < 300:
            seal = response.headers.get("X-Redwingscale-Response-Seal")
            echoed = response.headers.get("X-Redwingscale-Request-Id")
            if ask.kind == "withdrawn" and self._in_force(node):
                findings("withdrawn", f"{place}: answered for {ask.headers['Authorization']}")
            if seal is None or echoed != ask.id:
                findings("mixed", f"{place}: signature {seal}, id {echoed}")
            if ask.kind == "stream":
                self._check_events(ask, body, place)
            elif body != ask.id.encode() + b":" + ask.body:
                findings("mixed", f"{place}: {len(body)} bytes that are not its answer")
        elif response.status == 404 and self._should_know(ask, node):
            findings("configuration", f"{place}: 404 for {ask.path}")
        elif response.status in (400, 401, 403) and ask.kind != "withdrawn":
            findings("denied", f"{place}: {response.status}")
        if response.status in _PROMISES and not response.headers.get("Retry-After"):
            findings("refused", f"{place}: {response.status} without Retry-After")

    def _check_events(self, ask: _Ask, body: bytes, place: str) -> None:
        numbers = [int(line[4:]) for line in body.decode().splitlines() if line[:4] == "id: "]
        expected = int(ask.headers["X-Redwingscale-Token-Usage"].partition(",")[2])
        if numbers != list(range(1, expected + 1)):
            self._world.ledger.finding("order", f"{place}: {numbers} of {expected} events")

    def _should_know(self, ask: _Ask, node: Node) -> bool:
        if ask.kind != "newest":
            return True
        return ask.path == f"/v{self._world.version}/x" and self._in_force(node)

    def _in_force(self, node: Node) -> bool:
        """Whether the newest version must be in force at an instance."""
        now = time.monotonic()
        known_for = now - self._world.version_at
        calm = now - max(node.disturbance.at, self._world.disturbance.at) > 2 * IN_FORCE_SECONDS
        return calm and known_for > IN_FORCE_SECONDS

    def _check_time(self, ask: _Ask, node: Node, seconds: float) -> None:
        calm = time.monotonic() - node.disturbance.at > seconds + 1.0
        if seconds > ask.limit_seconds + LATE_SECONDS and calm and not ask.leaves:
            place = f"request {ask.id} ({ask.kind}) at {node.name}"
            self._world.ledger.finding("time", f"{place}: {seconds:.2f} s")
