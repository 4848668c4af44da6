"""Instances in simulated time in front of one upstream that has a rate limit for a while."""

import random
from collections import defaultdict, deque
from collections.abc import Iterable
from contextlib import AbstractContextManager
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.rate_limits import RateLimits
from redwingscale_daemon._internal.swaps.permit_issuer import PermitIssuer
from redwingscale_daemon._internal.swaps.rate_limit_gossip import FANOUT

from redwingscale_standins.rate_limits.rule import NOTICE_SECONDS, WINDOW_SECONDS, most_allowed

STEP_SECONDS = 0.05
UPDATE_STEPS = 5
# After which instances take an order giver for lost.
SILENT_SECONDS = 0.5
ANSWER_STEPS = 2
UPSTREAM = "u"
MAX_WAIT_SECONDS = 2.0
# An instance is told by an answer that it has passed on this long ago.
INFORMED_SECONDS = 0.5


class History(NamedTuple):
    """What happens: ``asked`` requests a second in all, news that are lost, givers that end.

    Before the upstream names its rate ``asked_before`` come.
    """

    instances: int
    rate: float
    offered: float
    offered_before: float = 8.0
    lost_fraction: float = 0.0
    leader_ends_at: float = float("inf")
    next_leader_after: float = 3.0
    named_at: float = 2.0
    ends_at: float = 14.0
    until: float = 16.0
    seed: int = 1


class Sent(NamedTuple):
    """One request that has come to the upstream."""

    at: float
    instance: int


class _Waiting(NamedTuple):
    """A request that waits, and what counts it meanwhile."""

    since: float
    counted: AbstractContextManager[None]


class RateModel:
    """Plays one history; what was sent is in ``sent``."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.now = 0.0
        # Not for secrets.
        self.random = random.Random(history.seed)
        self.rates = [
            RateLimits(f"i{n}", lambda: history.instances, clock=lambda: self.now)
            for n in range(history.instances)
        ]
        self.issuer = PermitIssuer(clock=lambda: self.now)
        self._waiting: dict[int, deque[_Waiting]] = defaultdict(deque)
        self.sent: list[Sent] = []
        # Instances that have told the order giver all that they know.
        self._sent_snapshot: set[int] = set()
        # Instances that an answer has told of another limit: the order giver hears at once.
        self._changed: set[int] = set()
        self.informed_at: dict[int, float] = {}
        # The step at which each comes, the instance, and when its request was sent.
        self._answers: list[tuple[int, int, float]] = []

    def run(self) -> "RateModel":
        """Play it to its end."""
        for step in range(round(self.history.until / STEP_SECONDS)):
            self.now = step * STEP_SECONDS
            self._arrive(step)
            self._gossip()
            if step % UPDATE_STEPS == 0:
                self._exchange_updates(range(self.history.instances), periodic=True)
            elif self._changed:
                self._exchange_updates(self._changed, periodic=False)
            self._changed = set()
            self._receive_answers(step)
        return self

    def _arrive(self, step: int) -> None:
        unlimited = self.now < self.history.named_at
        offered = (
            self.history.offered_before if unlimited else self.history.offered
        ) * STEP_SECONDS
        for _ in range(int(offered) + (self.random.random() < offered % 1)):
            instance = self.random.randrange(self.history.instances)
            waiting = self.rates[instance].waiting([UPSTREAM])
            waiting.__enter__()
            self._waiting[instance].append(_Waiting(self.now, waiting))
        for instance, queue in self._waiting.items():
            while queue and self._leaves_queue(instance, queue[0], step):
                queue.popleft().counted.__exit__(None, None, None)

    def _leaves_queue(self, instance: int, first: "_Waiting", step: int) -> bool:
        rates = self.rates[instance]
        if rates.may_send(UPSTREAM) and rates.draw(UPSTREAM):
            self.sent.append(Sent(self.now, instance))
            self._answers.append((step + ANSWER_STEPS, instance, self.now))
            return True
        return self.now - first.since > MAX_WAIT_SECONDS

    def _receive_answers(self, step: int) -> None:
        due = [one for one in self._answers if one[0] == step]
        for _, instance, sent_at in due:
            before = self.rates[instance].per_second(UPSTREAM)
            if self.history.named_at <= self.now < self.history.ends_at:
                self.informed_at.setdefault(instance, self.now)
                self.rates[instance].note_limit(UPSTREAM, self.history.rate, "answer")
            else:
                self.rates[instance].note_no_limit(UPSTREAM, sent_at, "answer")
            if self.rates[instance].per_second(UPSTREAM) != before:
                self._changed.add(instance)

    def _gossip(self) -> None:
        """Let instances tell their peers what they have learned, while nobody gives orders."""
        ended = self.history.leader_ends_at
        if self.now < ended + SILENT_SECONDS or self.now >= ended + self.history.next_leader_after:
            return
        changed = [rates.drain_changed() for rates in self.rates]
        for entries in filter(None, changed):
            for peer in self.random.sample(self.rates, min(FANOUT, len(self.rates))):
                if self.random.random() >= self.history.lost_fraction:
                    peer.receive_from_peer(entries)

    def _exchange_updates(self, instances: Iterable[int], *, periodic: bool) -> None:
        """Let ``instances`` tell the order giver, and the order giver all."""
        ended = self.history.leader_ends_at
        if ended <= self.now < ended + self.history.next_leader_after:
            self.issuer.begin()
            self._sent_snapshot = set()
            return
        for number in instances:
            rates = self.rates[number]
            if self.random.random() >= self.history.lost_fraction:
                full = number not in self._sent_snapshot
                self.issuer.receive(f"i{number}", rates.updates(full=full))
                self._sent_snapshot.add(number)
        issued = self.issuer.issue(all_limits=periodic)
        for rates in self.rates:
            if self.random.random() >= self.history.lost_fraction:
                rates.receive(issued)

    def most_in_window(self) -> int:
        """Return the most that came in one window from instances that had been told by its end."""
        ends = [
            one.at
            for one in self.sent
            if self.history.named_at + NOTICE_SECONDS <= one.at <= self.history.ends_at
        ]
        return max(map(self._informed_in_window, ends), default=0)

    def _informed_in_window(self, end: float) -> int:
        informed = {key for key, at in self.informed_at.items() if at <= end - INFORMED_SECONDS}
        window = [one for one in self.sent if end - WINDOW_SECONDS < one.at <= end]
        return sum(one.instance in informed for one in window)

    def allowed(self) -> float:
        """Return how many the rule lets come in a window."""
        return most_allowed(self.history.rate)

    def sent_between(self, begin: float, end: float) -> int:
        """Return how many came in a span."""
        return sum(begin <= one.at < end for one in self.sent)
