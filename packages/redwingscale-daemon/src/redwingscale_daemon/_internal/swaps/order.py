"""An order to a model worker."""

from enum import Enum
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit


class Load(NamedTuple):
    """Bring ``unit`` into the worker's memory."""

    unit: Unit


class Unload(NamedTuple):
    """Drop ``unit`` when its runs have ended."""

    unit: Unit


class Order(NamedTuple):
    """``action`` is carried out only while the worker has accepted ``orders_accepted`` orders.

    An order that got no answer may arrive seconds later, after newer ones: the
    number no longer fits then, and the worker refuses it.
    """

    action: Load | Unload
    orders_accepted: int
    leader: str
    fence: int


class OrderResult(Enum):
    """What the worker said to an order."""

    ACCEPTED = "accepted"
    IN_EFFECT = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_UPSTREAM = "other_upstream"
    REFUSED = "refused"
    UNKNOWN = "unknown"
