"""A request whose unit gets no holder in time is refused at once, and its caller is told when."""

import math
from types import SimpleNamespace

import pytest
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.holder_wait import NO_UPDATES_WAIT_SECONDS
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_standins.returns.caller import Caller
from redwingscale_standins.returns.instance import UNIT, Instance, new_call

# Waits that end in a refusal last no longer than this.
MAX_REFUSED_WAIT_SECONDS = 0.25
CALLER = Caller("c", 0.0, target=1.211, limit=6.054)
COLD_SECONDS, DISK_SECONDS = 8.6, 1.7


class Scene:
    """An instance without a holder of the model, and a leader that sends updates.

    Replaces `Changes`: time passes while a request waits.
    """

    count = 0

    def __init__(self, clock, mode):
        self.clock = clock
        self.instance = Instance(0, 20, ("u0",), mode)
        self.list_upstream()
        self.leader_begins_at = -math.inf
        self.update_seconds = 0.25
        self.ready_at = {}
        self.leader_update()
        self.holder_wait = self.instance.wait._replace(changes=self)

    def list_upstream(self, **changes):
        directory = self.instance.fleet.directory
        directory.replace([directory.get("u0")._replace(models_by_name={}, **changes)])

    def leader_update(self):
        ready_in = {unit: at - self.clock.now for unit, at in self.ready_at.items()}
        loaded = {unit for unit, seconds in ready_in.items() if seconds <= 0}
        resident = {"u0": dict.fromkeys(loaded, frozenset())}
        self.instance.fleet.residency.replace(resident, ready_in, 1)
        self.updated_at = self.clock.now

    def wait(self, seen, seconds):
        self.clock.now += seconds
        due_at = max(self.leader_begins_at, self.updated_at + self.update_seconds)
        if self.clock.now >= due_at:
            self.leader_update()

    def loads(self, unit, seconds):
        self.ready_at[unit] = self.clock.now + seconds
        self.leader_update()

    def reject(self, seconds):
        """Let the only holder reject requests, and the leader load the model elsewhere."""
        fleet = self.instance.fleet
        rejecting = fleet.directory.get("u0")._replace(id="rejecting")
        fleet.directory.replace([fleet.directory.get("u0"), rejecting])
        fleet.residency.reported("rejecting", {UNIT.model: frozenset()}, math.inf)
        fleet.retry_times.note("rejecting", seconds)

    def unplanned(self, *units):
        self.instance.updates.receive(SimpleNamespace(unplanned=units, returns=()))

    def choose(self, unit=UNIT, **attempts):
        call = new_call(CALLER, self.clock.now + CALLER.limit)
        vars(call.attempts).update(attempts)
        return self.holder_wait.choose_holder(call, Prompt(unit, 2368, 11, ()))

    def refused(self, unit=UNIT, **attempts):
        """Return the refusal of a request for ``unit`` and how long it waited."""
        started = self.clock.now
        with pytest.raises(Refusal) as raised:
            self.choose(unit, **attempts)
        return raised.value, self.clock.now - started


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


def test_unit_without_any_word_is_refused_within_a_quarter_of_a_second(scene, clock):
    # Also if it was listed long ago: a lost leader would cause refusals for ever.
    scene.unplanned("m")
    clock.now += 1.1
    scene.leader_update()
    assert 0.0 < scene.refused()[1] <= MAX_REFUSED_WAIT_SECONDS


def test_retry_time_is_the_end_of_a_load_in_flight(scene):
    # Also for an adapter, which is loaded some milliseconds after its model.
    scene.loads("m", 7.0)
    for unit in (Unit("m"), Unit("m", "x")):
        refusal, waited = scene.refused(unit)
        assert waited == 0.0
        assert 7.0 <= refusal.retry_after_seconds <= 7.8


def test_retry_time_is_that_of_the_fastest_load_possible(scene):
    scene.list_upstream(on_disk=frozenset({"m"}))
    scene.unplanned("m")
    # A third of the time limit is 2.0 s: the caller can return in time.
    assert DISK_SECONDS <= scene.refused()[0].retry_after_seconds <= CALLER.limit / 3
    assert scene.instance.results == ["booked"]


def test_request_waits_for_a_load_that_ends_in_time(scene):
    scene.loads("m", 1.5)
    assert scene.choose().upstream.id == "u0"


def test_stream_that_has_begun_waits_for_another_holder(scene):
    # A cut stream is lost, so it waits for a load as long as its caller does.
    scene.unplanned("m")
    refusal, waited = scene.refused(certainly_not_run=False, count=1)
    assert waited > 4.0
    assert refusal.run is RunState.UNKNOWN


def test_instance_without_a_leader_waits_as_before(scene, clock):
    scene.leader_begins_at = math.inf
    clock.now += 2.0
    assert NO_UPDATES_WAIT_SECONDS < scene.refused()[1] < NO_UPDATES_WAIT_SECONDS + 0.1


def test_wait_lasts_until_the_limit_with_the_feature_off(clock):
    scene = Scene(clock, Mode.OFF)
    scene.unplanned("m")
    refusal, waited = scene.refused()
    assert waited > 4.0
    assert refusal.retry_after_seconds == 2.0
    assert sum(entry.refused for entry in scene.instance.demand.drain()) == 0


@pytest.mark.parametrize("update_seconds", [0.25, 0.5])
def test_request_that_all_holders_reject_waits_for_the_updates_of_a_slow_leader(
    clock, update_seconds
):
    # Guards against refusals because the leader announces a load later than usual.
    scene = Scene(clock, Mode.OFF)
    scene.reject(60.0)
    scene.update_seconds = update_seconds
    scene.ready_at["m"] = clock.now + 2 * update_seconds + 0.2
    assert scene.choose().upstream.id == "u0"


def test_request_that_all_holders_reject_waits_for_a_leader_that_has_just_begun(clock):
    # Guards against refusals before the first update of a leader.
    scene = Scene(clock, Mode.OFF)
    clock.now += 2.0
    scene.reject(60.0)
    scene.leader_begins_at = clock.now + 0.45
    scene.ready_at["m"] = clock.now + 0.65
    assert scene.choose().upstream.id == "u0"


def test_request_that_all_holders_reject_is_refused_if_no_load_is_announced(clock):
    # Guards against requests that wait until their deadline and are then refused.
    scene = Scene(clock, Mode.OFF)
    scene.reject(60.0)
    refusal, waited = scene.refused()
    assert refusal.code == "upstream_rejects"
    assert waited < 0.6
