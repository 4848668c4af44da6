"""Which software versions may have begun a stream that still lives."""

import msgspec
import pytest
from redwingscale_daemon._internal.fleet.recorded_versions import NEVER_SERVED_SECONDS
from redwingscale_daemon._internal.fleet.software_versions import SoftwareRecord, SoftwareVersions
from redwingscale_daemon._internal.fleet.upstream import Upstream

STREAM_SECONDS = 40.0
NEVER_SERVED = SoftwareRecord({}, NEVER_SERVED_SECONDS)


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def ages():
    return {"list": 0.1, "suspended": 0.0}


@pytest.fixture
def make(clock, ages):
    def make():
        return SoftwareVersions(
            lambda: STREAM_SECONDS, lambda: ages["list"], clock, lambda: clock() - ages["suspended"]
        )

    return make


def listed(*software):
    return [
        Upstream(
            f"u{number}", "llm", "127.0.0.1", number, "z1", 64, False, None, {},
            frozenset(), frozenset(), software=one,
        )
        for number, one in enumerate(software)
    ]  # fmt: skip


def test_version_is_the_only_one_once_the_others_have_been_gone_for_a_stream(make, clock):
    versions = make()
    versions.take_over(NEVER_SERVED)
    both, one = listed("v1", "v1.1"), listed("v1.1", "v1.1")
    versions.follow([], both)
    assert versions.sole("llm") is None
    versions.follow(both, one)
    clock.now += STREAM_SECONDS - 1
    assert versions.sole("llm") is None
    clock.now += 2
    assert versions.sole("llm") == "v1.1"


def test_instance_that_has_just_started_knows_no_only_version(make, clock):
    """Guards against a stream of a version that was gone right before the instance started."""
    versions = make()
    versions.follow([], listed("v1.1"))
    assert versions.sole("llm") is None
    clock.now += STREAM_SECONDS + 1
    assert versions.sole("llm") == "v1.1"


def test_row_of_the_leader_carries_versions_over_a_restart_of_all_instances(make, clock):
    before, after = make(), make()
    before.take_over(NEVER_SERVED)
    before.follow([], listed("v1", "v1.1"))
    before.follow(listed("v1", "v1.1"), listed("v1.1"))
    clock.now += 3
    row = msgspec.json.encode(before.record())
    clock.now += 2
    after.take_over(msgspec.json.decode(row, type=SoftwareRecord))
    after.follow([], listed("v1.1"))
    assert after.remembered("llm") == {"v1", "v1.1"}
    clock.now += STREAM_SECONDS
    assert after.sole("llm") == "v1.1"


def test_old_list_knows_no_only_version(make, ages):
    """Guards against an instance that is cut off while a new version begins to serve."""
    versions = make()
    versions.take_over(NEVER_SERVED)
    versions.follow([], listed("v1"))
    assert versions.sole("llm") == "v1"
    ages["list"] = 2.5
    assert versions.sole("llm") is None


def test_list_from_before_a_suspend_knows_no_only_version(make, clock, ages):
    """Guards against a list that the steady clock takes for current after a suspend."""
    versions = make()
    versions.take_over(NEVER_SERVED)
    versions.follow([], listed("v1"))
    clock.now += 30
    ages["suspended"] = 30.0
    assert versions.sole("llm") is None
    clock.now += 1
    assert versions.sole("llm") == "v1"


def test_version_that_another_instance_tells_counts(make):
    versions = make()
    versions.take_over(NEVER_SERVED)
    versions.follow([], listed("v1"))
    versions.note("llm", "v1.1")
    assert versions.sole("llm") is None


def test_upstream_of_unknown_version_leaves_no_only_version(make):
    versions = make()
    versions.take_over(NEVER_SERVED)
    versions.follow([], listed("v1", None))
    assert versions.sole("llm") is None


def test_version_that_another_instance_tells_is_not_gone_while_the_list_lags(make, clock):
    """Guards against a begun stream that is cut since its worker is too new for the list here."""
    versions = make()
    versions.follow([], listed("v1.1"))
    assert versions.is_gone("llm", "v1")
    versions.note("llm", "v1")
    assert not versions.is_gone("llm", "v1")
    clock.now += 1
    versions.follow(listed("v1.1"), listed("v1", "v1.1"))
    clock.now += 1
    versions.follow(listed("v1", "v1.1"), listed("v1.1"))
    assert versions.is_gone("llm", "v1")


def test_version_that_no_list_has_for_long_is_gone(make, clock):
    versions = make()
    versions.follow([], listed("v1.1"))
    versions.note("llm", "v1")
    clock.now += 3
    assert versions.is_gone("llm", "v1")


def test_old_begin_says_nothing_of_a_version_that_has_left_the_list_since(make, clock):
    """Guards against a take-up that waits for a version that is gone, since it was asked for."""
    versions = make()
    versions.follow([], listed("v1", "v1.1"))
    clock.now += 5
    versions.follow(listed("v1", "v1.1"), listed("v1.1"))
    clock.now += 5
    versions.note("llm", "v1", 8.0)
    assert versions.is_gone("llm", "v1")


def test_version_that_may_have_been_missed_makes_the_only_one_unsure(make, clock):
    """Guards against a version that came and went while the list was not read."""
    versions = make()
    versions.take_over(NEVER_SERVED)
    versions.follow([], listed("v1"))
    assert versions.sole("llm") == "v1"
    versions.note_missed()
    clock.now += STREAM_SECONDS - 1
    assert versions.sole("llm") is None
    clock.now += 2
    assert versions.sole("llm") == "v1"
