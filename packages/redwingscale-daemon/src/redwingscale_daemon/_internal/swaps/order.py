"""Orders to model workers and their results."""

from enum import Enum
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit


class Load(NamedTuple):
    """Load ``unit`` into the worker's memory."""

    unit: Unit


class Unload(NamedTuple):
    """Unload ``unit`` once the requests that run on it have ended."""

    unit: Unit


class Order(NamedTuple):
    """An order; carried out only while the worker has accepted ``orders_accepted`` orders.

    An order without an answer may be delivered seconds later, after newer ones: its number no
    longer matches then, and the worker refuses it.
    """

    action: Load | Unload
    orders_accepted: int
    leader: str
    fence: int


class OrderResult(Enum):
    """A worker's answer to an order.

    `IN_EFFECT` means that the unit is loaded or unloaded already, `ACCEPTED` that it will be.
    `UNKNOWN` stands for no answer: the order may be carried out or not.
    """

    ACCEPTED = "accepted"
    IN_EFFECT = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_UPSTREAM = "other_upstream"
    REFUSED = "refused"
    UNKNOWN = "unknown"
