"""Which scheduling features are on for a service."""

from enum import Enum
from typing import NamedTuple

from redwingscale_daemon._internal.routes.service_rule import EngineRule


class Mode(Enum):
    """When a feature is on; `AUTO` depends on the engines of the service."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"


class Scheduling(NamedTuple):
    """The mode of each scheduling feature.

    ``stream_pauses`` places prompts by the pauses that they cause in other streams.
    ``copy_aware_swaps`` plans swaps by the copies of weights that upstreams have in memory
    and on disk; ``staged_copies`` makes copies that nobody has asked for yet.
    ``first_event_estimates`` learns the time to a first event from all instances.
    ``ordered_return`` gives refused callers a time to return and serves them
    before new ones. ``fair_places`` queues requests that compete for a holder.
    ``lost_swaps`` gives up swaps at upstreams that the leader cannot reach.
    """

    stream_pauses: Mode = Mode.AUTO
    copy_aware_swaps: Mode = Mode.AUTO
    staged_copies: Mode = Mode.OFF
    first_event_estimates: Mode = Mode.OFF
    ordered_return: Mode = Mode.AUTO
    fair_places: Mode = Mode.AUTO
    lost_swaps: Mode = Mode.AUTO


def is_on(mode: Mode, engine: EngineRule | None) -> bool:
    """Return whether a feature with ``mode`` applies to a service with ``engine``.

    If loads outlast demand, an overloaded model cannot be relieved by loading it at
    another upstream, and its callers compete for the holders that there are.
    """
    match mode:
        case Mode.ON:
            return engine is not None
        case Mode.OFF:
            return False
        case Mode.AUTO:
            return engine is not None and engine.loads_outlast_demand
