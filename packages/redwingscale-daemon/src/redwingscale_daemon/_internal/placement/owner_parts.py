"""The objects that the owners of all engines share."""

from typing import NamedTuple

from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.leases.clock import Clock, lease_clock
from redwingscale_daemon._internal.leases.ownership import Ownership
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.placement.drain_acks import DrainAcks
from redwingscale_daemon._internal.placement.intents import IntentStore
from redwingscale_daemon._internal.placement.move_history import MoveHistory
from redwingscale_daemon._internal.placement.plan_follower import PlanFollower
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.upstreams.directory import Directory
from redwingscale_daemon._internal.upstreams.engine_control import EngineControl


class OwnerParts(NamedTuple):
    """Built once by the composition root."""

    control: EngineControl
    gossip: GossipState
    directory: Directory
    plans: PlanFollower
    current: CurrentConfiguration
    ownership: Ownership
    intents: IntentStore
    acks: DrainAcks
    metrics: Metrics
    moves: MoveHistory
    clock: Clock = lease_clock
