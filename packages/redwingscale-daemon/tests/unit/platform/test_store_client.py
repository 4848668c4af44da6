"""Reads and writes at a store that is written meanwhile, or comes back from an older copy."""

import pytest
from redwingscale_daemon._internal.exceptions import (
    EraChanged,
    HistoryGone,
    PlatformUnavailable,
    WriteUnknown,
)
from redwingscale_daemon._internal.platform.store_client import StoreClient
from redwingscale_daemon._internal.store.rows import RowKey
from redwingscale_daemon._internal.store.store_eras import UNTOLD_ERA, StoreEras
from redwingscale_daemon._internal.store.store_version import StoreVersion
from urllib3 import HTTPResponse

FIRST_PAGE = b'{"Rows": [{"Key": "a", "RowVersion": 3}], "Truncated": true, "RowVersion": 7}'
LAST_PAGE = b'{"Rows": [{"Key": "b", "RowVersion": 8}], "RowVersion": 8}'
ROW = RowKey("t", "", "b")


@pytest.fixture
def eras():
    return StoreEras()


@pytest.fixture
def answer(monkeypatch, eras):
    """Return a client that gets the given answers: status, body and era of each."""

    def make(*answers):
        made = StoreClient("127.0.0.1", 1, eras)
        responses = iter(
            HTTPResponse(body, {"Store-Era": str(era)}, status) for status, body, era in answers
        )
        monkeypatch.setattr(made._pool, "request", lambda *_, **__: next(responses))
        return made

    return make


def test_snapshot_has_the_version_of_its_first_page(answer):
    """Guards against an upstream that is used after its row was deleted between two pages.

    The changes after the second page's version do not contain the deletion.
    """
    snapshot = answer((200, FIRST_PAGE, 1), (200, LAST_PAGE, 1)).read("servers", "")
    assert [row.key.key for row in snapshot.rows] == ["a", "b"]
    assert snapshot.version == StoreVersion(1, 7)
    assert snapshot.rows[1].version == StoreVersion(1, 8)


def test_pages_of_two_eras_are_no_snapshot(answer):
    """Guards against a list of which one page is from before the copy."""
    with pytest.raises(EraChanged):
        answer((200, FIRST_PAGE, 1), (200, LAST_PAGE, 2)).read("servers", "")


def test_era_that_is_no_number_is_untold(answer):
    """Guards against an answer for which the reader of the store fails."""
    snapshot = answer((200, LAST_PAGE, "\xb2")).read("servers", "")
    assert snapshot.version == StoreVersion(UNTOLD_ERA, 8)


def test_answer_of_an_earlier_era_counts_as_none(answer, eras):
    """Guards against a slow read that undoes what was read after the copy."""
    eras.note(2, "peer")
    with pytest.raises(PlatformUnavailable):
        answer((200, LAST_PAGE, 1)).read("servers", "")
    with pytest.raises(WriteUnknown):
        answer((200, LAST_PAGE, 1)).write(ROW, b"", StoreVersion(1, 8))


def test_changes_since_a_version_of_another_era_are_read_again(answer):
    """Guards against rows that are skipped since their numbers were given out before."""
    with pytest.raises(EraChanged):
        answer((200, LAST_PAGE, 2)).changes("t", StoreVersion(1, 7), 0.1)
    with pytest.raises(HistoryGone):
        answer((410, b"", 2)).changes("t", StoreVersion(2, 9), 0.1)
    changes = answer((200, LAST_PAGE, 2)).changes("t", StoreVersion(2, 7), 0.1)
    assert changes.version == StoreVersion(2, 8)


@pytest.mark.parametrize("status", [200, 412])
def test_write_with_a_condition_of_another_era_proves_nothing(answer, status):
    """Guards against a lease that is renewed on the number of a successor's row."""
    client = answer((status, LAST_PAGE, 2), (status, LAST_PAGE, 2))
    with pytest.raises(EraChanged):
        client.write(ROW, b"", StoreVersion(1, 7))
    written = client.write(ROW, b"", StoreVersion(2, 7))
    assert written == (StoreVersion(2, 8) if status == 200 else None)


def test_first_era_is_no_rise(eras):
    risen = []
    eras.on_rise(lambda before, era: risen.append((before, era)))
    for era in (0, 0, 2, 1, 2, 3):
        eras.note(era, "store")
    assert risen == [(None, 0), (0, 2), (2, 3)]
    assert eras.newest == 3
