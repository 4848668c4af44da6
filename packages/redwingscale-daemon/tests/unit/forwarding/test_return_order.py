"""Refused requests return in order: a burst at three holders, through twenty instances."""

import pytest
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_standins.returns.caller import Caller, burst
from redwingscale_standins.returns.instance import Instance, new_call, prompt_of
from redwingscale_standins.returns.world import World

CALLER = Caller("c", 0.0, target=1.211, limit=6.054, rank=1)


@pytest.fixture
def run(clock):
    """Return a function that runs callers on fresh instances, with the feature off and on."""

    def run_callers(callers, **faults):
        return [World(clock, mode, **faults).run(callers) for mode in (Mode.OFF, Mode.ON)]

    return run_callers


def served(outcomes):
    return [one for one in outcomes if one.first_event_at is not None]


def served_share(outcomes):
    return len(served(outcomes)) / len(outcomes)


def returned(outcomes):
    return [one for one in outcomes if one.returned]


def test_burst_is_served_at_the_second_try(run):
    # Guards against constant retry times, with which the refused callers of a burst return
    # together and most of them are refused for good.
    off, on = run(burst(200, 1.0))
    assert len(off) == len(on) == 200
    assert served_share(returned(on)) > 2 * served_share(returned(off))
    assert len(served(on)) > len(served(off))


def test_returning_requests_go_before_new_ones(run):
    # Guards against a steady overload in which new requests fill each place that becomes
    # free, and those that have waited as told are refused again.
    off, on = run(burst(450, 10.0))
    first_tries = len(on) - len(returned(on))
    assert served_share(returned(on)) > first_tries / len(on)
    assert served_share(returned(on)) > served_share(returned(off))
    assert len(served(on)) >= len(served(off)) * 0.97


def test_urgent_requests_go_before_less_urgent_ones_and_none_starves(run):
    # Guards against bookings that give a less urgent request the place of an urgent one, and
    # against a share of nothing for the least urgent rank.
    callers = [one._replace(rank=number % 3) for number, one in enumerate(burst(400, 10.0))]
    off, on = run(callers)
    shares = [served_share([one for one in on if one.caller.rank == rank]) for rank in range(3)]
    assert shares[0] > shares[1] > shares[2]
    assert shares[2] > served_share(off) / 2


def test_without_a_leader_no_fewer_are_served(run):
    # Guards against a book that refuses new requests for returns that nobody recognises.
    off, on = run(burst(450, 10.0), leader_lost=True)
    assert len(served(on)) >= len(served(off)) * 0.97


@pytest.fixture
def instance(clock):
    return Instance(0, 20, ("u0", "u1", "u2"), Mode.ON)


def overload(instance, seconds):
    tokens = int(seconds * 24_000)
    instance.fleet.load_tracker.set_others({f"u{n}": Load(1, tokens) for n in range(3)})


def refusal_of(instance, clock, caller=CALLER):
    """Return the refusal of a new call of ``caller``, None if it gets a holder."""
    call = new_call(caller, clock.now + caller.limit)
    try:
        instance.wait.choose_holder(call, prompt_of(caller))
    except Refusal as refusal:
        return refusal
    return None


@pytest.fixture
def booked(instance, clock):
    """The refusal of a caller that is told to return."""
    overload(instance, 2.6)
    return refusal_of(instance, clock)


def test_claimed_request_passes_a_queue_that_a_new_one_does_not(instance, clock, booked):
    assert (booked.status, booked.run) == (503, RunState.NOT_RUN)
    clock.now += booked.retry_after_seconds
    overload(instance, 2.6)
    assert refusal_of(instance, clock, CALLER._replace(name="new"))
    assert refusal_of(instance, clock) is None
    assert instance.results == ["booked", "booked", "claimed"]


def test_early_caller_has_no_claim(instance, clock, booked):
    # Callers that do not wait as told would otherwise go before those that do.
    clock.now += booked.retry_after_seconds - 0.35
    overload(instance, 2.6)
    assert refusal_of(instance, clock)
    assert instance.results[1] == "early"


def test_returning_request_that_cannot_be_in_time_is_refused(instance, clock, booked):
    clock.now += booked.retry_after_seconds
    overload(instance, 5.0)
    assert refusal_of(instance, clock)
    assert instance.results == ["booked", "claimed", "refused_again"]


def test_due_returns_keep_places_from_new_requests_but_not_from_urgent_ones(instance, clock):
    overload(instance, 2.6)
    for number in range(60):
        refusal_of(instance, clock, CALLER._replace(name=f"c{number}"))
    clock.now += 2.0
    overload(instance, 1.5)
    assert refusal_of(instance, clock, CALLER._replace(name="urgent", rank=0)) is None
    assert refusal_of(instance, clock, CALLER._replace(name="equal"))


def test_honest_time_if_no_place_is_in_reach(instance, clock):
    # A caller that can't be served within the time that it waits gets the true time, and
    # takes no place in the book.
    overload(instance, 4.0)
    refusal = refusal_of(instance, clock, CALLER._replace(limit=3.0))
    assert refusal.retry_after_seconds >= 4.0
    assert instance.results == ["too_late"]
    assert instance.updates.entries() == []


def test_refusal_of_a_request_that_may_have_run_is_left_alone(instance, clock):
    call = new_call(CALLER, clock.now + 6.0)
    refusal = Refusal(502, "upstream_failed", "lost", run=RunState.UNKNOWN)
    instance.wait.note_refusal(call, prompt_of(CALLER), refusal)
    assert (refusal.retry_after_seconds, instance.results) == (None, [])


def test_caller_is_a_new_one_where_the_booking_did_not_arrive(instance, clock, booked):
    # A lost instance, leader or update loses bookings.
    other = Instance(1, 20, ("u0", "u1", "u2"), Mode.ON)
    clock.now += booked.retry_after_seconds
    overload(other, 2.6)
    assert refusal_of(other, clock)
    assert "claimed" not in other.results
