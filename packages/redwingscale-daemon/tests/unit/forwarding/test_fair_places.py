"""Requests of several ranks and workspaces compete for three holders, through many instances."""

import random
import time
from collections import Counter
from functools import partial
from types import SimpleNamespace

import pytest
from redwingscale_daemon._internal.admission.queue_limit import Standing, queue_limit
from redwingscale_daemon._internal.exceptions import CallerLeft, Refusal
from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.load_tracker import LoadTracker
from redwingscale_daemon._internal.forwarding.fair_places import FairPlaces, PlaceQueues
from redwingscale_daemon._internal.forwarding.place_rule import Holders
from redwingscale_daemon._internal.workspaces.place_messages import PlaceUse
from redwingscale_daemon._internal.workspaces.place_shares import PlaceShares, shares_of
from redwingscale_daemon._internal.workspaces.place_uses import PlaceUses
from redwingscale_standins.places.load import bursts, flood, value
from redwingscale_standins.places.world import TARGETS, PlacesWorld
from redwingscale_standins.returns.caller import Caller
from redwingscale_standins.returns.instance import new_call, prompt_of

BULK = Caller("c", 0.0, target=TARGETS[2], limit=15.0, rank=2)


@pytest.fixture
def play(clock):
    """Return a function that returns the outcomes of callers, and the world they met."""

    def play_callers(callers, *, fair=True, **faults):
        world = PlacesWorld(clock, fair=fair, **faults)
        return world.run(callers), world

    return play_callers


def in_time(outcomes, rank):
    chosen = [one for one in outcomes if one.caller.rank == rank]
    times = [(one.first_event_at, one.sent_at[0], one.caller.target) for one in chosen]
    return sum(at is not None and at - sent <= target for at, sent, target in times) / len(chosen)


def worth(outcomes, workspace=None):
    return sum(
        value(one.caller, one.first_event_at, one.sent_at[0])
        for one in outcomes
        if (one.caller.workspace == "w0") == (workspace == "w0")
    )


def test_bursts_of_bulk_work_do_not_delay_urgent_requests(play):
    # Guards against bulk requests with a target of 10 s that queue before requests which
    # must begin within a second.
    callers = bursts(24, 30)
    off, on = play(callers, fair=False)[0], play(callers)[0]
    assert len(on) == len(callers)
    assert in_time(on, 0) > 0.9 > in_time(off, 0)
    assert in_time(on, 1) > 0.9 > in_time(off, 1)
    assert in_time(on, 2) > 0.5


def test_flood_of_one_workspace_costs_the_others_little(play):
    # Guards against a workspace at five times its usual load that takes the places of others.
    usual, more = flood(20, 30, 1.0, 15.0), flood(20, 30, 5.0, 15.0)
    others = worth(play(usual)[0])
    assert worth(play(more)[0]) > 0.97 * others > worth(play(more, fair=False)[0])


def test_no_rank_and_no_workspace_starves(play):
    # Guards against a lasting overload in which the least urgent rank, or a workspace beyond
    # its share, is never served.
    outcomes, _ = play(flood(26, 18, 5.0, 11.0))
    served = [one for one in outcomes if one.first_event_at is not None]
    of_rank = Counter(one.caller.rank for one in served)
    late = [one for one in served if one.caller.workspace == "w0" and one.sent_at[0] > 1012]
    assert min(of_rank[rank] for rank in TARGETS) > 10
    assert len(late) > 10


def test_lost_leader_stops_neither_requests_nor_shares_for_good(play, clock):
    # Guards against shares and waits that outlive the leader that announced them.
    outcomes, world = play(flood(20, 25, 5.0, 12.0), lost_leader=18.0)
    assert len(outcomes) == len(flood(20, 25, 5.0, 12.0))
    assert all(uses.share("w0") == 1.0 for uses in world._uses)
    uses = PlaceUses(clock)
    uses.receive({"w0": 0.2})
    assert uses.share("w0") == 0.2
    clock.now += 1.5
    assert uses.share("w0") == pytest.approx(0.6)
    clock.now += 1.0
    assert not any(uses.is_beyond("w0") for _ in range(9))


