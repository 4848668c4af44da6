"""Reads of the list that are answered late."""

import threading
import time

import pytest
from redwingscale_daemon._internal.exceptions import PlatformUnavailable
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.list_follower import MAX_OPEN_READS, ListFollower
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.store.link_state import LinkState
from redwingscale_daemon._internal.store.rows import RowKey, Snapshot, StoredRow
from redwingscale_daemon._internal.store.store_version import StoreVersion

STEP_SECONDS = 0.1
WAIT_SECONDS = 5.0


def decode(name, row_version, value):
    return Upstream(
        name, "llm", "127.0.0.1", 1, "z1", 64, value == b"draining", None, {},
        frozenset(), frozenset(), row_number=row_version.number, era=row_version.era,
    )  # fmt: skip


class World:
    """A follower whose reads end when the test runs them, by a simulated clock."""

    def __init__(self):
        self.now = 1000.0
        self.names = {"a", "b"}
        self.version = 1
        self.reads = []
        self.directory = new_fleet().directory
        self.state = LinkState("upstreams")
        self.on_read = lambda begun_at: None
        self.follower = ListFollower(
            self, "servers", decode, self.directory, self.state,
            on_read=lambda begun_at: self.on_read(begun_at), run=self.reads.append,
        )  # fmt: skip

    def read(self, table, partition):
        if self.names is None:
            raise PlatformUnavailable("no answer")
        rows = tuple(
            StoredRow(RowKey(table, partition, name), StoreVersion(0, 1), b"")
            for name in sorted(self.names)
        )
        return Snapshot(rows, StoreVersion(0, self.version))

    def steps(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            self.follower.step()

    def listed(self):
        return {one.id for one in self.directory.all()}


@pytest.fixture
def world(monkeypatch):
    made = World()
    monkeypatch.setattr(time, "monotonic", lambda: made.now)
    return made


def test_list_of_a_late_answer_is_used_and_as_old_as_its_read(world):
    """Guards against a store that is slower than a time limit and is never read."""
    world.steps(0.1)
    began_at = world.now
    world.steps(1.5)
    world.reads[0]()
    assert world.listed() == {"a", "b"}
    assert world.state.age == pytest.approx(world.now - began_at)
    assert not world.state.lost


def test_silent_read_does_not_keep_a_further_one_from_being_answered(world):
    """Guards against a lost connection for which all reads wait."""
    world.steps(0.6)
    assert len(world.reads) == 2
    world.reads[1]()
    assert world.listed() == {"a", "b"}


def test_list_is_read_again_while_what_follows_a_read_has_no_answer(world):
    """Guards against a list that ages while the changes during a gap are asked for."""
    world.steps(0.1)

    def step_meanwhile(begun_at):
        step = threading.Thread(target=world.steps, args=(0.1,), daemon=True)
        step.start()
        step.join(WAIT_SECONDS)

    world.on_read = step_meanwhile
    world.reads[0]()
    assert len(world.reads) == 2


def test_answer_that_a_later_read_has_overtaken_is_ignored(world):
    """Guards against an upstream that a late answer lists again after its removal."""
    world.steps(0.6)
    world.names = {"a"}
    world.reads[1]()
    world.names = {"a", "b"}
    world.reads[0]()
    assert world.listed() == {"a"}


def test_failure_that_a_later_answer_has_overtaken_is_no_loss(world):
    """Guards against a store that counts as lost while it answers."""
    world.steps(0.6)
    world.reads[1]()
    world.names = None
    world.reads[0]()
    assert not world.state.lost


def test_open_reads_are_bounded(world):
    """Guards against a thread for each read of a store that is away."""
    world.steps(10.0)
    assert len(world.reads) == MAX_OPEN_READS


def test_silent_store_is_lost_before_a_read_is_given_up(world):
    """Guards against an instance that learns of a loss only at the end of the time limit."""
    world.steps(1.1)
    assert world.state.lost


def test_time_in_which_the_process_was_slow_is_no_loss_of_the_store(world):
    """Guards against an instance that takes its own lack of processor time for a lost store."""
    world.steps(0.1)
    world.now += 5.0
    world.follower.step()
    assert not world.state.lost


def test_read_without_a_thread_is_tried_again(world):
    """Guards against a list that is never read again after the machine had no room for a thread."""

    def fail(read):
        raise RuntimeError("can't start new thread")

    world.follower._run = fail
    for _ in range(2 * MAX_OPEN_READS):
        with pytest.raises(RuntimeError):
            world.steps(0.1)
    world.follower._run = world.reads.append
    world.steps(0.1)
    world.reads[0]()
    assert world.listed() == {"a", "b"}


def test_process_that_stays_slow_does_not_take_the_store_for_lost(world):
    """Guards against requests sent by an old list by an instance without processor time."""
    world.steps(0.1)
    for _ in range(5):
        world.now += 1.0
        world.follower.step()
    assert not world.state.lost
