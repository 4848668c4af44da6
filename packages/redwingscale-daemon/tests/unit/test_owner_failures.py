"""Failures of owners one by one, each told in order; all of them mixed: test_owner_histories."""

import random
from collections import deque

import pytest
from redwingscale_daemon._internal.placement.intents import IntentStore
from redwingscale_standins.histories.faults import Fault, Point
from redwingscale_standins.histories.world import ENGINE, LEASE_SECONDS, World


class Scene:
    """A world whose next faults are given; instance 0 owns the engine."""

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

    def held(self):
        return [o.ownership.grant_of(ENGINE) is not None for o in self.world.owners]


@pytest.fixture(params=[True, False], ids=["fencing", "no fencing"])
def scene(request):
    scene = Scene(request.param)
    yield scene
    assert not scene.queue, "a fault of the story never struck"


def test_holder_paused_right_before_its_order_sends_nothing(scene):
    """Memory runs out under a running model: two instances load into the same room.

    The owner has checked its lease and is paused before the order's bytes go
    out; another takes over, reads the engine and orders; the first one wakes.
    """
    scene.world.set_plan(["a@v1"])
    scene.queue.append((Point.ORDER, Fault.PAUSED_BEFORE))
    scene.work(0)
    scene.work(1, 40)

    assert scene.held() == [False, True, False]
    assert scene.residents() == {"a@v1"}
    assert scene.world.violations == []


def test_renewal_after_a_lapse_gives_nothing_back(scene):
    """Two instances send orders to one engine.

    The owner stands still past its lease and is succeeded. Its session row is
    as it was, so its renewal succeeds when it wakes.
    """
    scene.work(1)
    scene.world.advance(LEASE_SECONDS + 2)
    scene.work(1, 2)
    scene.work(0)

    assert scene.held() == [False, True, False]
    assert scene.world.violations == []


def test_second_process_of_an_instance_waits_out_the_first(scene):
    """Two processes of one id both send orders.

    An instance is taken for dead and replaced under its id while its first
    process lives on and still counts on its lease.
    """
    scene.world.double_instance(0)
    scene.work(3, 3)
    assert scene.held() == [True, False, False, False]

    scene.work(3, 20)

    assert scene.held() == [False, False, False, True]
    assert scene.world.violations == []


def test_lost_reply_to_a_takeover_is_resolved(scene):
    """An engine stays without an owner for good.

    The row was written, but reply and read-back are lost: it names an instance
    that does not know of it, and whose session is alive.
    """
    scene.world.hand_over(0)
    scene.queue.extend([(Point.COMMIT, None), (Point.COMMIT, Fault.REPLY_LOST)])
    scene.queue.append((Point.READ, Fault.REFUSED))
    scene.work(1)
    assert scene.held() == [False, False, False]

    scene.work(1)

    assert scene.held() == [False, True, False]


def test_successor_counts_an_order_that_is_still_on_its_way(scene):
    """Memory runs out under a running model.

    An order is late and its owner is gone. The plan has changed since: the
    successor sees an empty engine and has another model to load.
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
    """A model is never loaded again.

    The owner wrote the intent and died before the order went out. Nobody can
    tell that from an order that is late, until it is certainly dead.
    """
    scene.world.set_plan(["a@v1"])
    scene.queue.append((Point.ORDER, Fault.KILLED_BEFORE))
    scene.work(0)
    scene.work(1, 60)

    assert scene.world.violations == []
    assert scene.residents() == {"a@v1"}


@pytest.mark.parametrize("fault", [Fault.LOST, Fault.LATE, Fault.DOUBLED, Fault.REPLY_LOST])
def test_model_comes_whatever_happens_to_its_order(scene, fault):
    """A model stays away, or is loaded twice, after one order went wrong."""
    scene.world.set_plan(["a@v1"])
    scene.queue.append((Point.ORDER, fault))
    scene.work(0, 60)

    assert scene.residents() == {"a@v1"}
    assert scene.world.violations == []
    # Nothing stays reserved, for this owner or for its successor.
    table = scene.world.owners[1].ownership._table
    assert IntentStore(table).read(ENGINE).intents == []


def test_late_unload_does_not_take_a_model_that_came_back(scene):
    """Callers lose a model that the plan wants, some seconds after it answered.

    Its unload is late. The plan changes back before it arrives, the unit still
    looks resident, and then it goes.
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


def test_table_down_for_all(scene):
    """While the store is down, engines that ignore fencing get no order at all.

    Nobody can take over, but nobody can show that either once its lease is
    over; engines that check fencing are safe with any holder.
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
