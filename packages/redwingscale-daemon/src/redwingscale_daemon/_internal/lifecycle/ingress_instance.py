"""Starts and stops an instance whose requests are routed by host and path."""

import signal
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from redwingscale_common.utils.logs import flush_logs, log_event

from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests
from redwingscale_daemon._internal.lifecycle.signals import SignalQueue

# The balancer probes once a second and removes an instance after two failed probes.
# Requests that are accepted later than that might not end within the grace period.
BALANCER_REMOVAL_SECONDS = 2.4
# Reserved at the end of the grace period for the process to exit by itself.
EXIT_RESERVE_SECONDS = 0.6
EXIT_START_FAILED = 3


class Task(Protocol):
    """Work that runs in its own thread."""

    def start(self) -> None:
        """Start the thread."""

    def stop(self) -> None:
        """Stop the thread."""


class Server(Protocol):
    """A server on one port."""

    @property
    def port(self) -> int:
        """The bound port."""

    def start(self) -> None:
        """Bind the port and serve; raise OSError if it is in use."""

    def stop(self, timeout_seconds: float = 1.0) -> None:
        """Stop accepting, and wait at most ``timeout_seconds`` for open requests."""


class StoppablePort(Protocol):
    """A port that opens by itself when it is needed."""

    def stop(self, timeout_seconds: float = 1.0) -> None:
        """Stop accepting, and wait at most ``timeout_seconds`` for open requests."""


class IngressParts(NamedTuple):
    """The parts of an instance; ``tasks`` start first, ``probes`` last.

    ``peers`` is the port for requests that other instances pass on.
    """

    callers: Server
    peers: StoppablePort
    probes: Sequence[Server]
    tasks: Sequence[Task]
    open_requests: OpenRequests
    release: Callable[[], None]


class IngressInstance:
    """Runs until SIGTERM or SIGINT, then stops without cutting a request."""

    def __init__(
        self, parts: IngressParts, grace_seconds: float, reload: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._grace_seconds = grace_seconds
        self._reload = reload

    def run(self) -> int:
        """Start all parts, and return the exit code after the last request.

        The threads of the tasks are not joined: each of them waits for the store or a
        peer, so joining them in turn takes seconds in which the machine serves nobody.
        They keep no state that outlasts the process, and the lease is released.
        """
        signals = SignalQueue((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        # The probes start last: the callers' port is open before the balancer sees this
        # instance as ready.
        try:
            for part in (*self._parts.tasks, self._parts.callers, *self._parts.probes):
                part.start()
        except OSError as error:
            log_event("start_failed", level="ERROR", error=error)
            flush_logs()
            return EXIT_START_FAILED
        ports = ",".join(str(probe.port) for probe in self._parts.probes)
        log_event("started", callers_port=self._parts.callers.port, probe_ports=ports)
        while signals.next() == signal.SIGHUP:
            self._reload()
        self._drain(time.monotonic() + self._grace_seconds - EXIT_RESERVE_SECONDS)
        return 0

    def _drain(self, deadline: float) -> None:
        open_requests = self._parts.open_requests
        log_event(
            "draining",
            open_requests=open_requests.count,
            ends_in=round(deadline - time.monotonic(), 3),
        )
        open_requests.drain(deadline)
        self._parts.release()
        time.sleep(BALANCER_REMOVAL_SECONDS)
        log_event("port_closing", open_requests=open_requests.count)
        for port in (self._parts.callers, self._parts.peers):
            port.stop(max(EXIT_RESERVE_SECONDS, deadline - time.monotonic()))
        log_event("stopped", open_requests=open_requests.count)
        flush_logs()
