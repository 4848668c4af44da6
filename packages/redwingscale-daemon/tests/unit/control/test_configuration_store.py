"""Applying a text: races, lost replies, outages between the writes."""

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
    """Passes on to a table; ``commits`` holds what each commit does, in order."""

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


def test_of_two_operators_at_once_one_wins_and_the_other_sees_it(store, text):
    """
    Two operators read version 1 and apply different texts at the same moment.
    One becomes version 2; the other must not replace it unseen.
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


def test_a_lost_reply_to_the_text_is_repeated(store, platform, text):
    """
    The platform stores the text and its reply is lost. The text is named by
    its digest, so to store it again changes nothing.
    """
    platform.faults.lose_replies = 1

    assert store.apply(text(), 0, "operator").pointer == store.pointer()


def test_a_lost_reply_to_the_pointer_is_resolved(client, store, platform, text):
    """
    The platform moves the pointer and its reply is lost. The operator must
    not be told that the apply failed, nor that somebody else came first.
    """

    def commit(transaction):
        platform.faults.lose_replies = 1
        return client.table.commit(transaction)

    outcome = failing_store(client, commit).apply(text(), 0, "operator")

    assert outcome == Applied(store.pointer())
    assert [p.version for p in store.history()] == [1]


def test_a_write_that_takes_effect_late_counts_once(client, text):
    """
    The reply to the pointer's write does not come and the row still is as it
    was: the write is on its way. Sent again, both arrive; one takes effect.
    """
    late = []

    def delay(transaction):
        late.append(transaction)
        raise WriteUnknown("no reply")

    def overtaken(transaction):
        client.table.commit(late[0])
        return client.table.commit(transaction)

    outcome = failing_store(client, delay, overtaken).apply(text(), 0, "operator")

    assert isinstance(outcome, Applied)
    assert ConfigurationStore(client).pointer().version == 1


def test_a_write_that_another_overtook_is_lost(client, store, text):
    """
    The reply to the pointer's write is lost and so is the write; meanwhile
    another operator's version came. The late one must learn that it lost.
    """

    def lose(transaction):
        store.apply(text(2), 0, "other")
        raise WriteUnknown("no reply")

    outcome = failing_store(client, lose).apply(text(1), 0, "operator")

    assert outcome == ApplyConflict(store.pointer())
    assert outcome.current.author == "other"


def test_an_outage_between_the_writes_leaves_the_old_version(client, store, text):
    """
    The text is stored, then the platform goes down before the pointer moves.
    The old version stays in force, and the same apply works after the outage.
    """
    store.apply(text(1), 0, "operator")

    with pytest.raises(PlatformUnavailable):
        failing_store(client, raise_unavailable).apply(text(2), 1, "operator")

    assert store.pointer().version == 1
    assert store.apply(text(2), 1, "operator").pointer.version == 2


def test_an_outcome_that_cannot_be_told_is_said_so(client, store, text):
    """
    Reply after reply is lost. To claim either outcome could be wrong, so the
    operator hears that it is unknown, applies again, and learns the truth.
    """
    with pytest.raises(WriteUnknown):
        failing_store(client, *[raise_unknown] * 9).apply(text(), 0, "operator")

    assert store.apply(text(), 0, "operator").pointer.version == 1


def test_an_apply_repeated_after_a_lost_answer_is_recognised(store, text):
    """
    The text was accepted, but the operator's connection broke before the
    answer. The same command again must not look like a lost race with oneself.
    """
    first = store.apply(text(1), 0, "operator")

    assert store.apply(text(1), 0, "operator") == Applied(first.pointer, repeated=True)


def test_an_apply_repeated_after_it_was_replaced_is_told_so(store, text):
    first = store.apply(text(1), 0, "operator")
    second = store.apply(text(2), 1, "other")

    again = store.apply(text(1), 0, "operator")

    assert again == ApplyConflict(second.pointer, superseded=first.pointer)


def test_a_base_that_never_was_is_refused(store, text):
    assert store.apply(text(), 7, "operator") == ApplyConflict(None)
