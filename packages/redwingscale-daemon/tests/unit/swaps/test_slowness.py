"""What the leader learns and sends about the speed of workers."""

import time

import msgspec
import pytest
from redwingscale_daemon._internal.swaps.messages import FirstEventEntry
from redwingscale_daemon._internal.swaps.slowness import Slowness

MAX_BYTES = 1024


@pytest.fixture
def clock(monkeypatch):
    now = [1000.0]
    monkeypatch.setattr(time, "monotonic", lambda: now[0])
    return now


def first_event(upstream, factor, model="m"):
    return FirstEventEntry(upstream, model, 160.0, 160.0 * factor, 150.0, 0.0, 0, 0)


def run(slowness, clock, seconds, factors, values):
    """Let each worker send five first events a second; collect what the leader sends."""
    for _ in range(round(seconds / 0.2)):
        clock[0] += 0.2
        slowness.receive([first_event(key, factor) for key, factor in factors.items()])
        values |= slowness.changes()


def test_worker_that_is_slow_for_a_moment_is_seen_and_well_again(clock):
    # A worker is 2.5 times slower for 0.6 s. Guards against requests that still go there in
    # that time, and against avoiding it for seconds afterwards.
    slowness, values, usual = Slowness(), {}, dict.fromkeys(("u0", "u1", "u2"), 1.3)
    run(slowness, clock, 20, usual, values)
    before = values["u0"]
    run(slowness, clock, 0.6, usual | {"u0": 3.2}, values)
    assert values["u0"] > 1.5 * before
    assert values["u1"] == pytest.approx(before, rel=0.15)
    run(slowness, clock, 1.4, usual, values)
    assert values["u0"] == pytest.approx(before, rel=0.25)


def test_single_late_event_is_no_slow_spell(clock):
    slowness, values, usual = Slowness(), {}, dict.fromkeys(("u0", "u1"), 1.3)
    run(slowness, clock, 20, usual, values)
    before = values["u0"]
    run(slowness, clock, 0.2, usual | {"u0": 20.0}, values)
    assert values["u0"] < 1.6 * before


def test_updates_stay_small_and_repeat_all_values(clock):
    # 45 workers with ids and 126 models. Guards against an update four times a second to
    # each of 68 instances that fills the leader's link.
    slowness, values, sizes = Slowness(), {}, []
    keys = [f"worker-{n:02d}@1764781946123" for n in range(45)]
    for step in range(80):
        clock[0] += 0.25
        factor = 2.5 if step % 16 < 3 else 1.0
        slowness.receive(
            first_event(key, factor if n % 3 else 1.0, f"model-{(step * 45 + n) % 126:03d}")
            for n, key in enumerate(keys)
        )
        sent = slowness.changes()
        sizes.append(len(msgspec.msgpack.encode(sent)))
        if step >= 80 - 20:
            values |= sent
    assert sum(size < MAX_BYTES for size in sizes) > 0.5 * len(sizes)
    assert max(sizes) < 1.5 * MAX_BYTES
    assert len(values) == 45 + 126 + 4


def test_restarted_worker_is_dropped(clock):
    slowness, values = Slowness(), {}
    run(slowness, clock, 5, {"u0": 4.0, "u1": 1.0}, values)
    slowness.forget({"u0"})
    values.clear()
    run(slowness, clock, 3, {"u1": 1.0}, values)
    assert "u0" not in values
    assert "u1" in values


def test_successor_continues_with_the_former_values(clock):
    # The leader is lost. Guards against a successor that announces 1 for all workers until
    # it has seen enough first events.
    slowness, values = Slowness(), {}
    slowness.begin({"*": 1.4, "u0": 2.8, "m": 0.7, "*queue2": 0.4}, ["u0"])
    run(slowness, clock, 0.2, {"u0": 2.8 * 0.7}, values)
    assert values["u0"] == pytest.approx(2.8, rel=0.2)
    assert values["m"] == pytest.approx(0.7, rel=0.2)
    assert values["*queue2"] == pytest.approx(0.4)


def test_nothing_is_sent_without_first_events(clock):
    # Services without the feature send no first events: their updates stay as they are.
    assert Slowness().changes() == {}
