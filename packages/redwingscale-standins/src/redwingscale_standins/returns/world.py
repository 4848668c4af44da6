"""Callers that compete for a few holders through many instances, on a simulated clock."""

import heapq
import random
from collections.abc import Callable, Iterable
from itertools import count
from typing import Any, Protocol

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.load_tracker import NO_LOAD, Load, LoadTicket
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_daemon._internal.swaps.announced_returns import AnnouncedReturns
from redwingscale_daemon._internal.swaps.messages import LeaderUpdate, StoreUpdate

from redwingscale_standins.returns.caller import Caller, Outcome
from redwingscale_standins.returns.instance import UNIT, Instance, new_call, prompt_of

HOLDERS = ("u0", "u1", "u2")
INSTANCES = 20
UPDATE_SECONDS = 0.25
# Until the leader's update with an instance's news has reached the others.
UPDATE_DELAY_SECONDS = 0.2
ROUND_TRIP_SECONDS = 0.005
PROMPT_TOKENS_PER_SECOND = 19_200.0
GENERATION_SECONDS = 0.5
WAITED_FRACTION = 1 / 3
LAST_UPDATE_SECONDS = 30.0


class Clock(Protocol):
    """Stands in for `time.monotonic`, and is set by the world."""

    now: float

    def __call__(self) -> float:
        """Return the seconds since some point in time."""


class World:
    """Holders that read prompts in the order of their arrival; updates four times a second.

    A refused caller returns once, through another instance, after the announced time or a third
    of the time until its deadline, whichever is shorter. With ``leader_lost`` no returns are
    announced to other instances. ``clock`` has to replace `time.monotonic` as long as it runs.
    """

    def __init__(self, clock: Clock, mode: Mode, *, leader_lost: bool = False) -> None:
        self._clock = clock
        self._instances = [Instance(n, INSTANCES, HOLDERS, mode) for n in range(INSTANCES)]
        self._leader = AnnouncedReturns(clock)
        self._leader_lost = leader_lost
        self._outcomes: list[Outcome] = []
        self._free_at = dict.fromkeys(HOLDERS, 0.0)
        self._random = random.Random(7)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = count()

    def run(self, callers: Iterable[Caller]) -> list[Outcome]:
        """Return the outcomes of all callers."""
        start, updates_until = self._clock.now, LAST_UPDATE_SECONDS
        for caller in callers:
            updates_until = max(updates_until, caller.at + caller.limit)
            sent_at = start + caller.at
            self._at(sent_at, self._send, caller, (), sent_at + caller.limit, None)
        for step in range(int(updates_until / UPDATE_SECONDS)):
            self._at(start + step * UPDATE_SECONDS, self._update)
        while self._events:
            at, _, action, arguments = heapq.heappop(self._events)
            self._clock.now = max(self._clock.now, at)
            action(*arguments)
        return self._outcomes

    def _at(self, at: float, action: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at, next(self._number), action, arguments))

    def _send(
        self,
        caller: Caller,
        sent_before: tuple[float, ...],
        deadline: float,
        avoided: Instance | None,
    ) -> None:
        instance = self._random.choice([one for one in self._instances if one is not avoided])
        now = self._clock.now
        sent_at = (*sent_before, now)
        try:
            found = instance.wait.choose_holder(new_call(caller, deadline), prompt_of(caller))
        except Refusal as refusal:
            if sent_before:
                self._outcomes.append(Outcome(caller, sent_at, None))
                return
            self._return(caller, sent_at, deadline, instance, refusal)
            return
        assert isinstance(found, Candidate), "the instances here have a path"
        first_event_at = self._begin(caller, instance, found)
        self._outcomes.append(Outcome(caller, sent_at, first_event_at))

    def _return(
        self,
        caller: Caller,
        sent_at: tuple[float, ...],
        deadline: float,
        refused_by: Instance,
        refusal: Refusal,
    ) -> None:
        """Send a refused request again, as told or after the longest time that it waits."""
        announced, now = refusal.retry_after_seconds or 0.0, self._clock.now
        pause = min(announced, (deadline - now) * WAITED_FRACTION)
        returns_at = now + pause + ROUND_TRIP_SECONDS
        self._at(returns_at, self._send, caller, sent_at, deadline, refused_by)

    def _begin(self, caller: Caller, instance: Instance, found: Candidate) -> float:
        """Queue a request at its holder and return the time of its first event."""
        key, now = found.upstream.id, self._clock.now
        ticket = instance.fleet.load_tracker.open_ticket(key, UNIT, caller.tokens)
        reading_seconds = caller.tokens / PROMPT_TOKENS_PER_SECOND
        first_event_at = max(now, self._free_at[key]) + reading_seconds
        self._free_at[key] = first_event_at
        self._at(first_event_at, self._first_event, instance, ticket, found, now)
        self._at(first_event_at + GENERATION_SECONDS, ticket.close)
        return first_event_at

    def _first_event(
        self, instance: Instance, ticket: LoadTicket, found: Candidate, sent_at: float
    ) -> None:
        ticket.note_prompt_read()
        instance.fleet.latency_factors.observe(
            found.upstream.id, found.first_event_ms, (self._clock.now - sent_at) * 1000
        )

    def _update(self) -> None:
        for instance in self._instances:
            self._leader.receive(instance.updates.entries())
        entries = [] if self._leader_lost else self._leader.next_entries()
        nothing_read = StoreUpdate(1, ListUpdate([], [], 0.0, 0, 0), 1, 0.0)
        update = LeaderUpdate(
            "leader", 1, [], False, {}, None, INSTANCES, nothing_read, returns=entries
        )
        own = [self._loads_of(one) for one in self._instances]
        total = {key: _sum(loads.get(key, NO_LOAD) for loads in own) for key in HOLDERS}
        for instance, loads in zip(self._instances, own, strict=True):
            others = {key: _without(total[key], loads.get(key, NO_LOAD)) for key in HOLDERS}
            at = self._clock.now + UPDATE_DELAY_SECONDS
            self._at(at, self._receive, instance, update, others)

    def _loads_of(self, instance: Instance) -> dict[str, Load]:
        return instance.fleet.load_tracker.own()

    def _receive(self, instance: Instance, update: LeaderUpdate, others: dict[str, Load]) -> None:
        instance.updates.receive(update.delayed(UPDATE_DELAY_SECONDS))
        instance.fleet.load_tracker.set_others(others)


def _sum(loads: Iterable[Load]) -> Load:
    return Load(*map(sum, zip(*loads, strict=True)))


def _without(total: Load, own: Load) -> Load:
    return Load(
        total.requests - own.requests,
        total.prompt_tokens - own.prompt_tokens,
        waiting=total.waiting - own.waiting,
    )
