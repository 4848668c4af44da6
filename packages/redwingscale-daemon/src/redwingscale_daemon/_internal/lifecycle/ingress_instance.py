"""Starts and ends an instance whose requests are routed by host and path."""

import signal
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from redwingscale_common.utils.logs import flush_logs, log_event

from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests
from redwingscale_daemon._internal.lifecycle.signals import SignalQueue

# The balancer asks once a second and takes an instance out after two misses. What
# is accepted later than that could outlast the grace period.
BALANCER_REMOVAL_SECONDS = 2.4
# What is left of the grace period for the process to end by itself.
EXIT_RESERVE_SECONDS = 0.6
EXIT_START_FAILED = 3


class Task(Protocol):
    """Something with a thread of its own."""

    def start(self) -> None:
        """Begin."""

    def stop(self) -> None:
        """End."""


class Server(Protocol):
    """A port."""

    @property
    def port(self) -> int:
        """The port in use."""

    def start(self) -> None:
        """Bind and serve."""

    def stop(self, timeout_seconds: float = 1.0) -> None:
        """Stop accepting, and wait for what is open."""


class IngressParts(NamedTuple):
    """What the composition root has wired; ``callers`` stop first, ``probes`` last."""

    callers: Server
    probes: Sequence[Server]
    tasks: Sequence[Task]
    open_requests: OpenRequests
    release: Callable[[], None]


class IngressInstance:
    """Runs until SIGTERM or SIGINT, then ends without cutting a request."""

    def __init__(
        self, parts: IngressParts, grace_seconds: float, reload: Callable[[], None]
    ) -> None:
        self._parts = parts
        self._grace_seconds = grace_seconds
        self._reload = reload

    def run(self) -> int:
        """Start everything, and return the exit code after the last request.

        The other threads are left as they are: each waits for the store or a peer,
        and to join them one after the other takes seconds in which the machine
        serves nobody. Nothing of theirs lasts, and the lease is released.
        """
        signals = SignalQueue((signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
        # The callers' port is open before the balancer can be told that it is.
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
        log_event("draining", open_requests=open_requests.count)
        open_requests.drain(deadline)
        self._parts.release()
        time.sleep(BALANCER_REMOVAL_SECONDS)
        log_event("port_closing", open_requests=open_requests.count)
        self._parts.callers.stop(max(EXIT_RESERVE_SECONDS, deadline - time.monotonic()))
        log_event("stopped", open_requests=open_requests.count)
        flush_logs()
