"""The sum of what the budgets of all instances let through, judged by the rule at the receiver."""

import itertools
import threading

import pytest
from redwingscale_daemon._internal.forwarding.repeat_budget import BudgetRule, RepeatBudget
from redwingscale_daemon._internal.swaps.instance_count import DEFAULT_INSTANCES
from redwingscale_daemon._internal.swaps.repeat_history import RepeatHistory
from redwingscale_standins.repeats.rule import Arrival, RepeatRule, worst_window

RULE = RepeatRule()
# Each request is sent once more as often as this, if its instance allows it.
MOST_REPEATS = 2
STEP_SECONDS = 0.05
STEPS_BETWEEN_REPORTS = 5
END_SECONDS = 45.0


class Instances:
    """Instances whose upstreams lose all requests, and a leader that hears their reports."""

    def __init__(self, instances, per_second):
        self.now = 0.0
        self._per_second = per_second
        self._numbers = itertools.count()
        # How many instances there are, by what each was told.
        self.known = {}
        self.budgets = {}
        self.starts = {}
        # Instances that the leader's updates do not reach.
        self.out_of_touch = set()
        self.arrivals = []
        self.requested_at = []
        self.history = RepeatHistory(RULE.window_seconds, lambda: self.now)
        self.history.begin(succeeds_another=False)
        for name in range(instances):
            self.start(name)

    def start(self, name):
        """Start an instance, in place of the one with that name if there is one."""
        self.known[name] = None
        self.starts[name] = f"start {next(self._numbers)}"
        self.budgets[name] = RepeatBudget(
            BudgetRule(*RULE), lambda: self.known[name], clock=lambda: self.now
        )

    def report(self):
        """Let the leader hear all instances, and tell them what it does."""
        for name, budget in self.budgets.items():
            self.history.receive(str(name), self.starts[name], budget.repeats())
        told = self.history.next_starts()
        for name in self.budgets.keys() - self.out_of_touch:
            self.known[name] = max(len(self.budgets), DEFAULT_INSTANCES)
            if self.starts[name] in told:
                self.budgets[name].note_former(told[self.starts[name]])

    def send(self, name):
        request = f"r{next(self._numbers)}"
        self.requested_at.append(self.now)
        self.budgets[name].note_request("llm")
        self.arrivals.append(Arrival(request, self.now))
        for _ in range(MOST_REPEATS):
            if not self.budgets[name].take("llm"):
                return
            self.arrivals.append(Arrival(request, self.now))

    def run(self, disturb):
        """Send requests at all instances in turn; ``disturb`` is called at each step."""
        owed = 0.0
        turns = itertools.count()
        for step in range(round(END_SECONDS / STEP_SECONDS)):
            self.now = step * STEP_SECONDS
            disturb(self)
            if step % STEPS_BETWEEN_REPORTS == 0:
                self.report()
            owed += self._per_second * STEP_SECONDS
            names = sorted(self.budgets)
            for _ in range(int(owed)):
                self.send(names[next(turns) % len(names)])
            owed -= int(owed)
        return worst_window(self.arrivals, self.requested_at, RULE)


def every(seconds, action, since=10.0):
    """Return a disturbance that calls ``action`` with the number of the call."""
    times = itertools.count()
    due = since

    def disturb(world):
        nonlocal due
        if world.now >= due:
            due += seconds
            action(world, next(times))

    return disturb


def restart_next(world, number):
    world.start(number % len(world.budgets))


def restart_all(world, number):
    """All processes end, that of the leader as well."""
    for name in world.budgets:
        world.start(name)
    world.history.begin(succeeds_another=True)


def join(world, number):
    world.start(len(world.budgets))


def join_unheard(world, number):
    """One more instance joins, of which the first one never hears."""
    world.out_of_touch = {0}
    world.start(len(world.budgets))


@pytest.mark.parametrize("instances", [3, 6, 60])
@pytest.mark.parametrize("per_second", [6.0, 60.0])
@pytest.mark.parametrize(
    "disturb",
    [
        lambda world: None,
        every(0.4, restart_next),
        every(2.0, restart_all),
        every(0.3, join),
        every(0.3, join_unheard),
    ],
    ids=["calm", "killed-in-series", "all-killed", "joins", "joins-unheard"],
)
def test_instances_together_keep_the_budget(instances, per_second, disturb):
    """Guards against shares of the budget that add up to more than the rule allows."""
    world = Instances(instances, per_second)
    window = world.run(disturb)
    assert window.excess <= 0, window


def test_calm_instances_use_most_of_the_budget():
    """Guards against a budget that refuses much of what the rule allows."""
    world = Instances(6, 60.0)
    world.run(lambda world: None)
    sent = len(world.arrivals) - len(world.requested_at)
    windows = END_SECONDS / RULE.window_seconds
    assert sent > 0.75 * (RULE.ratio * len(world.requested_at) + RULE.slack * windows)


def test_restarted_instance_uses_what_its_former_process_left():
    """Guards against an instance that repeats nothing for a window after each start."""
    world = Instances(6, 0.0)
    world.report()
    world.budgets[0].take("llm")
    world.report()
    world.start(0)
    world.report()
    left = sum(world.budgets[0].take("llm") for _ in range(60))
    others = sum(world.budgets[1].take("llm") for _ in range(60))
    assert (left, others) == (others - 1, 7)


def test_first_repeat_after_a_start_waits_for_the_leader():
    """Guards against requests that are refused in the moments before the leader is heard."""
    budget = RepeatBudget(BudgetRule(*RULE), lambda: DEFAULT_INSTANCES)
    for _ in range(8):
        budget.note_request("llm")
    threading.Timer(0.1, budget.note_former, [{}]).start()
    assert budget.has_repeat("llm")
    # One of them is left without the leader.
    assert budget.take("llm")
    assert budget.take("llm")
