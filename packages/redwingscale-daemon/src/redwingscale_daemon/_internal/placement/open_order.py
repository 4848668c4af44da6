"""Orders to engines while they may still take effect, and their outcomes."""

from enum import StrEnum
from typing import NamedTuple

from redwingscale_daemon._internal.models.order import Order


class Outcome(StrEnum):
    """How an order ended; a ``VOID`` one has not taken effect and never will."""

    DONE = "done"
    FAILED = "failed"
    VOID = "void"


class OpenOrder(NamedTuple):
    """An order for the engine process at ``url``.

    ``sent_by`` is the latest time, on this process's clock, at which it can have been sent.
    """

    order: Order
    url: str
    sent_by: float


class ClosedOrder(NamedTuple):
    """An order with its outcome."""

    order: Order
    outcome: Outcome
