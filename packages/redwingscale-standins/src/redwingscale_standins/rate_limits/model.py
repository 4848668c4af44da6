"""Simulates instances that send to one upstream with a temporary rate limit."""

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
# Silence of the leader after which instances consider it lost.
SILENT_SECONDS = 0.5
ANSWER_STEPS = 2
UPSTREAM = "u"
MAX_WAIT_SECONDS = 2.0
# An instance counts as informed this long after an answer announced the limit to it.
INFORMED_SECONDS = 0.5


class History(NamedTuple):
    """Course of one simulation: load, rate limit, lost messages and loss of the leader.

    All instances together receive ``offered`` requests a second, and ``offered_before``
    until the upstream announces its limit at ``named_at``. The limit ends at ``ends_at``,
    the simulation at ``until``. The leader is lost at ``leader_ends_at``; its successor
    begins ``next_leader_after`` seconds later.
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
    """One request that reached the upstream."""

    at: float
    instance: int


class _Waiting(NamedTuple):
    """A waiting request, and the context that counts it as waiting."""

    since: float
    counted: AbstractContextManager[None]


class RateModel:
    """Simulates one history; ``sent`` lists the requests that reached the upstream."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.now = 0.0
        # Not used for cryptography.
        self.random = random.Random(history.seed)
        self.rates = [
            RateLimits(f"i{n}", lambda: history.instances, clock=lambda: self.now)
            for n in range(history.instances)
        ]
        self.issuer = PermitIssuer(clock=lambda: self.now)
        self._waiting: dict[int, deque[_Waiting]] = defaultdict(deque)
        self.sent: list[Sent] = []
        # Instances that have sent a full snapshot to the current leader.
        self._sent_snapshot: set[int] = set()
        # Instances where an answer changed the limit: they update the leader at once.
        self._changed: set[int] = set()
        self.informed_at: dict[int, float] = {}
        # Answers in flight: the step of arrival, the instance and the send time of the request.
        self._answers: list[tuple[int, int, float]] = []

    def run(self) -> "RateModel":
        """Run the simulation to its end."""
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
        """Send changed limits to random peers, while no instance leads."""
        ended = self.history.leader_ends_at
        if self.now < ended + SILENT_SECONDS or self.now >= ended + self.history.next_leader_after:
            return
        changed = [rates.drain_changed() for rates in self.rates]
        for entries in filter(None, changed):
            for peer in self.random.sample(self.rates, min(FANOUT, len(self.rates))):
                if self.random.random() >= self.history.lost_fraction:
                    peer.receive_from_peer(entries)

    def _exchange_updates(self, instances: Iterable[int], *, periodic: bool) -> None:
        """Send updates from ``instances`` to the leader, and from the leader to all instances."""
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
        """Return the most requests in one window from instances informed by its end."""
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
        """Return how many requests the rule allows in one window."""
        return most_allowed(self.history.rate)

    def sent_between(self, begin: float, end: float) -> int:
        """Return how many requests reached the upstream from ``begin`` until before ``end``."""
        return sum(begin <= one.at < end for one in self.sent)
