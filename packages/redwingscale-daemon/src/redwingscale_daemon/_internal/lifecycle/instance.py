"""Starts, drains and stops the parts of an instance."""

import json
import signal
import time
from collections.abc import Sequence
from typing import NamedTuple

from redwingscale_common.network.server import HttpServer
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.idempotency.committer import Committer
from redwingscale_daemon._internal.idempotency.once import Once
from redwingscale_daemon._internal.idempotency.retention import Retention
from redwingscale_daemon._internal.idempotency.settler import Settler
from redwingscale_daemon._internal.lifecycle.readiness import Readiness
from redwingscale_daemon._internal.lifecycle.signals import SignalQueue
from redwingscale_daemon._internal.membership.listener import Listener
from redwingscale_daemon._internal.membership.mesh import Mesh
from redwingscale_daemon._internal.placement.owners import Owners
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing
from redwingscale_daemon._internal.upstreams.plain_watch import PlainWatch
from redwingscale_daemon._internal.utils.periodic import Periodic

# Maximum wait of a drain for calls whose callers have disconnected or timed out, and for
# the platform to store their outcomes.
ABANDONED_CALLS_SECONDS = 60.0
# A balancer that polls may send a last request after its last probe: the drain ends only
# when no request has come for this time.
IDLE_SECONDS = 0.3
SETTLER_STOP_SECONDS = 10.0


class Parts(NamedTuple):
    """The parts that the composition root has wired."""

    callers: HttpServer
    operators: HttpServer
    listener: Listener
    mesh: Mesh
    owners: Owners
    plain_watch: PlainWatch
    committer: Committer
    settler: Settler
    once: Once
    retention: Retention
    readiness: Readiness
    tracing: Tracing
    metrics: Metrics
    tasks: Sequence[Periodic]


class Instance:
    """Runs the parts until SIGTERM or SIGINT, then stops without cutting a request."""

    def __init__(self, parts: Parts, balancer_drain_seconds: float) -> None:
        self._parts = parts
        self._balancer_drain_seconds = balancer_drain_seconds

    def run(self) -> None:
        """Start, print the ports as one JSON line, and return after drain and stop."""
        signals = SignalQueue((signal.SIGTERM, signal.SIGINT))
        self._start()
        signals.next()
        self._drain()
        self._stop()

    def _start(self) -> None:
        parts = self._parts
        parts.listener.start()
        parts.operators.start()
        parts.committer.start()
        parts.settler.start()
        for task in parts.tasks:
            task.start()
        parts.callers.start()
        ports = {
            "callers_port": parts.callers.port,
            "operators_port": parts.operators.port,
            "peers_port": parts.listener.port,
        }
        print(json.dumps(ports), flush=True)
        log_event("started", callers_port=parts.callers.port, operators_port=parts.operators.port)

    def _drain(self) -> None:
        """Become unready, wait until the balancer sees it, and finish all open requests."""
        log_event("draining", open_requests=self._parts.readiness.open_requests)
        self._parts.readiness.drain()
        time.sleep(self._balancer_drain_seconds)
        self._parts.readiness.wait_until_idle(IDLE_SECONDS)
        # Calls whose callers have disconnected or timed out were sent already. They may
        # finish, and their outcomes are stored so that repeated requests get them.
        self._parts.once.wait_until_idle(ABANDONED_CALLS_SECONDS)
        self._parts.settler.stop(SETTLER_STOP_SECONDS)
        self._parts.committer.stop()
        self._parts.retention.flush()

    def _stop(self) -> None:
        parts = self._parts
        parts.callers.stop()
        # Requests that were accepted before the port was closed are still being answered.
        parts.readiness.wait_until_idle()
        parts.owners.stop()
        for task in parts.tasks:
            task.stop()
        parts.plain_watch.stop()
        parts.mesh.stop()
        parts.listener.stop()
        parts.operators.stop()
        parts.tracing.close()
        parts.metrics.close()
        log_event("stopped")
