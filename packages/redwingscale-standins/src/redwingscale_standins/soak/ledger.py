"""What workers ran and what callers were told, for the checks at the end."""

import threading
import time
from collections import defaultdict
from typing import NamedTuple


class Run(NamedTuple):
    """A worker began a request; ``first_event`` is where its stream began."""

    worker: str
    path: str
    body: bytes
    at: float


class Order(NamedTuple):
    """An order that a worker took."""

    worker: str
    holder: str
    fence: int
    at: float


class Told(NamedTuple):
    """A caller's view of one request; ``status`` is None for a connection that ended.

    Nothing has disturbed its instance, or the store, since ``calm_since``. ``process`` is
    the id of the instance's process that took it.
    """

    request: str
    kind: str
    path: str
    body: bytes
    instance: str
    status: int | None
    sent_at: float
    ended_at: float
    left: bool
    calm_since: float
    process: int


class Ledger:
    """Collects from all threads; ``findings`` are broken promises with their place."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.orders: dict[str, list[Order]] = defaultdict(list)
        self.told: list[Told] = []
        self.findings: list[str] = []
        # Requests that the soak itself asks for, beside the callers.
        self.probes: set[str] = set()

    def ran(self, request: str, worker: str, path: str, body: bytes) -> None:
        """Note that ``worker`` begins ``request``."""
        with self._lock:
            self.runs[request].append(Run(worker, path, body, time.monotonic()))

    def ordered(self, worker: str, holder: str, fence: int) -> None:
        """Note an order that a worker took."""
        with self._lock:
            self.orders[worker].append(Order(worker, holder, fence, time.monotonic()))

    def ended(self, told: Told) -> None:
        """Note how a request ended for its caller."""
        with self._lock:
            self.told.append(told)

    def finding(self, rule: str, detail: str) -> None:
        """Note a broken promise."""
        with self._lock:
            self.findings.append(f"{rule}: {detail}")
