"""The parts of the daemon that runs of generation requests use."""

from typing import NamedTuple

from redwingscale_daemon._internal.quarantine.quarantine import Quarantine
from redwingscale_daemon._internal.relay.retry_budget import RetryBudget
from redwingscale_daemon._internal.relay.silence import SilenceBounds
from redwingscale_daemon._internal.routing.router import Router
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing
from redwingscale_daemon._internal.upstreams.engine_client import EngineClient
from redwingscale_daemon._internal.upstreams.engine_control import EngineControl
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_daemon._internal.upstreams.reachability import Reachability


class RunParts(NamedTuple):
    """Parts shared by all runs of an instance."""

    router: Router
    client: EngineClient
    control: EngineControl
    in_flight: InFlight
    reachability: Reachability
    budget: RetryBudget
    silence: SilenceBounds
    quarantine: Quarantine
    tracing: Tracing
    metrics: Metrics
