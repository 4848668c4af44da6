"""Applying a text: conflicts, lost replies and outages between the writes."""

from concurrent.futures import ThreadPoolExecutor

import pytest
from redwingscale_daemon._internal.configuration.store import (
    Applied,
    ApplyConflict,
    ConfigurationStore,
)
from redwingscale_daemon._internal.exceptions import PlatformUnavailable, WriteUnknown
from redwingscale_daemon._internal.settings.settings import PlatformSettings
from redwingscale_daemon._internal.store.store import connect_platform


@pytest.fixture
def client(platform):
    return connect_platform(PlatformSettings(platform.url, 2.0), "operator")


@pytest.fixture
def store(client):
    return ConfigurationStore(client)


class FailingTable:
    """Wraps a table; ``commits`` replaces the first commits, in order."""

    def __init__(self, table, commits):
        self._table = table
        self._commits = commits

    def __getattr__(self, name):
        return getattr(self._table, name)

    def commit_and_resolve(self, transaction):
        return type(self._table).commit_and_resolve(self, transaction)

    def _resolve(self, transaction):
        return type(self._table)._resolve(self, transaction)

    def commit(self, transaction):
        return (
            self._commits.pop(0)(transaction) if self._commits else self._table.commit(transaction)
        )


def failing_store(client, *commits):
    return ConfigurationStore(client._replace(table=FailingTable(client.table, list(commits))))


def raise_unknown(transaction):
    raise WriteUnknown("no reply")


def raise_unavailable(transaction):
    raise PlatformUnavailable("down")


def test_of_concurrent_applies_one_succeeds_and_the_others_conflict(store, text):
    """
    Several operators read version 1 and apply different texts concurrently.
    One text becomes version 2; the others must not replace it unnoticed.
    """
    store.apply(text(1), 0, "first")

    with ThreadPoolExecutor(8) as pool:
        futures = [pool.submit(store.apply, text(10 + n), 1, f"operator-{n}") for n in range(8)]
        outcomes = [future.result() for future in futures]

    won = [o for o in outcomes if isinstance(o, Applied)]
    assert len(won) == 1
    assert {o.current for o in outcomes if isinstance(o, ApplyConflict)} == {won[0].pointer}
    assert store.pointer() == won[0].pointer
    assert [p.version for p in store.history()] == [2, 1]


def test_text_whose_reply_is_lost_is_written_again(store, platform, text):
    """
    The platform stores the text and its reply is lost. The name of the text is
    its digest, so to store it again changes nothing.
    """
    platform.faults.lose_replies = 1

    assert store.apply(text(), 0, "operator").pointer == store.pointer()


def test_lost_reply_to_the_pointer_is_resolved(client, store, platform, text):
    """
    The platform changes the pointer and its reply is lost. The result must be
    neither a failed apply nor a conflict with another operator.
    """

    def commit(transaction):
        platform.faults.lose_replies = 1
        return client.table.commit(transaction)

    outcome = failing_store(client, commit).apply(text(), 0, "operator")

    assert outcome == Applied(store.pointer())
    assert [p.version for p in store.history()] == [1]


def test_write_that_takes_effect_late_counts_once(client, text):
    """
    The reply to the write of the pointer does not arrive and the row is still
    unchanged, since the write is delayed. It is sent again, both writes arrive
    and one takes effect.
    """
    late = []

    def delay(transaction):
        late.append(transaction)
        raise WriteUnknown("no reply")

    def commit_after_delayed(transaction):
        client.table.commit(late[0])
        return client.table.commit(transaction)

    outcome = failing_store(client, delay, commit_after_delayed).apply(text(), 0, "operator")

    assert isinstance(outcome, Applied)
    assert ConfigurationStore(client).pointer().version == 1


def test_lost_write_that_another_preceded_is_a_conflict(client, store, text):
    """
    The write of the pointer and its reply are lost, and another operator's
    version is accepted meanwhile. The first apply must report the conflict.
    """

    def lose(transaction):
        store.apply(text(2), 0, "other")
        raise WriteUnknown("no reply")

    outcome = failing_store(client, lose).apply(text(1), 0, "operator")

    assert outcome == ApplyConflict(store.pointer())
    assert outcome.current.author == "other"


def test_outage_between_the_writes_leaves_the_old_version(client, store, text):
    """
    The text is stored, and the platform fails before the pointer changes. The
    old version stays in force, and the same apply succeeds after the outage.
    """
    store.apply(text(1), 0, "operator")

    with pytest.raises(PlatformUnavailable):
        failing_store(client, raise_unavailable).apply(text(2), 1, "operator")

    assert store.pointer().version == 1
    assert store.apply(text(2), 1, "operator").pointer.version == 2


def test_unknown_outcome_is_reported_as_unknown(client, store, text):
    """
    All replies are lost. Success and failure could both be wrong, so the outcome
    is reported as unknown; a repeated apply returns the actual one.
    """
    with pytest.raises(WriteUnknown):
        failing_store(client, *[raise_unknown] * 9).apply(text(), 0, "operator")

    assert store.apply(text(), 0, "operator").pointer.version == 1


def test_apply_repeated_after_a_lost_response_is_recognised(store, text):
    """
    The text was accepted, but the operator's connection broke before the
    response. The same command must not conflict with itself.
    """
    first = store.apply(text(1), 0, "operator")

    assert store.apply(text(1), 0, "operator") == Applied(first.pointer, repeated=True)


def test_apply_repeated_after_its_version_was_replaced_is_a_conflict(store, text):
    first = store.apply(text(1), 0, "operator")
    second = store.apply(text(2), 1, "other")

    again = store.apply(text(1), 0, "operator")

    assert again == ApplyConflict(second.pointer, superseded=first.pointer)


def test_base_version_that_never_existed_is_refused(store, text):
    assert store.apply(text(), 7, "operator") == ApplyConflict(None)
