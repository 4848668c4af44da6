"""What an instance tells the order giver of its callers' requests."""

from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.needs import Needs

UNIT = Unit("a")


def test_request_that_a_full_holder_missed_is_told_once():
    needs = Needs()
    needs.missed("llm", UNIT)
    assert [entry.missed for entry in needs.drain()] == [1]
    assert needs.drain() == []


def test_wait_is_told_until_it_ends():
    needs = Needs()
    needs.ask("llm", UNIT, 3.0)
    for _ in range(2):
        (entry,) = needs.drain()
        assert (entry.waiting, 2.5 < entry.patience_seconds <= 3.0) == (1, True)
    needs.done("llm", UNIT)
    assert needs.drain() == []
