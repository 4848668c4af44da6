"""Bookings of returns at one instance, and how the leader passes them on."""

import msgspec
import pytest
from redwingscale_daemon._internal.admission.booked_return import BookedReturn, return_digest
from redwingscale_daemon._internal.admission.return_book import ReturnBook
from redwingscale_daemon._internal.admission.return_time import place_seconds, return_time
from redwingscale_daemon._internal.fleet.list_update import ListUpdate
from redwingscale_daemon._internal.fleet.prompt import Prompt, PromptPart
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps.announced_returns import AnnouncedReturns
from redwingscale_daemon._internal.swaps.messages import LeaderUpdate, LoadEntry, StoreUpdate
from redwingscale_daemon._internal.swaps.messages import ReturnEntry as Entry
from redwingscale_daemon._internal.swaps.unserved_units import MAX_LISTED

MAX_UPDATE_BYTES = 4096
READ = StoreUpdate(1, ListUpdate([], [], 0.0, 0, 0), 1, 0.0)


@pytest.fixture
def book(clock):
    return ReturnBook(clock)


def one(digest="d", due_at=1002.0, rank=1, tokens=1000):
    return BookedReturn("llm", Unit("m"), digest, due_at, tokens, rank)


def entry(number, seconds):
    return Entry(
        "summaries", f"quote-model-{number:03d}", f"q{number:03d}", f"digest{number:02d}",
        seconds, 2368, 1,
    )  # fmt: skip


@pytest.mark.parametrize(
    ("late", "claimed"), [(-0.4, False), (-0.2, True), (1.9, True), (2.1, False)]
)
def test_claim_needs_the_announced_time(book, clock, late, claimed):  # fmt: skip
    book.book(one())
    clock.now = 1002.0 + late
    assert (book.claim("d")[0] is not None) is claimed


def test_claim_is_used_up_although_the_leader_repeats_it(book, clock):
    # Guards against a second request that takes the claim of the first one.
    book.book(one())
    clock.now = 1002.0
    assert book.claim("d")[0]
    book.receive([one(due_at=1002.02)])
    assert book.claim("d") == (None, 0.0)


def test_places_are_kept_for_urgent_returns_until_shortly_after_their_time(book, clock):
    book.book(one("urgent", rank=0, tokens=100))
    book.book(one("less", rank=2, tokens=1000))
    assert book.tokens_by_unit("llm", 1) == {Unit("m"): 100}
    assert book.tokens_by_unit("llm", 1, within_seconds=1.0) == {}
    clock.now = 1002.5
    assert book.tokens_by_unit("llm", 3) == {}
    clock.now = 1005.0
    book.receive([])
    assert len(book) == 0


def test_digest_is_that_of_the_prompt_and_the_caller():
    shared, own = PromptPart("system", 568), PromptPart("own", 1800)
    prompt = Prompt(Unit("m"), 2368, 11, (shared, own))
    same = return_digest("llm", prompt, b"k")
    assert return_digest("llm", prompt._replace(parts=(own,)), b"k") == same
    others = [
        return_digest("llm", prompt, b"other key"),
        return_digest("llm", prompt._replace(unit=Unit("m", "a")), b"k"),
        return_digest("llm", prompt._replace(parts=()), b"k"),
    ]
    assert len({same, *others}) == 4


def test_place_is_behind_the_queue_and_the_bookings():
    places = [place_seconds([2.0, 1.0, 4.0], booked) for booked in (0.0, 0.5, 2.0)]
    assert places == [1.0, 1.5, 2.5]


def test_return_time_is_within_the_third_or_honest():
    assert return_time(0.0, 6.0, 1.0, 0.0) == (0.3, True)
    assert return_time(1.9, 6.0, 1.0, 1.0) == (2.0, True)
    assert return_time(2.9, 6.0, 1.0, 0.0) == (2.0, True)
    assert return_time(3.1, 6.0, 1.0, 0.0) == (3.1, False)
    # Too little time is left for any return.
    assert not return_time(0.1, 0.6, 1.0, 0.0).in_reach


def test_update_is_bounded_and_the_earliest_returns_come_first(clock):
    # Four updates a second go to seventy instances over links of 5 Mbit/s.
    leader = AnnouncedReturns(clock)
    leader.receive(entry(n, 4.0 - n / 32) for n in range(100))
    first, second = leader.next_entries(), leader.next_entries()
    assert 40 < len(first) <= 60
    assert [one.request for one in first] == [f"digest{99 - n}" for n in range(len(first))]
    assert not {one.request for one in first} & {one.request for one in second[:40]}
    loads = [LoadEntry(f"i-{n:010x}", 60, 40_000, 30) for n in range(45)]
    units = [f"quote-model-{n:03d}/q{n:03d}" for n in range(MAX_LISTED)]
    update = LeaderUpdate(
        "i", 1, [], False, {}, loads, 61, READ, unplanned=units, returns=first
    )  # fmt: skip
    assert len(msgspec.msgpack.encode(update)) <= MAX_UPDATE_BYTES
    assert update.delayed(0.5).returns[0].seconds == first[0].seconds - 0.5


def test_each_return_is_sent_twice_and_a_new_leader_has_none(clock):
    leader = AnnouncedReturns(clock)
    leader.receive([entry(1, 2.0), entry(2, 9.0)])
    assert [len(leader.next_entries()) for _ in range(3)] == [1, 1, 0]
    clock.now += 5.0
    assert [one.seconds for one in leader.next_entries()] == [4.0]
    leader.clear()
    assert leader.next_entries() == []
