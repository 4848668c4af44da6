"""Wires the order in which refused requests return."""

import random
import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_daemon._internal.admission.booked_return import BookedReturn
from redwingscale_daemon._internal.admission.return_book import ReturnBook
from redwingscale_daemon._internal.fleet.fleet import Fleet
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.unplanned_units import UnplannedUnits
from redwingscale_daemon._internal.forwarding.holder_work import HolderWork
from redwingscale_daemon._internal.forwarding.load_outlook import LoadOutlook
from redwingscale_daemon._internal.forwarding.ordered_return import OrderedReturn, RefusedSink
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.settings.scheduling import Mode, is_on
from redwingscale_daemon._internal.swaps.messages import LeaderUpdate, ReturnEntry


class ReturnUpdates(NamedTuple):
    """What the updates of the leader and of this instance carry about returns."""

    book: ReturnBook
    unplanned: UnplannedUnits

    def receive(self, update: LeaderUpdate) -> None:
        """Take the leader's update, whose ages include its delay."""
        self.unplanned.receive(update.unplanned)
        now = time.monotonic()
        self.book.receive(_booked_return(entry, now) for entry in update.returns)

    def entries(self) -> list[ReturnEntry]:
        """Return the bookings that this instance has made since the previous call."""
        now = time.monotonic()
        return [_return_entry(booked, now) for booked in self.book.drain()]


def new_return_updates() -> ReturnUpdates:
    """Return an empty book and list."""
    return ReturnUpdates(ReturnBook(), UnplannedUnits())


def build_ordered_return(
    mode: Mode,
    updates: ReturnUpdates,
    routes: CurrentRoutes,
    fleet: Fleet,
    demand: RefusedSink,
    count: Callable[[str], None],
) -> OrderedReturn:
    """Return the rules for the services where the feature is on by ``mode``."""

    def engine_of(service: str) -> EngineRule | None:
        table = routes.get()
        rule = table.services_by_name.get(service) if table is not None else None
        return rule.engine if rule else None

    # Not used for secrets, only to spread the returns.
    spread = random.Random()  # noqa: S311
    return OrderedReturn(
        lambda service: is_on(mode, engine_of(service)),
        updates.book,
        HolderWork(fleet),
        LoadOutlook(fleet.residency, fleet.directory, updates.unplanned, engine_of),
        demand,
        spread.random,
        count,
    )


def _booked_return(entry: ReturnEntry, now: float) -> BookedReturn:
    return BookedReturn(
        entry.service,
        Unit(entry.model, entry.adapter),
        entry.request,
        now + entry.seconds,
        entry.tokens,
        entry.rank,
    )


def _return_entry(booked: BookedReturn, now: float) -> ReturnEntry:
    return ReturnEntry(
        booked.service,
        booked.unit.model,
        booked.unit.adapter,
        booked.digest,
        round(booked.due_at - now, 3),
        booked.tokens,
        booked.rank,
    )
