"""Owners, table and engine under random faults; see redwingscale_standins.histories."""

import random
from collections import deque

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from loguru import logger
from redwingscale_standins.histories.faults import FAULTS_BY_POINT
from redwingscale_standins.histories.history import run_history
from redwingscale_standins.histories.world import SIZES_BY_UNIT, World

INSTANCES = st.integers(0, 2)
SEEDS = range(120)


@pytest.fixture(autouse=True, scope="module")
def no_logs():
    logger.remove()


@pytest.mark.parametrize("seed", SEEDS)
def test_memory_is_never_overcommitted(seed):
    """Guards against a load that does not fit beside the resident models.

    Orders are lost, late and duplicated, replies are lost, and owners are paused or killed
    between intent and order, while their successors continue and the plan changes.
    """
    judgement = run_history(seed)

    assert judgement.violations == []
    assert judgement.converged


class Owners(RuleBasedStateMachine):
    """Two instances act on one engine, or a stale one's order takes effect.

    A holder is paused past its lease in the midst of a call, a reply or a
    message comes late, and whoever took over meets what the first one left.
    """

    @initialize(checks_fencing=st.booleans(), plan=st.permutations(sorted(SIZES_BY_UNIT)))
    def begin(self, checks_fencing, plan):
        self.queues = {point: deque() for point in FAULTS_BY_POINT}
        self.world = World(random.Random(0), self._next_fault, checks_fencing=checks_fencing)
        self.world.set_plan(plan)

    def _next_fault(self, point):
        return self.queues[point].popleft() if self.queues[point] else None

    @rule(
        at=st.sampled_from([(p, f) for p, faults in FAULTS_BY_POINT.items() for f in faults]),
    )
    def strike_next(self, at):
        point, fault = at
        self.queues[point].append(fault)

    @rule(number=INSTANCES, seconds=st.floats(0, 1.5))
    def work(self, number, seconds):
        self.world.advance(seconds)
        self.world.step(number)

    @rule(steps=st.integers(1, 12))
    def all_work(self, steps):
        for _ in range(steps):
            self.world.advance(0.5)
            for number in range(len(self.world.owners)):
                self.world.step(number)

    @rule(seconds=st.floats(0, 12))
    def wait(self, seconds):
        self.world.advance(seconds)

    @rule(down=st.booleans(), cut=st.sets(INSTANCES))
    def cut_off(self, down, cut):
        self.world.down, self.world.cut = down, cut

    @rule(plan=st.permutations(sorted(SIZES_BY_UNIT)))
    def plan(self, plan):
        self.world.set_plan(plan)

    @rule(number=INSTANCES)
    def kill(self, number):
        self.world.restart_instance(number)

    @rule(number=INSTANCES)
    def stop(self, number):
        self.world.stop_instance(number)

    @rule(number=INSTANCES)
    def hand_over(self, number):
        self.world.hand_over(number)

    @rule()
    def restart_engine(self):
        self.world.restart_engine()

    @invariant()
    def nothing_is_violated(self):
        assert not hasattr(self, "world") or self.world.violations == []


Owners.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestOwners = Owners.TestCase
