"""A model worker that streams numbered events, serves reports and takes orders."""

import itertools
import threading
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

import cherrypy
from redwingscale_common.network.exchange import json_response, read_body, read_json

from redwingscale_standins.hang import drop_connection
from redwingscale_standins.repeats.rule import Arrival

BODY_LIMIT_BYTES = 1 << 20
# How long a worker that fell over closes all connections.
FALL_SECONDS = 1.5
_ECHOED_HEADERS = ("X-Redwingscale-Request-Id",)


class WorkerTiming(NamedTuple):
    """The seconds between two events, and the seconds that a load takes."""

    gap: float = 0.005
    load: float = 0.05


class StreamPause(NamedTuple):
    """A silence of ``seconds`` after some events of every ``every``-th run, which then goes on.

    With 0 ``after_events`` the run is silent before its first event. Runs that go on with a stream of another worker pause only if ``resumed`` is set.
    """

    seconds: float
    after_events: int = 3
    every: int = 1
    resumed: bool = True


class Rejection(NamedTuple):
    """A rejected request and the monotonic time of the rejection."""

    request: str
    at: float


class ModelWorker:
    """Loads models as ordered; refuses requests for another worker or a model not resident."""

    def __init__(
        self, worker_id: str, models: dict[str, set[str]], timing: WorkerTiming | None = None
    ) -> None:
        self.id = worker_id
        # The version of its software, which each event names.
        self.software = "v1"
        self.models = models
        self.orders: list[dict[str, Any]] = []
        self.runs: list[str] = []
        # Rate limit over all instances that it advertises, in requests a second; None for no limit.
        self.rate_limit: float | None = None
        # Whether every response announces that the worker is leaving.
        self.leaving = False
        # While set, requests are rejected with this many seconds in Retry-After.
        self.retry_after: float | None = None
        # Rejections for want of room in one second after which the worker falls over, announced
        # in all answers; None for a worker that bears any number.
        self.brittle: int | None = None
        # How many requests run at once; the rest is rejected. None for no bound.
        self.room: int | None = None
        # How runs that begin now pause in mid-stream, as one preempted for memory does.
        self.pause: StreamPause | None = None
        # Monotonic times at which the worker fell over.
        self.falls: list[float] = []
        # Every request that was rejected, with Retry-After or for want of room.
        self.rejections: list[Rejection] = []
        # Monotonic times of all calls.
        self.called_at: list[float] = []
        # Every request whose head was read, whatever became of it.
        self.arrivals: list[Arrival] = []
        # How many of them were addressed to another worker.
        self.refused_for_another = 0
        self._timing = timing or WorkerTiming()
        self._lock = threading.Lock()
        self._busy = False
        # How many streams run now.
        self.running = 0
        self._stream_numbers = itertools.count(1)

    def entry(self, port: int, zone: str = "z1") -> dict[str, Any]:
        """Return the worker's row in the list, for a worker that is reached at ``port``."""
        models = [{"Name": name, "Version": 1, "Adapters": []} for name in self.models]
        return {
            "Service": "llm",
            "Address": f"127.0.0.1:{port}",
            "Zone": zone,
            "Slots": 64,
            "State": "ready",
            "Version": self.software,
            "ColdLeftMs": 0,
            "Seq": 1,
            "Models": models,
        }

    @cherrypy.expose
    def default(self, *segments: str, **_: str) -> bytes | Iterator[bytes]:
        """Dispatch one request."""
        headers = cherrypy.request.headers
        self.called_at.append(time.monotonic())
        request = headers.get("X-Redwingscale-Request-Id")
        if request is not None:
            self.arrivals.append(Arrival(request, time.monotonic()))
        if self.falls and time.monotonic() < self.falls[-1] + FALL_SECONDS:
            drop_connection()
        if self.brittle is not None:
            cherrypy.response.headers["Server-Brittle"] = str(self.brittle)
        if self.rate_limit is not None:
            cherrypy.response.headers["Server-Limit"] = str(self.rate_limit)
        if self.leaving:
            cherrypy.response.headers["Server-Leaving"] = "1"
        if headers.get("X-Redwingscale-Expect-Instance", self.id) != self.id:
            self.refused_for_another += request is not None
            return self._refuse(421)
        match cherrypy.request.method, segments:
            case "GET", ("healthz",):
                cherrypy.response.headers["X-Redwingscale-Instance-Id"] = self.id
                return b""
            case "GET", ("api", "report"):
                return json_response(self._report())
            case "POST", ("api", "order"):
                return self._order(read_json(BODY_LIMIT_BYTES))
        return self._run(headers)

    def _run(self, headers: Any) -> bytes | Iterator[bytes]:
        return self._serve(headers, read_body(BODY_LIMIT_BYTES))

    def _serve(self, headers: Any, _body: bytes) -> bytes | Iterator[bytes]:
        name, _, adapter = headers["X-Redwingscale-Model-Name"].partition("/")
        if name not in self.models or (adapter and adapter not in self.models[name]):
            return self._refuse(421)
        if self.retry_after is not None:
            return self._reject(self.retry_after)
        if not self._take_room():
            return self._reject_for_room()
        response = cherrypy.response
        response.headers["Content-Type"] = "text/event-stream"
        response.headers["X-Redwingscale-Response-Seal"] = "seal"
        for header in _ECHOED_HEADERS:
            response.headers[header] = headers[header]
        response.stream = True
        self.runs.append(headers["X-Redwingscale-Request-Id"])
        first = int(headers.get("Last-Event-Id", "0")) + 1
        last = int(headers["X-Redwingscale-Token-Usage"].partition(",")[2])
        return self._events(first, last)

    def _events(self, first: int, last: int) -> Iterator[bytes]:
        pause = self.pause
        if pause is not None and first > 1 and not pause.resumed:
            pause = None
        if pause is not None and next(self._stream_numbers) % pause.every:
            pause = None
        try:
            if pause is not None and not pause.after_events:
                time.sleep(pause.seconds)
            for number in range(first, last + 1):
                time.sleep(self._timing.gap)
                yield f"id: {number}\ndata: token{number} {self.software}\n\n".encode()
                if pause is not None and number == first + pause.after_events - 1:
                    time.sleep(pause.seconds)
        finally:
            with self._lock:
                self.running -= 1

    def _take_room(self) -> bool:
        with self._lock:
            if self.room is not None and self.running >= self.room:
                return False
            self.running += 1
            return True

    def _reject_for_room(self) -> bytes:
        request = cherrypy.request.headers.get("X-Redwingscale-Request-Id", "")
        now = time.monotonic()
        with self._lock:
            self.rejections.append(Rejection(request, now))
            recent = sum(one.at > now - 1.0 for one in self.rejections)
            if self.brittle is not None and recent > self.brittle:
                self.falls.append(now)
                self.rejections.clear()
        return self._refuse(503)

    def _refuse(self, status: int) -> bytes:
        cherrypy.response.status = status
        cherrypy.response.headers["X-Redwingscale-Not-Executed"] = "1"
        cherrypy.response.headers["X-Redwingscale-Instance-Id"] = self.id
        for header in _ECHOED_HEADERS:
            cherrypy.response.headers[header] = cherrypy.request.headers.get(header, "")
        return b""

    def _reject(self, retry_after: float) -> bytes:
        request = cherrypy.request.headers.get("X-Redwingscale-Request-Id", "")
        self.rejections.append(Rejection(request, time.monotonic()))
        cherrypy.response.headers["Retry-After"] = str(retry_after)
        return self._refuse(503)

    def _report(self) -> dict[str, Any]:
        with self._lock:
            models = [
                {"Name": name, "Version": 1, "Adapters": sorted(adapters)}
                for name, adapters in self.models.items()
            ]
            return {"Models": models, "Busy": self._busy, "Seq": len(self.orders)}

    def _order(self, order: dict[str, Any]) -> bytes:
        with self._lock:
            if self._busy or order.get("Expect", len(self.orders)) != len(self.orders):
                return self._respond(409)
            self.orders.append(order)
            if "Adapter" in order:
                adapters = self.models[order["Model"]]
                (adapters.add if order["Op"] == "load" else adapters.discard)(order["Adapter"])
                return self._respond(202 if order["Op"] == "load" else 200)
            self._busy = True
        threading.Timer(self._timing.load, self._finish_order, [order]).start()
        return self._respond(202)

    def _finish_order(self, order: dict[str, Any]) -> None:
        with self._lock:
            if order["Op"] == "load":
                self.models[order["Model"]] = set()
            else:
                self.models.pop(order["Model"], None)
            self._busy = False

    def _respond(self, status: int) -> bytes:
        cherrypy.response.status = status
        return b""
