"""What is learned of pauses, and what is known when other instances or workers are lost."""

import random
import time

import pytest
from redwingscale_daemon._internal.composition.pauses import PauseRules
from redwingscale_daemon._internal.fleet.chooser import Chooser
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.fleet.pause_cost import PauseRule
from redwingscale_daemon._internal.fleet.prefill_chunks import (
    UNKNOWN_CHUNK_TOKENS,
    WINDOW_AGE_SECONDS,
    PrefillChunks,
)
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.stream_pauses import StreamPauses
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.idempotency import Idempotency
from redwingscale_daemon._internal.routes.route import Route, WeightedService
from redwingscale_daemon._internal.routes.route_table import IngressLimits, RouteTable
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule, ServiceRule
from redwingscale_daemon._internal.settings.scheduling import Mode

UNIT, IDS = Unit("m"), ("u0", "u1", "u2")
RULE = PauseRule(400.0, 1000.0, 2)
LONG_PROMPT, LONG_STREAM = Prompt(UNIT, 6000, 90, ()), Prompt(UNIT, 1400, 412, ())


@pytest.fixture
def clock(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    return now


@pytest.fixture
def fleet(clock):
    made = new_fleet()
    resident = {"m": ResidentModel("m", 1, frozenset())}
    made.directory.replace(
        Upstream(key, "llm", "h", 1, "z", 64, False, None, resident, frozenset(), frozenset())
        for key in IDS
    )
    return made


@pytest.fixture
def pauses(fleet):
    made = StreamPauses(lambda _: RULE, fleet.load_tracker)
    fleet.directory.on_gone(made.forget)
    return made


def note_pauses(chunks, clock, seconds, unread, read):
    for _ in range(int(seconds / 0.1)):
        clock[0] += 0.1
        chunks.note_pause("u0", 0.1, unread, read)


def broken(pauses):
    costs = pauses.costs("llm", LONG_PROMPT, dict.fromkeys(IDS, 0))
    return {key: cost.broken for key, cost in costs.items()}


def place(pauses, prompt):
    costs = pauses.costs("llm", prompt, dict.fromkeys(IDS, 0))
    return min(IDS, key=lambda key: costs[key].place_ms)


@pytest.mark.parametrize(
    ("unread", "read", "chunk"), [(14_000, 2048, 1024), (14_000, 8192, 4096), (2000, 2000, None)]
)
def test_chunk_is_learned_and_ages_out(unread, read, chunk, clock):
    # Guards against a chunk that holds on after the engines were replaced by others, and
    # against one that is learned from few unread tokens, all of them read at once.
    chunks = PrefillChunks("llm", 2)
    note_pauses(chunks, clock, 20, unread, read)
    assert chunks.learned == chunk
    clock[0] += WINDOW_AGE_SECONDS + 1
    note_pauses(chunks, clock, 2, unread=0, read=0)
    assert (chunks.learned, chunks.tokens) == (None, UNKNOWN_CHUNK_TOKENS)


def test_unknown_load_of_others_leaves_the_own_one_and_the_places(fleet, pauses, clock):
    # The leader is lost: guards against old loads of others in the cost, and against
    # instances that no longer separate long prompts and long streams.
    fleet.load_tracker.open_ticket("u0", UNIT, 3000).note_generating()
    alone = broken(pauses)
    fleet.load_tracker.set_others({"u1": Load(30, 9000, 20)})
    assert pauses.costs("llm", LONG_PROMPT, {"u1": 0})["u1"].broken > 10
    clock[0] += 5.0
    assert broken(pauses) == pytest.approx(alone)
    other = StreamPauses(lambda _: RULE, new_fleet().load_tracker)
    assert place(pauses, LONG_PROMPT) == place(other, LONG_PROMPT)
    assert place(pauses, LONG_STREAM) == place(other, LONG_STREAM) != place(other, LONG_PROMPT)


def test_state_of_a_restarted_worker_is_dropped(fleet, pauses, clock):
    # Guards against a new start that is taken for as slow as the former one was.
    for _ in range(500):
        clock[0] += 0.08
        for key, slower in (("u0", 4.0), ("u1", 1.0), ("u2", 1.0)):
            pauses.note_pause("llm", key, 0.021 * slower)
    speeds = pauses._learned("llm", RULE).speeds
    assert speeds.speed("u0").relative < 0.5
    fleet.directory.replace([one for one in fleet.directory.all() if one.id != "u0"])
    assert speeds.speed("u0").relative == 1.0


def test_generating_streams_are_counted_until_they_end(fleet):
    tracker = fleet.load_tracker
    ticket = tracker.open_ticket("u0", UNIT, 900)
    ticket.note_prompt_read()
    ticket.note_generating()
    ticket.note_generating()
    tracker.set_others({"u0": Load(2, 100, 2)})
    assert tracker.total("u0") == Load(3, 100, 3)
    ticket.close()
    assert tracker.total("u0") == Load(2, 100, 2)


def test_choice_is_as_before_where_the_feature_is_off(fleet):
    fleet.load_tracker.set_others({"u0": Load(3, 4000, 3), "u1": Load(1, 500, 1)})
    off = StreamPauses(lambda _: None, fleet.load_tracker)
    plain, with_off = Chooser("z", fleet, lambda: 20), Chooser("z", fleet, lambda: 20, off)
    plain._random, with_off._random = random.Random(1), random.Random(1)
    for _ in range(50):
        chosen = plain.choose_holder("llm", LONG_PROMPT, ())
        assert with_off.choose_holder("llm", LONG_PROMPT, ()) == chosen


def test_unit_without_a_holder_has_no_candidate(fleet, pauses):
    chooser = Chooser("z", fleet, lambda: 20, pauses)
    assert chooser.choose_holder("llm", Prompt(Unit("none"), 900, 90, ()), ()) is None


@pytest.mark.parametrize(
    ("mode", "cold_seconds", "gap", "limited"),
    [
        (Mode.AUTO, 8.6, 0.4, True),
        (Mode.AUTO, 3.0, 0.4, False),
        (Mode.ON, 3.0, 0.4, True),
        (Mode.OFF, 8.6, 0.4, False),
        (Mode.ON, 8.6, 0.0, False),
    ],
)
def test_rule_follows_the_mode_and_the_routes(mode, cold_seconds, gap, limited):
    model = ModelRule("m", 70_000.0, 100.0, 0, cold_seconds, 1.7, 1.3)
    engine = EngineRule(64, 100_000, 200_000.0, 8, 9.0, {"m": model}, tokens_per_event=2)
    at = (WeightedService("llm", 1.0),)
    routes = [
        Route(name, "h", f"/{name}/", Idempotency.STREAM, 6.0, target, 1, at, 2, True, longest)
        for name, target, longest in (("a", 1.2, gap), ("b", 0.5, 0.0), ("c", 10.0, gap * 2))
    ]
    current = CurrentRoutes()
    services = {"llm": ServiceRule("llm", 9, engine), "plain": ServiceRule("plain", 9, None)}
    current.offer(RouteTable(1, routes, services, IngressLimits(1, 1, 1.0, 1.0)))
    rules = PauseRules(current, mode)
    assert rules.rule_of("llm") == (PauseRule(400.0, 1200.0, 2) if limited else None)
    assert rules.rule_of("plain") is None
