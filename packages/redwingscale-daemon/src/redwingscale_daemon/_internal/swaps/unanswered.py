"""Loads without an answer, and the memory that they may still take."""

import time
from collections.abc import Iterable
from typing import NamedTuple

# An order without an answer may be carried out 2 to 12 s later; a margin is added.
MAX_DELIVERY_SECONDS = 15.0


class UnansweredLoad(NamedTuple):
    """A load that a worker may accept while it has accepted ``orders_accepted`` orders."""

    orders_accepted: int
    weights_mb: float
    sent_at: float
    is_adapter: bool = False


def pending_mb(loads: Iterable[UnansweredLoad], orders_accepted: int) -> float:
    """Return the memory that loads may still take after the order number ``orders_accepted``.

    A process that restarts under the same name counts its orders from zero. A load sent to the
    former process is refused only until the new count reaches its number. It is then carried out
    in addition to what was loaded since and overfills the memory, and the worker crashes with its
    running models. Loads with ``orders_accepted`` or a lower number cannot be carried out after
    the order about to be sent: only one order with each number is accepted.
    """
    return sum(load.weights_mb for load in _still_acceptable(loads, orders_accepted))


def pending_adapters(loads: Iterable[UnansweredLoad], orders_accepted: int) -> int:
    """Return the slots that adapters may still take after the order number ``orders_accepted``.

    Only one of the orders with the same number is accepted.
    """
    following = _still_acceptable(loads, orders_accepted)
    return len({load.orders_accepted for load in following if load.is_adapter})


def _still_acceptable(
    loads: Iterable[UnansweredLoad], orders_accepted: int
) -> list[UnansweredLoad]:
    sent_after = time.monotonic() - MAX_DELIVERY_SECONDS
    return [
        load
        for load in loads
        if load.sent_at > sent_after and load.orders_accepted > orders_accepted
    ]
