"""Sends orders to one engine: writes an intent first, and checks the lease before each."""

import math

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import LeaseLost, PlatformError, UpstreamError
from redwingscale_daemon._internal.leases.grant import Grant
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.placement.intents import IntentStore
from redwingscale_daemon._internal.placement.ledger import Ledger
from redwingscale_daemon._internal.placement.open_order import OpenOrder
from redwingscale_daemon._internal.placement.owner_parts import OwnerParts
from redwingscale_daemon._internal.upstreams.engine_control import Guard

# What must remain of the lease to send an order to an engine without fencing. The
# remaining time is also the timeout of the call, so it ends within the lease.
MIN_LEASE_SECONDS = 0.25


class OrderSender:
    """Keeps the ledger of one engine and its row of intents."""

    def __init__(self, parts: OwnerParts) -> None:
        self._parts = parts
        self._intents: IntentStore = parts.intents
        self._version: int | None = None
        self._fence = 0
        self._written: set[str] = set()
        self.ledger = Ledger()

    def take_over(self, engine: EngineMember, grant: Grant) -> None:
        """Add the intents of earlier owners to the ledger, once for each grant.

        Raises `PlatformError` if they cannot be read for an engine without fencing, where
        they may still take effect. With fencing they cannot once the fence is raised, and
        the report shows the orders that the engine accepted before.
        """
        if self._fence == grant.fence and (self._version is not None or engine.checks_fencing):
            return
        try:
            self._read(engine)
        except PlatformError:
            if not engine.checks_fencing:
                raise
        self._fence = grant.fence

    def send(self, engine: EngineMember, grant: Grant, orders: list[Order]) -> None:
        """Write the open orders and ``orders`` as intents, then send ``orders``."""
        opened = [OpenOrder(order, engine.url, self._parts.clock()) for order in orders]
        ids = {o.order.order_id for o in (*self.ledger.open_orders(), *opened)}
        if ids == self._written:
            return
        if not self._write(engine, grant, opened):
            return
        self.ledger.add(opened)
        for order in orders:
            self._send_one(engine, grant, order)

    def drop(self, order: Order) -> None:
        """Remove an order that was certainly not sent."""
        self.ledger.drop(order.order_id)

    def _read(self, engine: EngineMember) -> None:
        version, intents = self._intents.read(engine.id)
        now = self._parts.clock()
        self.ledger.add(OpenOrder(i.order, i.url, now) for i in intents)
        self._version = version
        self._written = {i.order.order_id for i in intents}

    def _write(self, engine: EngineMember, grant: Grant, opened: list[OpenOrder]) -> bool:
        orders = [*self.ledger.open_orders(), *opened]
        version, self._version = self._version, None
        try:
            if version is None:
                version = self._intents.read(engine.id).version
            owner = self._parts.ownership.check(grant)
            self._version = self._intents.write(engine.id, orders, version, owner)
        except PlatformError as error:
            log_event("intents_not_written", level="WARNING", upstream=engine.id, error=error)
        if self._version is not None:
            self._written = {o.order.order_id for o in orders}
        # An engine with fencing rejects orders of a former owner, and its report shows the
        # successor which orders it accepted, so the intent is not needed.
        return self._version is not None or engine.checks_fencing

    def _send_one(self, engine: EngineMember, grant: Grant, order: Order) -> None:
        fields = {
            "upstream": engine.id,
            "order": order.order_id,
            "action": "load" if order.load else "unload",
            "unit": order.unit,
            "fence": str(order.fence),
        }
        try:
            self._parts.control.order(engine, order, self._guard(engine, grant))
        except LeaseLost as error:
            self.drop(order)
            log_event("order_withheld", level="WARNING", **fields, error=error)
            return
        except UpstreamError as error:
            self.ledger.set_sent(order.order_id, self._parts.clock())
            log_event("order_unsure", level="WARNING", **fields, run=error.run, error=error)
            if error.run is RunState.NOT_RUN:
                self.drop(order)
            return
        self.ledger.set_sent(order.order_id, self._parts.clock())
        self._parts.metrics.orders.add(1, {"upstream": engine.id, "action": fields["action"]})
        log_event("order_sent", **fields)

    def _guard(self, engine: EngineMember, grant: Grant) -> Guard:
        if engine.checks_fencing:
            return lambda: math.inf
        return lambda: self._remaining(grant)

    def _remaining(self, grant: Grant) -> float:
        remaining = self._parts.ownership.remaining_seconds(grant)
        if remaining < MIN_LEASE_SECONDS:
            raise LeaseLost(f"{remaining:.3f} s left of the lease of {grant.name}")
        return remaining
