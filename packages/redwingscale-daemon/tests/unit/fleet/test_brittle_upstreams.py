"""How much is sent to upstreams that fall over if they reject too much."""

import pytest
from redwingscale_daemon._internal.fleet.backpressure import Backpressure
from redwingscale_daemon._internal.fleet.brittle_upstreams import TURN_SECONDS, BrittleUpstreams
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.platform import exchange

INSTANCES = 6
SLOTS = 12
REJECTIONS = 4.0


class World:
    def __init__(self, instances=INSTANCES, slots=SLOTS):
        self.now = 0.0
        self.fleet = new_fleet("one", lambda: instances)
        listed = Upstream("u", "s", "h", 1, "z", slots, False, None, {}, frozenset(), frozenset())
        self.fleet.directory.replace([listed])
        self.brittle = BrittleUpstreams(
            "one",
            self.fleet.directory,
            self.fleet.load_tracker,
            lambda: instances,
            lambda: self.now,
        )
        self.brittle.note("u", REJECTIONS)

    def set_load(self, own, others):
        own_before = self.fleet.load_tracker.own_at("u").requests
        self.fleet.load_tracker.add("u", own - own_before, 0)
        self.fleet.load_tracker.set_others({"u": Load(others, 0)})


@pytest.fixture
def world():
    return World()


def test_upstream_that_is_not_brittle_has_room(world):
    world.brittle.note("u", None)
    world.set_load(SLOTS, SLOTS)
    assert world.brittle.has_room("u")


@pytest.mark.parametrize(
    ("own", "others", "expected"),
    [(0, 0, True), (1, 10, True), (1, 11, False), (2, 4, True), (2, 5, False), (5, 1, True)],
)
def test_instances_together_send_no_more_than_the_slots(world, own, others, expected):
    """Guards against instances that see each other's load too late to stop."""
    world.set_load(own, others)
    assert world.brittle.has_room("u") is expected


@pytest.mark.parametrize("instances", [1, 6, 67])
def test_rejections_of_all_instances_stay_within_the_bound(instances):
    """Guards against an upstream that falls over since each instance is rejected now and then."""
    pause = World(instances).brittle.note_rejected("u")
    assert instances / pause < REJECTIONS


def test_room_found_by_a_rejection_is_kept_and_grows_again(world):
    world.set_load(2, 5)
    pause = world.brittle.note_rejected("u")
    world.set_load(0, 6)
    assert not world.brittle.has_room("u")
    world.now += pause
    assert world.brittle.has_room("u")


@pytest.mark.parametrize(("instances", "places"), [(6, 1), (6, 3), (67, 12)])
def test_instances_take_turns_where_places_are_fewer(instances, places):
    """Guards against an upstream that nobody uses any more, as no share is a whole request."""
    world = World(instances, places)
    world.set_load(0, 0)
    turns = 400
    allowed = 0
    for _ in range(turns):
        world.now += TURN_SECONDS
        allowed += world.brittle.has_room("u")
    assert 0 < allowed < turns
    assert allowed * instances / turns == pytest.approx(places, rel=0.5)


def test_rejection_by_an_upstream_that_is_not_brittle_pauses_nothing(world):
    assert world.brittle.note_rejected("other") is None


def test_answer_says_that_an_upstream_is_brittle_until_one_does_not(world):
    fleet = world.fleet
    fleet.backpressure.take("u", exchange.read_backpressure(200, {"Server-Brittle": "4"}), "t")
    assert fleet.gate.known
    rejection = exchange.read_backpressure(
        503, {"Server-Brittle": "4", "X-Redwingscale-Not-Executed": "1"}
    )
    fleet.backpressure.take("u", rejection, "t")
    assert not fleet.gate.may_send("u")
    fleet.backpressure.take("u", Backpressure(), "t", sent_at=1.0)
    fleet.backpressure.take("u", rejection._replace(rejections_per_second=None), "t", sent_at=1.0)
    assert fleet.backpressure.state("u").retry_in < 60.0


@pytest.mark.parametrize("value", ["", "x", "-1", "nan"])
def test_malformed_notice_is_ignored(value):
    assert exchange.read_backpressure(200, {"Server-Brittle": value}).rejections_per_second is None
