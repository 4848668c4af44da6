"""Callers that compete for places at a few holders through many instances."""

import random
import time
from functools import partial
from typing import Any

from redwingscale_daemon._internal.admission.place_queue import Decision
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.forwarding.fair_places import FairPlaces, PlaceQueues
from redwingscale_daemon._internal.forwarding.place_try import PlaceTry
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_daemon._internal.swaps.instance_totals import FRESH_SECONDS
from redwingscale_daemon._internal.workspaces.place_shares import PlaceShares
from redwingscale_daemon._internal.workspaces.place_uses import PlaceUses

from redwingscale_standins.returns.caller import Caller, Outcome
from redwingscale_standins.returns.instance import Instance, new_call, prompt_of
from redwingscale_standins.returns.world import UPDATE_DELAY_SECONDS, Clock, World

# Latency targets of the routes of each rank: operation plans, drawing summaries, bulk work.
TARGETS = {0: 1.009, 1: 1.211, 2: 10.011}
RECHECK_SECONDS = 0.05


class PlacesWorld(World):
    """A `World` whose instances have fair places with ``fair``, and the order of return.

    ``lost_leader`` is the time in seconds after which no load or share is announced,
    ``lost_instance`` that at which instance 0 is lost with its waiting requests.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        fair: bool,
        lost_leader: float = float("inf"),
        lost_instance: float = float("inf"),
    ) -> None:
        super().__init__(clock, Mode.ON)
        self._fair = fair
        self._lost_leader = clock.now + lost_leader
        self._lost_instance = clock.now + lost_instance
        self._shares = PlaceShares(clock)
        self._uses = [PlaceUses(clock) for _ in self._instances]
        # Results by rank, as the metrics count them.
        self.results: list[tuple[int, str]] = []
        self._places = [
            self._fair_places(number, one) for number, one in enumerate(self._instances)
        ]

    def _fair_places(self, number: int, instance: Instance) -> FairPlaces:
        return FairPlaces(
            lambda _: TARGETS if self._fair else None,
            PlaceQueues(random.Random(number)),
            self._uses[number],
            instance.fleet.load_tracker,
            instance.fleet.changes,
            lambda rank, result: self.results.append((rank, result)),
            time.monotonic,
        )

    def waiting(self, number: int) -> int:
        """Return the prompt tokens that wait at one instance."""
        own = self._instances[number].fleet.load_tracker.own()
        return sum(load.waiting for load in own.values())

    def _is_lost(self, instance: Instance) -> bool:
        return instance is self._instances[0] and self._clock.now >= self._lost_instance

    def _send(
        self,
        caller: Caller,
        sent_before: tuple[float, ...],
        deadline: float,
        avoided: Instance | None,
    ) -> None:
        usable = [one for one in self._instances if one is not avoided and not self._is_lost(one)]
        instance = self._random.choice(usable)
        sent_at = (*sent_before, self._clock.now)
        call, prompt = new_call(caller, deadline), prompt_of(caller)
        wait = instance.wait
        wait.order.note_arrival(call, prompt)
        choose = partial(wait.chooser.choose_holder, call.service, prompt, call.attempts.tried)
        found = choose()
        assert found is not None
        places = self._places[self._instances.index(instance)]
        holders = wait.holders(call, prompt)
        place = places.begin(call, prompt, found, holders)
        request = (caller, sent_at, deadline, instance, call, prompt)
        if place is None:
            self._finish(request, wait.places.take_place(call, prompt, found, holders))
        else:
            self._decide(request, place, places)

    def _decide(self, request: tuple[Any, ...], place: PlaceTry, places: FairPlaces) -> None:
        instance, call = request[3], request[4]
        if self._is_lost(instance):
            return
        verdict = place.decide()
        if verdict.decision is Decision.WAIT:
            self._at(self._clock.now + RECHECK_SECONDS, self._decide, request, place, places)
            return
        result = places.finish(call, place, verdict)
        place.end()
        self._finish(request, result)

    def _finish(self, request: tuple[Any, ...], result: Candidate | Refusal) -> None:
        caller, sent_at, deadline, instance, call, prompt = request
        if isinstance(result, Candidate):
            self._outcomes.append(Outcome(caller, sent_at, self._begin(caller, instance, result)))
            return
        instance.wait.note_refusal(call, prompt, result)
        if len(sent_at) > 1:
            self._outcomes.append(Outcome(caller, sent_at, None))
            return
        self._return(caller, sent_at, deadline, instance, result)

    def _loads_of(self, instance: Instance) -> dict[str, Load]:
        silent_since = self._clock.now - FRESH_SECONDS
        lost = instance is self._instances[0] and silent_since > self._lost_instance
        return {} if lost else super()._loads_of(instance)

    def _update(self) -> None:
        if self._clock.now < self._lost_leader:
            super()._update()
        for number, uses in enumerate(self._uses):
            if not self._is_lost(self._instances[number]):
                self._shares.receive(uses.drain())
        if self._clock.now < self._lost_leader:
            at = self._clock.now + UPDATE_DELAY_SECONDS
            self._at(at, self._receive_shares, self._shares.shares())

    def _receive_shares(self, shares: dict[str, float]) -> None:
        for uses in self._uses:
            uses.receive(shares)
