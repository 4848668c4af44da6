"""The dependencies that both relays share, as one value for wiring."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.backpressure_tracker import BackpressureTracker
from redwingscale_daemon._internal.fleet.chooser import Chooser
from redwingscale_daemon._internal.fleet.health import Health
from redwingscale_daemon._internal.fleet.latency_factors import LatencyFactors
from redwingscale_daemon._internal.fleet.load_tracker import LoadTracker
from redwingscale_daemon._internal.fleet.own_path import OwnPath
from redwingscale_daemon._internal.fleet.send_gate import SendGate
from redwingscale_daemon._internal.fleet.stream_pauses import StreamPauses
from redwingscale_daemon._internal.forwarding.crash_guard import CrashGuard
from redwingscale_daemon._internal.forwarding.detour import Detour
from redwingscale_daemon._internal.forwarding.dialect import Dialect
from redwingscale_daemon._internal.forwarding.peer_relay import PeerRelay
from redwingscale_daemon._internal.forwarding.repeat_budget import RepeatBudget
from redwingscale_daemon._internal.forwarding.sender import Sender


class RelayParts(NamedTuple):
    """The components that send requests and track the state of upstreams."""

    dialect: Dialect
    sender: Sender
    chooser: Chooser
    load_tracker: LoadTracker
    health: Health
    latency_factors: LatencyFactors
    budget: RepeatBudget
    gate: SendGate
    backpressure: BackpressureTracker
    guard: CrashGuard
    path: OwnPath
    detour: Detour
    peers: PeerRelay
    pauses: StreamPauses | None = None
