"""Records what workers ran and what callers received, for the checks at the end."""

import threading
import time
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from redwingscale_standins.versions.rule import Piece


class Run(NamedTuple):
    """The start of a request at a worker."""

    worker: str
    path: str
    body: bytes
    at: float


class Order(NamedTuple):
    """An order that a worker accepted."""

    worker: str
    holder: str
    fence: int
    at: float


class Break(NamedTuple):
    """A fault that ends open connections of a worker, or of the process with this id."""

    place: str | int
    begun_at: float
    ended_at: float


class Stop(NamedTuple):
    """A planned stop: when the process with this id got SIGTERM, and its grace period."""

    process: int
    signalled_at: float
    grace_seconds: float


class RequestResult(NamedTuple):
    """The result of one request for its caller; ``status`` is None if the connection ended.

    No fault has disturbed the instance or the store since ``undisturbed_since``.
    ``process`` is the process id of the instance that received the request. ``complete`` is
    false if the connection ended before the end of the response. The caller did not read
    for ``stall_seconds``. ``last_byte_at`` is None if the request was not sent whole. No unplanned
    fault has disturbed any part of the deployment since ``calm_since``.
    """

    request: str
    kind: str
    path: str
    body: bytes
    instance: str
    status: int | None
    sent_at: float
    ended_at: float
    disconnected: bool
    undisturbed_since: float
    process: int
    complete: bool
    limit_seconds: float
    stall_seconds: float
    last_byte_at: float | None = None
    calm_since: float = float("-inf")


class Ledger:
    """Collects records of all threads; ``findings`` lists broken promises with their context."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.orders: dict[str, list[Order]] = defaultdict(list)
        # When a worker had made the last byte of its answer, or noticed that nobody reads it.
        self.run_ends: dict[tuple[str, str], float] = {}
        self.results: list[RequestResult] = []
        # Of the callers that send parts of their requests late.
        self.late_results: list[RequestResult] = []
        self.stops: list[Stop] = []
        self.breaks: list[Break] = []
        # Requests and the workers that had no room for them, although a run was recorded.
        self.no_room: set[tuple[str, str]] = set()
        self.findings: list[str] = []
        # The events of streams that callers hold from one answer.
        self.pieces_by_request: dict[str, list[Piece]] = {}
        # Requests that the soak itself sends, in addition to the callers.
        self.probes: set[str] = set()

    def begin_run(self, request: str, worker: str, path: str, body: bytes) -> None:
        """Record that ``worker`` begins ``request``."""
        with self._lock:
            self.runs[request].append(Run(worker, path, body, time.monotonic()))

    def end_run(self, request: str, worker: str) -> None:
        """Record that ``worker`` works on ``request`` no more."""
        with self._lock:
            self.run_ends[request, worker] = time.monotonic()

    def add_order(self, worker: str, holder: str, fence: int) -> None:
        """Record an order that a worker accepted."""
        with self._lock:
            self.orders[worker].append(Order(worker, holder, fence, time.monotonic()))

    def add_result(self, result: RequestResult) -> None:
        """Record the result of a request for its caller."""
        with self._lock:
            self.results.append(result)

    @contextmanager
    def breaking(self, *places: str | int) -> Iterator[None]:
        """Record that the block ends open connections of workers or processes."""
        begun_at = time.monotonic()
        try:
            yield
        finally:
            with self._lock:
                self.breaks += [Break(place, begun_at, time.monotonic()) for place in places]

    def add_finding(self, rule: str, detail: str) -> None:
        """Record a broken promise."""
        with self._lock:
            self.findings.append(f"{rule}: {detail}")
