"""Gives places at holders by urgency, spare time and workspace."""

import random
import threading
import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.admission.place_queue import (
    Decision,
    PlaceQueue,
    PlaceTicket,
    Verdict,
)
from redwingscale_daemon._internal.admission.place_request import PlaceRequest
from redwingscale_daemon._internal.admission.queue_limit import Standing, queue_limit
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.load_tracker import LoadTracker
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.place_rule import FIRST_COME_FIRST_SERVED, Holders
from redwingscale_daemon._internal.forwarding.place_try import PlaceTry
from redwingscale_daemon._internal.routes.urgency import LOWEST_PRIORITY
from redwingscale_daemon._internal.workspaces.place_uses import PlaceUses

MILLISECONDS_PER_SECOND = 1000.0
# How often a waiting request checks that its caller is still connected.
CALLER_CHECK_SECONDS = 0.05


class PlaceQueues:
    """The queues of waiting requests, by service and unit."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._lock = threading.Lock()
        self._by_unit: dict[tuple[str, Unit], PlaceQueue] = {}

    def get(self, service: str, unit: Unit) -> PlaceQueue:
        """Return the queue of a unit."""
        with self._lock:
            return self._by_unit.setdefault((service, unit), PlaceQueue(self._random))


class FairPlaces(NamedTuple):
    """The `PlaceRule` of services with the feature on.

    ``targets`` returns the shortest latency target of the routes of each rank of a service,
    None where the feature is off. ``record`` counts a result by rank for the metrics.
    """

    targets: Callable[[str], Mapping[int, float] | None]
    queues: PlaceQueues
    uses: PlaceUses
    load_tracker: LoadTracker
    changes: Changes
    record: Callable[[int, str], None]
    clock: Callable[[], float] = time.monotonic

    def take_place(
        self, call: Call, prompt: Prompt, found: Candidate, holders: Holders
    ) -> Candidate | Refusal:
        """Return the holder, waiting for a place there, or why there is no place in time.

        A request that was already sent to an upstream is not delayed any further.
        """
        place = self.begin(call, prompt, found, holders)
        if place is None:
            return FIRST_COME_FIRST_SERVED.take_place(call, prompt, found, holders)
        try:
            seen = self.changes.count
            verdict = place.decide()
            if verdict.decision is Decision.WAIT:
                self.note_wait(call, prompt, place, verdict)
            while verdict.decision is Decision.WAIT:
                self.changes.wait(seen, CALLER_CHECK_SECONDS)
                seen = self.changes.count
                holders.check()
                if place.due:
                    verdict = place.decide()
            return self.finish(call, place, verdict)
        finally:
            place.end()

    def begin(
        self, call: Call, prompt: Prompt, found: Candidate, holders: Holders
    ) -> PlaceTry | None:
        """Return the search for a place, None for requests to which these rules do not apply."""
        targets = None if call.attempts.count else self.targets(call.service)
        if targets is None:
            return None
        request = self._place_request(call, prompt, found, targets)
        if not request.returning:
            # A returning request was counted before.
            self.uses.note_offered(request.workspace, request.tokens)
        queue = self.queues.get(call.service, prompt.unit)
        return PlaceTry(PlaceTicket(request), queue, found, holders, self.load_tracker, self.clock)

    def finish(self, call: Call, place: PlaceTry, verdict: Verdict) -> Candidate | Refusal:
        """Return the holder or the refusal, and count it."""
        request, result = place.ticket.arrival, place.result(verdict)
        match result:
            case Refusal():
                name = "refused"
            case _:
                name = "guaranteed" if verdict.reason == "guaranteed" else "sent"
        self.record(request.rank, f"{name}_after_wait" if place.waited else name)
        if place.waited or name != "sent":
            log_event(
                "place_refused" if name == "refused" else "place_taken",
                request=call.terms.request_id,
                upstream=place.found.upstream.id,
                rank=request.rank,
                reason=verdict.reason,
                waited=round(place.waited_seconds, 3),
                queue=round(place.queue_seconds, 3),
                limit=round(request.limit_at(self.clock()), 3),
            )
        return result

    def note_wait(self, call: Call, prompt: Prompt, place: PlaceTry, verdict: Verdict) -> None:
        """Log that a request waits, and why."""
        request, now = place.ticket.arrival, self.clock()
        log_event(
            "waits_for_place",
            request=call.terms.request_id,
            unit=prompt.unit,
            reason=verdict.reason,
            rank=request.rank,
            workspace=request.workspace or "-",
            share=round(request.share, 2),
            upstream=place.found.upstream.id,
            queue=round(place.queue_seconds, 3),
            limit=round(request.limit_at(now), 3),
            spare=round(request.spare_at(now, place.wait_seconds), 3),
        )

    def _place_request(
        self, call: Call, prompt: Prompt, found: Candidate, targets: Mapping[int, float]
    ) -> PlaceRequest:
        workspace = call.permit.workspace.name if call.permit.workspace else ""
        beyond = self.uses.is_beyond(workspace)
        urgency, target = call.urgency, call.route.latency_target_seconds
        route_rank = min(urgency.route, LOWEST_PRIORITY)
        standing = Standing(route_rank, urgency.workspace, urgency.workspaces)
        own_ms = max(0.0, found.expected_ms - found.queue_ms)
        return PlaceRequest(
            workspace,
            urgency.rank,
            urgency.weight,
            prompt.tokens_in,
            call.request.arrived_at,
            min(target, call.watch.remaining()),
            own_ms / MILLISECONDS_PER_SECOND,
            queue_limit(standing, target, targets, beyond_share=beyond),
            self.uses.share(workspace),
            beyond,
            call.attempts.returning,
        )
