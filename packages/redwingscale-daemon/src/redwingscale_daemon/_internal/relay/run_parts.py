"""What every run of a generation request works with."""

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
    """Shared by all runs of one instance."""

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
