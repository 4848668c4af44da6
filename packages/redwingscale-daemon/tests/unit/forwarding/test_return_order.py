"""Refused requests return in order: a burst at three holders, through twenty instances."""

import time

import pytest
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.settings.scheduling import Mode

from .return_simulation import Caller, Clock, Instance, Simulation, burst, new_call, prompt_of


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(time, "monotonic", made)
    return made


@pytest.fixture
def run(clock):
    """Return a function that runs callers on fresh instances and returns the outcomes."""

    def run_callers(mode, callers, **options):
        return Simulation(clock, mode, **options).run(callers)

    return run_callers


def served(outcomes):
    return [one for one in outcomes if one.first_event_at is not None]


def served_share(outcomes):
    return len(served(outcomes)) / len(outcomes)


def returned(outcomes):
    return [one for one in outcomes if len(one.sends) > 1]


def test_burst_is_served_at_the_second_try(run):
    # Guards against constant retry times, with which the refused callers of a burst return
    # together and most of them are refused for good.
    off, on = run(Mode.OFF, burst(200, 1.0)), run(Mode.ON, burst(200, 1.0))
    assert len(off) == len(on) == 200
    assert served_share(returned(on)) > 2 * served_share(returned(off))
    assert len(served(on)) > len(served(off))


def test_returning_requests_go_before_new_ones(run):
    # Guards against a steady overload in which new requests fill each place that becomes
    # free, and those that have waited as told are refused again.
    callers = burst(450, 10.0)
    off, on = run(Mode.OFF, callers), run(Mode.ON, callers)
    first_tries = [one for one in on if len(one.sends) == 1]
    assert served_share(returned(on)) > len(first_tries) / len(on)
    assert served_share(returned(on)) > served_share(returned(off))
    assert len(served(on)) >= len(served(off)) * 0.97


def test_urgent_requests_go_before_less_urgent_ones_and_none_starves(run):
    # Guards against bookings that give a less urgent request the place of an urgent one, and
    # against a share of nothing for the least urgent rank.
    callers = [one._replace(rank=number % 3) for number, one in enumerate(burst(400, 10.0))]
    off, on = run(Mode.OFF, callers), run(Mode.ON, callers)
    shares = [served_share([one for one in on if one.caller.rank == rank]) for rank in range(3)]
    assert shares[0] > shares[1] > shares[2]
    assert shares[2] > served_share(off) / 2


def test_no_update_of_the_leader_costs_no_more_than_the_order(run, clock):
    # Guards against a book that refuses new requests for returns that nobody recognises.
    simulation = Simulation(clock, Mode.ON)
    simulation.leader_lost = True
    callers = burst(450, 10.0)
    off, on = run(Mode.OFF, callers), simulation.run(callers)
    assert len(served(on)) >= len(served(off)) * 0.97


@pytest.fixture
def instance(clock):
    return Instance(0, 20, ("u0", "u1", "u2"), Mode.ON)


def overload(instance, seconds):
    tokens = int(seconds * 24_000)
    instance.fleet.load_tracker.set_others({f"u{n}": Load(1, tokens) for n in range(3)})


def refuse(instance, caller, call):
    with pytest.raises(Refusal) as raised:
        instance.wait.choose_holder(call, prompt_of(caller))
    return raised.value


CALLER = Caller("c", 0.0, target=1.211, limit=6.054, rank=1)


def booked(instance, clock, caller=CALLER):
    """Refuse ``caller`` at ``instance`` and return the refusal."""
    overload(instance, 2.6)
    return refuse(instance, caller, new_call(caller, clock, clock.now + caller.limit))


def arrives(instance, clock, caller, remaining=4.0):
    """Return whether a new call of ``caller`` gets a holder."""
    try:
        instance.wait.choose_holder(
            new_call(caller, clock, clock.now + remaining), prompt_of(caller)
        )
    except Refusal:
        return False
    return True


def test_claimed_request_passes_a_queue_that_a_new_one_does_not(instance, clock):
    refusal = booked(instance, clock)
    assert (refusal.status, refusal.run) == (503, RunState.NOT_RUN)
    clock.now += refusal.retry_after_seconds
    overload(instance, 2.6)
    assert not arrives(instance, clock, CALLER._replace(name="new", limit=6.0))
    assert arrives(instance, clock, CALLER)
    assert instance.results == ["booked", "booked", "claimed"]


def test_early_caller_has_no_claim(instance, clock):
    # Callers that do not wait as told would otherwise go before those that do.
    refusal = booked(instance, clock)
    clock.now += refusal.retry_after_seconds - 0.35
    overload(instance, 2.6)
    assert not arrives(instance, clock, CALLER)
    assert instance.results[1] == "early"


def test_returning_request_that_cannot_be_in_time_is_refused(instance, clock):
    refusal = booked(instance, clock)
    clock.now += refusal.retry_after_seconds
    overload(instance, 5.0)
    assert not arrives(instance, clock, CALLER)
    assert instance.results == ["booked", "claimed", "refused_again"]


def test_due_returns_keep_places_from_new_requests_but_not_from_urgent_ones(instance, clock):
    for number in range(60):
        caller = CALLER._replace(name=f"c{number}", limit=6.054 + number / 10)
        booked(instance, clock, caller)
    clock.now += 2.0
    overload(instance, 1.5)
    assert arrives(instance, clock, CALLER._replace(name="urgent", rank=0))
    assert not arrives(instance, clock, CALLER._replace(name="equal"))
    assert not arrives(instance, clock, CALLER._replace(name="less", rank=2))


def test_honest_time_if_no_place_is_in_reach(instance, clock):
    # A caller that can't be served within the time that it waits gets the true time, and
    # takes no place in the book.
    caller = CALLER._replace(limit=3.0)
    overload(instance, 4.0)
    refusal = refuse(instance, caller, new_call(caller, clock, clock.now + caller.limit))
    assert refusal.retry_after_seconds >= 4.0
    assert instance.results == ["too_late"]
    assert instance.updates.entries() == []


def test_refusal_of_a_request_that_may_have_run_is_left_alone(instance, clock):
    call = new_call(CALLER, clock, clock.now + 6.0)
    refusal = Refusal(502, "upstream_failed", "lost", run=RunState.UNKNOWN)
    instance.wait.note_refusal(call, prompt_of(CALLER), refusal)
    assert (refusal.retry_after_seconds, instance.results) == (None, [])


def test_booking_reaches_other_instances_only_with_its_updates(instance, clock):
    # A lost instance or update, or a new leader, loses bookings: their callers are new.
    other = Instance(1, 20, ("u0", "u1", "u2"), Mode.ON)
    refusal = booked(instance, clock)
    assert len(instance.updates.entries()) == 1
    clock.now += refusal.retry_after_seconds
    overload(other, 2.6)
    assert not arrives(other, clock, CALLER)
    assert "claimed" not in other.results
