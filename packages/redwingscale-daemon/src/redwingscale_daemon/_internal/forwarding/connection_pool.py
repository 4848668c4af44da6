"""Idle connections to upstreams, reused for later requests."""

import threading
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from redwingscale_daemon._internal.forwarding.upstream_connection import (
    CONNECT_SECONDS,
    SECOND_CONNECT_SECONDS,
    UpstreamConnection,
)
from redwingscale_daemon._internal.forwarding.watch import Watch
from redwingscale_daemon._internal.ingress.descriptor_limits import MAX_IDLE_CONNECTIONS

# Upstreams that announce no idle timeout close idle connections after some seconds. A
# request sent while the connection closes is lost, and may or may not have run.
DEFAULT_IDLE_SECONDS = 2.0
# The upstream counts the idle time from when it sent the last byte, this side from
# when the byte arrived.
IDLE_MARGIN_SECONDS = 0.7
MAX_IDLE_PER_UPSTREAM = 32


class Endpoint(Protocol):
    """An upstream, or another instance that takes requests."""

    @property
    def id(self) -> str:
        """Identifies the process."""

    @property
    def host(self) -> str:
        """The host that it listens on."""

    @property
    def port(self) -> int:
        """The port that it listens on."""


class ConnectionPool:
    """Idle connections by upstream id.

    A restarted upstream has a new id, so its old connections are never reused. At most
    ``max_idle`` are kept for all upstreams together.
    """

    def __init__(self, max_idle: int = MAX_IDLE_CONNECTIONS) -> None:
        self._max_idle, self._idle_count = max_idle, 0
        self._lock = threading.Lock()
        self._idle_by_upstream: dict[str, list[UpstreamConnection]] = defaultdict(list)
        self.opened = 0
        # Called with an upstream id if its end has closed an idle connection before its time.
        self.on_broken: Callable[[str], None] = lambda upstream_id: None

    def take_idle(self, upstream: Endpoint, request_id: str) -> UpstreamConnection | None:
        """Return an idle connection that is open and has no unread bytes, None without one.

        One that has carried a request with the same id stays idle: answers are told apart by
        the id of their request.
        """
        while (connection := self._pop(upstream.id, request_id)) is not None:
            fresh = time.monotonic() < connection.expires_at
            if fresh and connection.is_reusable():
                return connection
            connection.discard()
            if fresh:
                self.on_broken(upstream.id)
        return None

    def has_idle(self, upstream_id: str) -> bool:
        """Return whether a connection to an upstream is idle and was not closed for its age."""
        now = time.monotonic()
        with self._lock:
            return any(now < one.expires_at for one in self._idle_by_upstream.get(upstream_id, ()))

    def open_second(self, upstream: Endpoint, watch: Watch) -> UpstreamConnection:
        """Return a new connection in place of an idle one; raises as `open`.

        Idle connections may be as dead as a silent one. Upstreams accept a bounded number.
        """
        if (idle := self._pop(upstream.id)) is not None:
            idle.discard()
        return self.open(upstream, watch, SECOND_CONNECT_SECONDS)

    def open(
        self,
        upstream: Endpoint,
        watch: Watch | None = None,
        connect_seconds: float = CONNECT_SECONDS,
    ) -> UpstreamConnection:
        """Return a new connection; raises the errors of `UpstreamConnection.connect`."""
        connection = UpstreamConnection(upstream.host, upstream.port, connect_seconds)
        connection.connect(watch)
        with self._lock:
            self.opened += 1
        return connection

    def put_back(
        self, upstream: Endpoint, connection: UpstreamConnection, idle_seconds: float | None
    ) -> None:
        """Keep ``connection`` after a complete response, if it can be reused.

        ``idle_seconds`` is the upstream's idle timeout, None if it announced none.
        """
        connection.end_request()
        allowed = DEFAULT_IDLE_SECONDS if idle_seconds is None else idle_seconds
        connection.expires_at = time.monotonic() + allowed - IDLE_MARGIN_SECONDS
        with self._lock:
            idle = self._idle_by_upstream[upstream.id]
            has_room = len(idle) < MAX_IDLE_PER_UPSTREAM and self._idle_count < self._max_idle
            keep = has_room and allowed > IDLE_MARGIN_SECONDS
            if keep:
                idle.append(connection)
                self._idle_count += 1
        if not keep:
            connection.discard()

    def forget(self, upstream_ids: set[str]) -> None:
        """Close the idle connections to upstreams that are no longer listed."""
        with self._lock:
            gone = [self._idle_by_upstream.pop(key, []) for key in upstream_ids]
            self._idle_count -= sum(map(len, gone))
        for connections in gone:
            for connection in connections:
                connection.discard()

    def _pop(self, upstream_id: str, request_id: str = "") -> UpstreamConnection | None:
        with self._lock:
            idle = self._idle_by_upstream.get(upstream_id, [])
            usable = (one for one in reversed(idle) if not one.has_carried(request_id))
            if (found := next(usable, None)) is not None:
                idle.remove(found)
                self._idle_count -= 1
            return found
