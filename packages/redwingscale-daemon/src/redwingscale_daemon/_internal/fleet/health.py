"""Upstreams that have failed lately."""

import math
import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.new_connections import NewConnections
from redwingscale_daemon._internal.fleet.outcomes import Outcomes
from redwingscale_daemon._internal.fleet.own_path import OwnPath

# How long an upstream is avoided after a first failure; doubled by each further one. Long
# enough to send a few requests elsewhere, short enough that a restarted upstream gets
# requests again within a second.
FIRST_AVOID_SECONDS = 0.5
LONGEST_AVOID_SECONDS = 4.0
# An upstream that accepts no connection is tried again after this time.
UNREACHABLE_SECONDS = 0.8
# Upstreams are often replaced one after another; in this time after one, others may follow.
REPLACED_SECONDS = 10.0
# The source of what this instance has found out itself.
OWN_ANSWER = "answer"


class _Suspicion(NamedTuple):
    failures: int
    until: float


class Health:
    """Tracks which upstreams failed lately and which accept no connection.

    Any valid answer clears an upstream. One that accepts no connection is not used until
    it does, although the list may still name it for seconds; after a network partition
    only some of the instances cannot reach it.
    """

    def __init__(
        self,
        outcomes: Outcomes,
        path: OwnPath | None = None,
        connections: NewConnections | None = None,
    ) -> None:
        self._outcomes = outcomes
        self._path = path or OwnPath()
        self._connections = connections or NewConnections()
        self._lock = threading.Lock()
        self._suspicions: dict[str, _Suspicion] = {}
        self._unreachable_until: dict[str, float] = {}
        # When each of them accepted no connection for the first time since its last answer.
        self._unreachable_since: dict[str, float] = {}
        self._replaced_at = float("-inf")
        self._replaced_listeners: list[Callable[[str, str], None]] = []

    def note_failure(self, upstream_id: str) -> None:
        """Note a request that the upstream lost or answered with a failure of its own."""
        self._outcomes.count_failure(upstream_id)
        self._suspect(upstream_id)

    def _suspect(self, upstream_id: str) -> None:
        with self._lock:
            before = self._suspicions.get(upstream_id, _Suspicion(0, 0.0))
            avoid = min(LONGEST_AVOID_SECONDS, FIRST_AVOID_SECONDS * 2**before.failures)
            self._suspicions[upstream_id] = _Suspicion(
                before.failures + 1, time.monotonic() + avoid
            )

    def note_silent(self, upstream_id: str) -> None:
        """Prefer others to an upstream that sends nothing, which may still go on."""
        self._suspect(upstream_id)

    def note_resumed(self, upstream_id: str) -> None:
        """Note that an upstream goes on after a silence."""
        with self._lock:
            if upstream_id not in self._unreachable_until:
                self._suspicions.pop(upstream_id, None)

    def note_unreachable(self, upstream_id: str) -> None:
        """Note a connection that the upstream did not accept."""
        self._suspect(upstream_id)
        with self._lock:
            first = upstream_id not in self._unreachable_until
            now = time.monotonic()
            self._unreachable_until[upstream_id] = now + UNREACHABLE_SECONDS
            self._unreachable_since.setdefault(upstream_id, now)
        if first:
            log_event("upstream_unreachable", level="WARNING", upstream=upstream_id)

    def on_replaced(self, listener: Callable[[str, str], None]) -> None:
        """Call ``listener`` with the id of an upstream that was replaced, and the source."""
        self._replaced_listeners.append(listener)

    def note_replaced(self, upstream_id: str, source: str = OWN_ANSWER) -> None:
        """Note that another process listens at the upstream's address.

        A restarted upstream is listed under its former id for some seconds, and refuses
        each request that is addressed to that id. ``source`` is what tells so.
        """
        with self._lock:
            if self.is_replaced(upstream_id):
                return
            self._unreachable_until[upstream_id] = math.inf
            self._replaced_at = time.monotonic()
        log_event("upstream_replaced", level="WARNING", upstream=upstream_id, source=source)
        for listener in self._replaced_listeners:
            listener(upstream_id, source)

    def replaced(self) -> list[str]:
        """Return the upstreams at whose address another process is known to listen."""
        with self._lock:
            return [key for key, until in self._unreachable_until.items() if until == math.inf]

    @property
    def lately_replaced(self) -> bool:
        """Whether an upstream was found replaced in the last `REPLACED_SECONDS`."""
        return time.monotonic() < self._replaced_at + REPLACED_SECONDS

    def note_misdirected(self, upstream_id: str) -> None:
        """Note a request that the upstream refused for a unit that it lacks."""
        self._outcomes.note_misdirected(upstream_id)

    def note_answer(self, upstream_id: str) -> None:
        """Note a valid answer."""
        self._outcomes.count_answer(upstream_id)
        if upstream_id not in self._suspicions:
            return
        with self._lock:
            self._suspicions.pop(upstream_id, None)
            reached = self._unreachable_until.pop(upstream_id, None)
            self._unreachable_since.pop(upstream_id, None)
        if reached is not None:
            log_event("upstream_reached", upstream=upstream_id)

    def failure_ratio(self, upstream_id: str) -> float:
        """Return the fraction of its requests that an upstream fails, over all instances."""
        return self._outcomes.failure_ratio(upstream_id)

    def is_avoided(self, upstream_id: str) -> bool:
        """Return whether other upstreams are preferred because of recent failures."""
        suspicion = self._suspicions.get(upstream_id)
        return suspicion is not None and time.monotonic() < suspicion.until

    def is_replaced(self, upstream_id: str) -> bool:
        """Return whether another process is known to listen at the upstream's address."""
        return self._unreachable_until.get(upstream_id) == math.inf

    def is_unreachable(self, upstream_id: str) -> bool:
        """Return whether ``upstream_id`` accepted no connection lately, or none can be reached."""
        if self._path.lost or self._connections.is_closed(upstream_id):
            return True
        until = self._unreachable_until.get(upstream_id)
        return until is not None and time.monotonic() < until

    def unreachable_since(self, upstream_ids: Iterable[str]) -> float:
        """Return the monotonic time from which all of ``upstream_ids`` were unreachable."""
        never = float("-inf")
        refused, broken = self._unreachable_since.get, self._connections.broken_since
        times = [time for key in upstream_ids for time in (refused(key), broken(key))]
        return max((time for time in times if time is not None), default=never)

    def forgive(self) -> None:
        """Drop all failures: they came from the path of this instance, which works again."""
        with self._lock:
            self._suspicions.clear()
            self._unreachable_since.clear()
            self._unreachable_until = {
                key: until for key, until in self._unreachable_until.items() if until == math.inf
            }

    @property
    def any_unreachable(self) -> bool:
        """Whether an upstream has accepted no connection since its last answer."""
        return bool(self._unreachable_until or self._connections.broken())

    def all_unreachable(self) -> list[str]:
        """Return the upstreams that have accepted no connection since their last answer."""
        with self._lock:
            return list(self._unreachable_until)

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._suspicions.pop(key, None)
                self._unreachable_until.pop(key, None)
                self._unreachable_since.pop(key, None)
