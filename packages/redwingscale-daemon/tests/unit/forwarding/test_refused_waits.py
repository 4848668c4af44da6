"""A request whose unit gets no holder in time is refused at once, and its caller is told when."""

import time
from types import SimpleNamespace

import pytest
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.holder_wait import NO_UPDATES_WAIT_SECONDS
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.settings.scheduling import Mode

from .return_simulation import UNIT, Caller, Clock, Instance, new_call

# Waits that end in a refusal last no longer than this.
MAX_REFUSED_WAIT_SECONDS = 0.25
CALLER = Caller("c", 0.0, target=1.211, limit=6.054)
COLD_SECONDS, DISK_SECONDS = 8.6, 1.7


class Waits:
    """Replaces `Changes`: time passes while a request waits, and the leader sends updates."""

    count = 0

    def __init__(self, clock, leader_update):
        self._clock = clock
        self._leader_update = leader_update
        self._updated_at = clock.now

    def wait(self, seen, seconds):
        self._clock.now += seconds
        if self._clock.now - self._updated_at >= 0.25:
            self._updated_at = self._clock.now
            self._leader_update()


class Scene:
    """An instance without a holder of the model, and a leader that sends updates."""

    def __init__(self, clock, mode):
        self.clock = clock
        self.instance = Instance(0, 20, ("u0",), mode)
        directory = self.instance.fleet.directory
        directory.replace([directory.get("u0")._replace(models_by_name={})])
        self.leader_lost = False
        self.ready_at = {}
        self.resident = {"u0": {"other": frozenset()}}
        self.leader_update()
        changes = Waits(clock, self.leader_update)
        self.wait = self.instance.wait._replace(changes=changes)

    def leader_update(self):
        if self.leader_lost:
            return
        ready_in = {unit: at - self.clock.now for unit, at in self.ready_at.items()}
        self.instance.fleet.residency.replace(self.resident, ready_in, 1)

    def loads(self, unit, seconds):
        self.ready_at[unit] = self.clock.now + seconds
        self.leader_update()

    def unplanned(self, *units):
        update = SimpleNamespace(unplanned=units, returns=[])
        self.instance.updates.receive(update)

    def refused(self, unit=UNIT, **attempts):
        """Return the refusal of a request for ``unit`` and how long it waited."""
        call = new_call(CALLER, self.clock, self.clock.now + CALLER.limit)
        vars(call.attempts).update(attempts)
        started = self.clock.now
        with pytest.raises(Refusal) as raised:
            self.wait.choose_holder(call, Prompt(unit, 2368, 11, ()))
        return raised.value, self.clock.now - started


@pytest.fixture
def clock(monkeypatch):
    made = Clock()
    monkeypatch.setattr(time, "monotonic", made)
    return made


@pytest.fixture
def scene(clock):
    return Scene(clock, Mode.ON)


def test_unplanned_unit_is_refused_without_a_wait(scene):
    scene.unplanned("m")
    refusal, waited = scene.refused()
    assert (refusal.code, refusal.run, waited) == ("no_holder", RunState.NOT_RUN, 0.0)
    assert refusal.retry_after_seconds >= COLD_SECONDS
    [entry] = scene.instance.demand.drain()
    assert (entry.refused, entry.waiting) == (1, 0)
    assert entry.refused_wait_seconds > 4.0


def test_unit_without_any_word_is_refused_within_a_quarter_of_a_second(scene):
    assert scene.refused()[1] <= MAX_REFUSED_WAIT_SECONDS


def test_listing_ends_after_a_second(scene, clock):
    # A leader that was lost would otherwise cause refusals for ever.
    scene.unplanned("m")
    clock.now += 1.1
    scene.leader_update()
    assert scene.refused()[1] > 0.0


def test_retry_time_is_the_end_of_a_load_in_flight(scene):
    scene.loads("m", 7.0)
    refusal, waited = scene.refused()
    assert waited == 0.0
    assert 7.0 <= refusal.retry_after_seconds <= 7.5


def test_retry_time_is_that_of_the_fastest_load_possible(scene):
    listed = scene.instance.fleet.directory.get("u0")
    scene.instance.fleet.directory.replace([listed._replace(on_disk=frozenset({"m"}))])
    scene.unplanned("m")
    retry_after_seconds = scene.refused()[0].retry_after_seconds
    # A third of the time limit is 2.0 s: the caller can return in time.
    assert DISK_SECONDS <= retry_after_seconds <= 2.018
    assert scene.instance.results == ["booked"]


def test_request_waits_for_a_load_that_ends_in_time(scene, clock):
    scene.loads("m", 1.5)
    call = new_call(CALLER, clock, clock.now + CALLER.limit)

    def finish():
        if clock.now >= scene.ready_at["m"]:
            scene.resident = {"u0": {"m": frozenset()}}
        scene.leader_update()

    wait = scene.wait._replace(changes=Waits(clock, finish))
    assert wait.choose_holder(call, Prompt(Unit("m"), 2368, 11, ())).upstream.id == "u0"


def test_adapter_waits_for_the_load_of_its_model(scene):
    # The leader announces loads of models; an adapter follows some milliseconds later.
    scene.loads("m", 7.0)
    scene.unplanned("m/x")
    refusal, waited = scene.refused(Unit("m", "x"))
    assert waited == 0.0
    assert refusal.retry_after_seconds > 7.0


def test_stream_that_has_begun_waits_for_another_holder(scene):
    # A cut stream is lost, so it waits for a load as long as its caller does.
    scene.unplanned("m")
    refusal, waited = scene.refused(certainly_not_run=False, count=1)
    assert waited > 4.0
    assert refusal.run is RunState.UNKNOWN


def test_instance_without_a_leader_waits_as_before(scene):
    scene.leader_lost = True
    scene.clock.now += 2.0
    assert NO_UPDATES_WAIT_SECONDS < scene.refused()[1] < NO_UPDATES_WAIT_SECONDS + 0.1


def test_wait_lasts_until_the_limit_with_the_feature_off(clock):
    scene = Scene(clock, Mode.OFF)
    scene.unplanned("m")
    refusal, waited = scene.refused()
    assert waited > 4.0
    assert refusal.retry_after_seconds == 2.0
    assert [entry.refused for entry in scene.instance.demand.drain()] in ([], [0])
