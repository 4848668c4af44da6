"""Orders that got no answer, and the memory that they may still take."""

import time
from collections.abc import Iterable
from typing import NamedTuple

# An order without an answer may be carried out 2 to 12 s later; a margin on top.
MAX_DELIVERY_SECONDS = 15.0


class UnansweredLoad(NamedTuple):
    """A load that a worker may carry out while it has accepted ``orders_accepted`` orders."""

    orders_accepted: int
    weights_mb: float
    sent_at: float
    is_adapter: bool = False


def pending_mb(loads: Iterable[UnansweredLoad], orders_accepted: int) -> float:
    """Return the memory that loads may take after the order number ``orders_accepted``.

    A process that starts again under its name counts its orders anew. A load that was
    meant for the former start is refused only until the count has come to its number:
    it then arrives beside what was loaded since, and overfills the memory, at which the
    worker crashes under its running models. Loads with that number or a lower one can't
    follow the order about to be sent: only one of the two is accepted.
    """
    return sum(load.weights_mb for load in _still_acceptable(loads, orders_accepted))


def pending_adapters(loads: Iterable[UnansweredLoad], orders_accepted: int) -> int:
    """Return the places that adapters may take after the order number ``orders_accepted``.

    Only one of the orders with one number is accepted.
    """
    following = _still_acceptable(loads, orders_accepted)
    return len({load.orders_accepted for load in following if load.is_adapter})


def _still_acceptable(loads: Iterable[UnansweredLoad], orders_accepted: int) -> list[UnansweredLoad]:
    sent_after = time.monotonic() - MAX_DELIVERY_SECONDS
    return [
        load for load in loads if load.sent_at > sent_after and load.orders_accepted > orders_accepted
    ]
