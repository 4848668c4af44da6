"""Waiting for a list that is not older than a request."""

import threading
import time

import pytest
from redwingscale_daemon._internal.fleet import list_confirmation
from redwingscale_daemon._internal.fleet.list_confirmation import ListConfirmation
from redwingscale_standins.hosted.waiting import until


@pytest.fixture
def confirmation():
    return ListConfirmation()


def answer(confirmation, begun_at):
    """Note a read as soon as one is wanted."""
    until(lambda: confirmation.wanted, "a wish")
    confirmation.note_read(begun_at())


def test_read_that_began_after_the_wish_confirms(confirmation):
    reader = threading.Thread(target=answer, args=(confirmation, time.monotonic))
    reader.start()
    assert confirmation.confirm()
    reader.join()
    assert not confirmation.wanted


def test_read_that_was_on_its_way_does_not_confirm(confirmation, monkeypatch):
    """Guards against an answer of the store that was held up, and names an older list."""
    monkeypatch.setattr(list_confirmation, "CONFIRM_SECONDS", 0.2)
    before = time.monotonic()
    reader = threading.Thread(target=answer, args=(confirmation, lambda: before))
    reader.start()
    assert not confirmation.confirm()
    reader.join()


def test_nothing_is_wanted_before_somebody_asks_and_after_the_wait(confirmation, monkeypatch):
    """Guards against reads without end while the store is away."""
    assert not confirmation.wanted
    monkeypatch.setattr(list_confirmation, "CONFIRM_SECONDS", 0.01)
    assert not confirmation.confirm()
    assert not confirmation.wanted
