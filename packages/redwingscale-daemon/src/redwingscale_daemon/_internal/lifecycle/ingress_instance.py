"""Starts and stops an instance whose requests are routed by host and path."""

import signal
import threading
import time
from collections.abc import Callable, Sequence
from functools import partial
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
        """Stop accepting, and end all requests in ``timeout_seconds``."""


class StoppablePort(Protocol):
    """A port that opens by itself when it is needed."""

    def stop(self, timeout_seconds: float = 1.0) -> None:
        """Stop accepting, and end all requests in ``timeout_seconds``."""


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
        self._drain(time.monotonic())
        return 0

    def _drain(self, began_at: float) -> None:
        open_requests = self._parts.open_requests
        ends_at = began_at + max(0.0, self._grace_seconds - EXIT_RESERVE_SECONDS)
        closes_at = min(began_at + BALANCER_REMOVAL_SECONDS, ends_at)
        log_event(
            "draining",
            open_requests=open_requests.count,
            ends_in=round(ends_at - time.monotonic(), 3),
        )
        open_requests.drain(closes_at, ends_at)
        # The store may be slow to answer, and the ports close on time all the same.
        release = self._start_thread("release", self._parts.release)
        time.sleep(max(0.0, closes_at - time.monotonic()))
        log_event("port_closing", open_requests=open_requests.count)
        stops = [
            self._start_thread("stop", partial(stop, max(0.0, ends_at - time.monotonic())))
            for stop in (self._parts.callers.stop, self._parts.peers.stop)
        ]
        exits_at = ends_at + EXIT_RESERVE_SECONDS / 2
        for thread in (*stops, release):
            thread.join(max(0.0, exits_at - time.monotonic()))
        log_event("stopped", open_requests=open_requests.count)
        flush_logs()

    @staticmethod
    def _start_thread(name: str, work: Callable[[], None]) -> threading.Thread:
        thread = threading.Thread(target=work, name=name, daemon=True)
        thread.start()
        return thread
