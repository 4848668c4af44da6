"""An order that may still take effect, and what can become of it."""

from enum import StrEnum
from typing import NamedTuple

from redwingscale_daemon._internal.models.order import Order


class Outcome(StrEnum):
    """How an order ended; a ``VOID`` one never took effect and never will."""

    DONE = "done"
    FAILED = "failed"
    VOID = "void"


class OpenOrder(NamedTuple):
    """``order`` as told to the engine process at ``url``.

    ``sent_by`` is when, on this process's clock, it had gone out if it ever did.
    """

    order: Order
    url: str
    sent_by: float


class ClosedOrder(NamedTuple):
    """An order with its outcome."""

    order: Order
    outcome: Outcome
