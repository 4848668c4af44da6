"""Which upstreams an instance uses after the store came back from an older copy."""

import pytest
from redwingscale_daemon._internal.fleet.fleet import new_fleet
from redwingscale_daemon._internal.fleet.leaving_notices import share_leaving
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.store.store_version import StoreVersion


def listed(name, version, leaving=False):
    return Upstream(
        name, "llm", "127.0.0.1", 1, "z1", 64, leaving, None, {}, frozenset(), frozenset(),
        row_number=version.number, era=version.era,
    )  # fmt: skip


@pytest.fixture
def directory():
    made = new_fleet().directory
    made.replace(
        [listed("a", StoreVersion(1, 50)), listed("b", StoreVersion(1, 51))], StoreVersion(1, 60)
    )
    return made


def usable(directory):
    return sorted(one.id for one in directory.usable("llm"))


def test_lower_number_of_a_new_era_is_newer(directory):
    """Guards against a list that is refused until the store has passed its former version."""
    leaving = listed("a", StoreVersion(2, 41), leaving=True)
    assert directory.replace([leaving, listed("b", StoreVersion(2, 40))], StoreVersion(2, 41))
    assert usable(directory) == ["b"]


def test_list_of_an_earlier_era_that_arrives_late_is_refused(directory):
    """Guards against a slow read that undoes what was read after the copy."""
    directory.replace([listed("b", StoreVersion(2, 40))], StoreVersion(2, 40))
    assert not directory.replace([listed("a", StoreVersion(1, 70))], StoreVersion(1, 70))
    assert not directory.update([listed("a", StoreVersion(1, 70))], ["b"], StoreVersion(1, 70))
    assert usable(directory) == ["b"]


def test_upstream_that_drained_before_the_copy_stays_so(directory):
    """Guards against work for an upstream that the copy shows as ready."""
    directory.replace([listed("a", StoreVersion(1, 61), leaving=True)], StoreVersion(1, 61))
    for era in (2, 3):
        directory.replace([listed("a", StoreVersion(era, 50))], StoreVersion(era, 55))
        assert usable(directory) == []


@pytest.mark.parametrize("source", ["own read", "leader"])
def test_upstream_that_was_removed_before_the_copy_stays_so(directory, source):
    """Guards against work for an upstream that the copy lists again."""
    directory.replace([listed("b", StoreVersion(1, 51))], StoreVersion(1, 61))
    again, version = listed("a", StoreVersion(2, 50)), StoreVersion(2, 55)
    if source == "leader":
        directory.update([again], [], version)
    else:
        directory.replace([again, listed("b", StoreVersion(2, 51))], version)
    assert usable(directory) == ["b"]
    assert directory.leaving_unlisted() == ["a"]


def test_upstream_that_was_kept_after_its_removal_stays_removed(directory):
    """Guards against work for an upstream that was removed right after the store's return."""
    entries = [listed("a", StoreVersion(2, 50)), listed("b", StoreVersion(2, 51))]
    directory.replace(entries, StoreVersion(2, 55))
    directory.replace(entries[1:], StoreVersion(2, 56), kept=entries[:1])
    directory.update([], ["a"], StoreVersion(2, 56))
    copies = [one._replace(era=3) for one in entries]
    directory.replace(copies, StoreVersion(3, 52))
    assert usable(directory) == ["b"]


def test_next_start_of_a_removed_upstream_is_used(directory):
    directory.replace([listed("b", StoreVersion(1, 51))], StoreVersion(1, 61))
    start = listed("a@2", StoreVersion(2, 56))._replace(named="a", started_at_ms=2)
    directory.replace([start, listed("b", StoreVersion(2, 51))], StoreVersion(2, 56))
    assert usable(directory) == ["a@2", "b"]


def test_entry_that_is_written_again_in_its_era_is_used(directory):
    """Guards against a worker that is not used since its entry had lapsed for a while."""
    directory.replace([listed("b", StoreVersion(2, 51))], StoreVersion(2, 55))
    directory.replace(
        [listed("a", StoreVersion(2, 56)), listed("b", StoreVersion(2, 51))], StoreVersion(2, 56)
    )
    assert usable(directory) == ["a", "b"]


def test_entry_that_lapsed_and_that_a_copy_lists_again_is_used(directory):
    """Guards against two copies in a row that leave no worker."""
    a, b = listed("a", StoreVersion(1, 50)), listed("b", StoreVersion(2, 51))
    directory.replace([b], StoreVersion(2, 55), kept=[a])
    directory.replace([b], StoreVersion(2, 57))
    directory.replace(
        [listed("a", StoreVersion(3, 50)), listed("b", StoreVersion(3, 51))], StoreVersion(3, 55)
    )
    assert usable(directory) == ["a", "b"]


@pytest.mark.parametrize("before", ["draining", "removed"])
def test_instance_that_learned_nothing_before_the_copy_is_told(directory, before):
    """Guards against work from an instance that had not read the entry's last change."""
    other = new_fleet().directory
    other.replace(directory.all(), StoreVersion(1, 60))
    one, two = GossipState("one"), GossipState("two")
    one.on_forward(lambda entry: two.accept(entry, "one"))
    share_leaving(directory, one)
    share_leaving(other, two)
    b = listed("b", StoreVersion(1, 51))
    a = [listed("a", StoreVersion(1, 61), leaving=True)] if before == "draining" else []
    directory.replace([*a, b], StoreVersion(1, 61))
    copy = [listed("a", StoreVersion(2, 50)), listed("b", StoreVersion(2, 51))]
    for each in (other, directory):
        each.replace(copy, StoreVersion(2, 55))
    assert usable(other) == usable(directory) == ["b"]
