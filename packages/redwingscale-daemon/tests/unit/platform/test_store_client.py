"""Reads of a table in several pages."""

import pytest
from redwingscale_daemon._internal.platform.store_client import StoreClient


@pytest.fixture
def client(monkeypatch):
    """A client of a store in which a row is written between the two pages of a table."""
    pages = {
        "": b'{"Rows": [{"Key": "a", "RowVersion": 3}], "Truncated": true, "RowVersion": 7}',
        "a\x00": b'{"Rows": [{"Key": "b", "RowVersion": 8}], "RowVersion": 8}',
    }
    made = StoreClient("127.0.0.1", 1)
    answers = iter(pages.values())
    monkeypatch.setattr(made, "_get", lambda target, timeout: next(answers))
    return made


def test_snapshot_has_the_version_of_its_first_page(client):
    """Guards against an upstream that is used after its row was deleted between two pages.

    The changes after the second page's version do not contain the deletion.
    """
    snapshot = client.read("servers", "")
    assert [row.key.key for row in snapshot.rows] == ["a", "b"]
    assert snapshot.version == 7