def test_waiting_requests_of_a_lost_instance_take_no_room(play):
    # Guards against tokens that wait for ever at an instance that is gone, behind which the
    # patient requests of all others would wait.
    callers = bursts(24, 25)
    outcomes, world = play(callers, lost_instance=4.0)
    assert len(callers) - len(outcomes) < 15
    assert in_time(outcomes, 2) > 0.5
    assert not any(world.waiting(number) for number in range(1, 20))


def test_limits_grow_with_urgency_and_age_and_leave_the_most_urgent_alone():
    # Guards against a rank that may join a longer queue than a more urgent one.
    limits = [
        queue_limit(Standing(rank, workspace, 2), TARGETS[rank], TARGETS, beyond_share=False)
        for workspace in (0, 1)
        for rank in TARGETS
    ]
    assert limits[0].at_first == limits[0].at_last == 2 * TARGETS[0]
    at_last = [limit.at_last for limit in limits]
    assert at_last == sorted(at_last, reverse=True)
    assert all(0 < limit.at_first <= limit.at_last for limit in limits)
    beyond = queue_limit(Standing(0, 0, 1), TARGETS[0], TARGETS, beyond_share=True)
    assert beyond.at_last < limits[1].at_first


def test_shares_limit_only_who_is_far_above_the_usual_use(clock):
    # Guards against a surge of all workspaces that is taken for a flood, and against a new
    # leader that limits workspaces whose usual use it does not know.
    assert shares_of({"a": 5.0, "b": 1.0}, {"a": 1.0, "b": 1.0}) == {"a": 0.2}
    assert shares_of({"a": 2.5, "b": 2.5}, {"a": 1.0, "b": 1.0}) == {}
    shares = PlaceShares(clock)
    shares.receive([PlaceUse("a", 9000), PlaceUse("b", 10)])
    assert shares.shares() == {}


@pytest.fixture
def take():
    """Return a function that takes a place for bulk work at a holder with the given queues.

    The first queue is that of the choice before; with ``targets`` None, the feature is off.
    """

    def take_place(*queues_ms, targets=TARGETS, check=lambda: None, caller=BULK):
        found = [Candidate(ms, SimpleNamespace(id="u"), ms, ms + 99.0, ms) for ms in queues_ms]
        remaining, results, tracker = iter(found[1:]), [], LoadTracker()
        again = partial(next, remaining, None)
        holders = Holders(again, again, lambda: ["u"], lambda _: None, check)
        places = FairPlaces(
            lambda _: targets, PlaceQueues(random.Random(1)), PlaceUses(), tracker, Changes(),
            lambda rank, result: results.append((rank, result)),
        )  # fmt: skip
        call = new_call(caller, time.monotonic() + caller.limit)
        try:
            return places.take_place(call, prompt_of(caller), found[0], holders), results
        finally:
            assert tracker.own() == {}

    return take_place


def test_bulk_request_waits_until_the_queue_is_short(take):
    # Guards against a request that is refused, or sent, while it has time for a better moment.
    chosen, results = take(900.0, 900.0, 100.0)
    assert (chosen.queue_ms, results) == (100.0, [(2, "sent_after_wait")])


def test_caller_that_leaves_while_it_waits_leaves_no_trace(take):
    # Guards against tokens that are announced as waiting after their caller has left.
    def check():
        raise CallerLeft

    with pytest.raises(CallerLeft):
        take(900.0, check=check)


def test_request_that_cannot_be_in_time_is_refused_at_once(take):
    # Guards against a wait that ends in a refusal.
    late = Caller("c", 0.0, target=TARGETS[1], limit=6.0, rank=1)
    refusal, results = take(1400.0, 1400.0, caller=late)
    assert isinstance(refusal, Refusal)
    assert (refusal.code, results) == ("overloaded", [(1, "refused")])


def test_feature_off_sends_at_once(take):
    # Guards against limits for services without the feature.
    assert take(900.0, 100.0, targets=None)[0].queue_ms == 900.0
