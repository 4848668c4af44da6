"""The request path of one instance, up to the choice of a holder."""

import random
import time
from types import SimpleNamespace
from typing import Any

from redwingscale_daemon._internal.admission.return_book import ReturnBook
from redwingscale_daemon._internal.composition.ordered_return import (
    ReturnUpdates,
    build_ordered_return,
)
from redwingscale_daemon._internal.fleet.chooser import Chooser
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.prompt import Prompt, PromptPart
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.unplanned_units import UnplannedUnits
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.forwarding.holder_wait import HolderWait
from redwingscale_daemon._internal.forwarding.stream_binding import StreamBinding
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule, ServiceRule
from redwingscale_daemon._internal.routes.urgency import Urgency
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_daemon._internal.swaps.local_demand import LocalDemand

from redwingscale_standins.returns.caller import Caller

SERVICE, UNIT = "llm", Unit("m")
# A model of the largest size: its load from the weight store outlasts the demand for it.
MODEL = ModelRule(UNIT.model, 72_700.0, 1.0, 0, 8.6, 1.7, 1.3)
ENGINE = EngineRule(64, 100_000, 200_000.0, 8, 9.0, {UNIT.model: MODEL})


class Instance:
    """One of some ``instances``; its clock is `time.monotonic`, which the user replaces."""

    def __init__(self, number: int, instances: int, holders: tuple[str, ...], mode: Mode) -> None:
        self.fleet = new_fleet()
        self.fleet.directory.replace(map(_holder, holders))
        routes = CurrentRoutes()
        services = {SERVICE: ServiceRule(SERVICE, 100, ENGINE)}
        routes.offer(RouteTable(1, (), services, IngressLimits(1, 1, 1.0, 1.0)))
        self.updates = ReturnUpdates(ReturnBook(time.monotonic), UnplannedUnits(time.monotonic))
        self.demand = LocalDemand()
        # The results that the metrics would count.
        self.results: list[str] = []
        chooser = Chooser("z1", self.fleet, lambda: instances)
        chooser._random = random.Random(number)
        order = build_ordered_return(
            mode, self.updates, routes, self.fleet, self.demand, self.results.append
        )._replace(spread=random.Random(number).random, clock=time.monotonic)
        self.wait = HolderWait(
            chooser,
            self.fleet.changes,
            self.fleet.residency,
            self.demand,
            OpenRequests(),
            self.fleet.gate,
            order=order,
        )


def new_call(caller: Caller, deadline: float) -> Any:
    """Return the `Call` of ``caller`` that arrives now, with what a choice needs of it."""
    now = time.monotonic()
    return SimpleNamespace(
        service=SERVICE,
        urgency=Urgency(caller.rank),
        route=SimpleNamespace(
            latency_target_seconds=caller.target,
            first_event_seconds=min(caller.limit, max(2.0, 4 * caller.target)),
        ),
        attempts=SimpleNamespace(
            binding=StreamBinding(),
            tried=set(),
            unreached=set(),
            count=0,
            last_event_at=None,
            returning=False,
            certainly_not_run=True,
            history=[],
        ),
        request=SimpleNamespace(arrived_at=now),
        terms=SimpleNamespace(request_id=f"{caller.name}-{now:.3f}", key_digest=b"k"),
        permit=SimpleNamespace(
            workspace=SimpleNamespace(name=caller.workspace) if caller.workspace else None
        ),
        watch=SimpleNamespace(
            remaining=lambda: max(0.0, deadline - time.monotonic()), check_caller=lambda: None
        ),
    )


def prompt_of(caller: Caller) -> Prompt:
    """Return the prompt, which is the same at each try."""
    return Prompt(UNIT, caller.tokens, 11, (PromptPart(caller.name, caller.tokens),))


def _holder(name: str) -> Upstream:
    resident = {UNIT.model: ResidentModel(UNIT.model, 1, frozenset())}
    nothing: frozenset[str] = frozenset()
    return Upstream(
        name, SERVICE, "127.0.0.1", 1, "z1", 64, False, None, resident, nothing, nothing
    )
