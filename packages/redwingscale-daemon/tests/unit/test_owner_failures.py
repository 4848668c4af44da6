"""Single failures of owners, step by step; test_owner_histories has random combinations."""

import random
from collections import deque

import pytest
from redwingscale_daemon._internal.placement.intents import IntentStore
from redwingscale_standins.histories.faults import Fault, Point
from redwingscale_standins.histories.world import ENGINE, LEASE_SECONDS, World


class Scene:
    """A world with a queue of the next faults; instance 0 owns the engine."""

    def __init__(self, checks_fencing):
        self.queue = deque()
        self.world = World(random.Random(0), self._next, checks_fencing=checks_fencing)
        self.world.set_plan([])
        self.work(0, 6)

    def _next(self, point):
        due = self.queue and self.queue[0][0] is point
        return self.queue.popleft()[1] if due else None

    def work(self, number, steps=1):
        for _ in range(steps):
            self.world.advance(0.5)
            self.world.step(number)

    def residents(self):
        return {r.unit for r in self.world.engine.memory.residents()}

    def owns_engine(self):
        return [o.ownership.grant_of(ENGINE) is not None for o in self.world.owners]


@pytest.fixture(params=[True, False], ids=["fencing", "no fencing"])
def scene(request):
    scene = Scene(request.param)
    yield scene
    assert not scene.queue, "a queued fault was not injected"


def test_owner_paused_right_before_its_order_sends_nothing(scene):
    """Guards against two instances that load into the same memory.

    The owner has checked its lease and is paused before it sends the order; another
    instance takes over, polls the engine and sends orders; then the first one resumes.
    """
    scene.world.set_plan(["a@v1"])
    scene.queue.append((Point.ORDER, Fault.PAUSED_BEFORE))
    scene.work(0)
    scene.work(1, 40)

    assert scene.owns_engine() == [False, True, False]
    assert scene.residents() == {"a@v1"}
    assert scene.world.violations == []


def test_renewal_after_a_lapse_restores_no_ownership(scene):
    """Guards against two instances that send orders to one engine.

    The owner is paused past its lease, and another instance takes over. The session row is
    unchanged, so the renewal of the first owner succeeds when it resumes.
    """
    scene.work(1)
    scene.world.advance(LEASE_SECONDS + 2)
    scene.work(1, 2)
    scene.work(0)

    assert scene.owns_engine() == [False, True, False]
    assert scene.world.violations == []


def test_second_process_of_an_instance_waits_for_the_lease_of_the_first(scene):
    """Guards against two processes of one instance id that both send orders.

    An instance is assumed to have crashed and is replaced under its id, while its first
    process is still running with a valid lease.
    """
    scene.world.double_instance(0)
    scene.work(3, 3)
    assert scene.owns_engine() == [True, False, False, False]

    scene.work(3, 20)

    assert scene.owns_engine() == [False, False, False, True]
    assert scene.world.violations == []


def test_lost_reply_to_a_takeover_is_resolved(scene):
    """Guards against an engine that stays without an active owner.

    The row was written, but the reply and the read-back are lost: the row names an
    instance that has no grant, and whose session is valid.
    """
    scene.world.hand_over(0)
    scene.queue.extend([(Point.COMMIT, None), (Point.COMMIT, Fault.REPLY_LOST)])
    scene.queue.append((Point.READ, Fault.REFUSED))
    scene.work(1)
    assert scene.owns_engine() == [False, False, False]

    scene.work(1)

    assert scene.owns_engine() == [False, True, False]


def test_successor_reserves_memory_for_an_order_in_flight(scene):
    """Guards against an overcommit of memory by a late order.

    An order is late and its sender no longer owns the engine. The plan has changed since:
    the successor sees an empty engine and has another model to load.
    """
    scene.world.set_plan(["a@v1"])
    scene.queue.append((Point.ORDER, Fault.LATE))
    scene.work(0)
    scene.world.hand_over(0)
    scene.world.set_plan(["c@v1", "b@v1"])
    scene.work(1, 60)

    assert scene.world.violations == []
    assert scene.residents() == {"c@v1", "b@v1"}


def test_owner_killed_between_intent_and_order(scene):
    """Guards against a model that is never loaded again.

    The owner crashed after it wrote the intent and before it sent the order. Its successor
    cannot distinguish that from a late order until the order can no longer take effect.
    """
    scene.world.set_plan(["a@v1"])
    scene.queue.append((Point.ORDER, Fault.KILLED_BEFORE))
    scene.work(0)
    scene.work(1, 60)

    assert scene.world.violations == []
    assert scene.residents() == {"a@v1"}


@pytest.mark.parametrize("fault", [Fault.LOST, Fault.LATE, Fault.DOUBLED, Fault.REPLY_LOST])
def test_model_is_loaded_whatever_fault_affects_its_order(scene, fault):
    """Guards against a model that is not loaded, or loaded twice, after a faulty order."""
    scene.world.set_plan(["a@v1"])
    scene.queue.append((Point.ORDER, fault))
    scene.work(0, 60)

    assert scene.residents() == {"a@v1"}
    assert scene.world.violations == []
    # Nothing stays reserved, for this owner or for its successor.
    table = scene.world.owners[1].ownership._table
    assert IntentStore(table).read(ENGINE).intents == []


def test_late_unload_does_not_remove_a_model_that_is_planned_again(scene):
    """Guards against a late unload of a model that the plan lists.

    The plan changes back before the unload arrives, when the unit is still resident.
    """
    scene.world.set_plan(["a@v1"])
    scene.work(0, 20)
    scene.world.set_plan(["d@v1"])
    scene.queue.extend([(Point.ORDER, Fault.LATE)])
    scene.work(0)
    scene.world.set_plan(["a@v1"])
    scene.work(0, 60)

    assert scene.residents() == {"a@v1"}
    assert scene.world.violations == []


def test_table_is_down_for_all_instances(scene):
    """While the store is down, engines without fencing get no orders.

    No instance can take over, but an owner whose lease has lapsed cannot verify that.
    Engines that check fencing reject stale orders themselves.
    """
    scene.world.down = True
    scene.work(0, 20)
    scene.world.set_plan(["a@v1"])
    scene.work(0, 20)

    assert scene.residents() == ({"a@v1"} if scene.world.member.checks_fencing else set())
    scene.world.down = False
    scene.work(0, 20)
    assert scene.residents() == {"a@v1"}
    assert scene.world.violations == []
