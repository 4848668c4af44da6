"""Rate limits that upstreams advertise for all instances together."""

import math
import random

import pytest
from loguru import logger
from redwingscale_daemon._internal.fleet.rate_limit_messages import PermitEntry
from redwingscale_daemon._internal.fleet.rate_limits import RateLimits
from redwingscale_standins.rate_limits.model import UPSTREAM, History, RateModel

# Number of random histories in each test.
HISTORIES = 150


def random_histories(instances, leader_ends_at, lost_fractions=(0.0, 0.05, 0.2)):
    draw = random.Random(7)
    return [
        History(
            instances=draw.choice(instances),
            rate=draw.choice([0.0, 0.4, 1.0, 2.5, 10.0]),
            offered=draw.choice([1.0, 4.0, 12.0]),
            lost_fraction=draw.choice(lost_fractions),
            leader_ends_at=draw.choice(leader_ends_at),
            next_leader_after=draw.choice([0.25, 1.0, 5.0]),
            seed=draw.randrange(10_000),
        )
        for _ in range(HISTORIES)
    ]


def exceeded(histories):
    models = [RateModel(history).run() for history in histories]
    return [model.history for model in models if model.most_in_window() > model.allowed()]


@pytest.fixture(autouse=True)
def no_log_lines():
    logger.disable("redwingscale_common")
    yield
    logger.enable("redwingscale_common")


def test_few_instances_keep_a_rate_limit_whatever_happens_to_the_leader():
    # Guards against instances that each apply a limit separately, and against two leaders
    # that both issue permits for it.
    histories = random_histories([1, 2, 6], [1.0, 2.1, 5.0, 8.0, math.inf], (0.0, 0.2, 0.6))
    assert exceeded(histories) == []


def test_many_instances_keep_a_rate_limit_when_the_leader_is_lost_later():
    # Guards against a hundred instances that use their fractions of a limit simultaneously.
    assert exceeded(random_histories([24, 67], [3.5, 5.0, 8.0, math.inf])) == []


def test_many_instances_keep_a_rate_limit_when_the_leader_is_lost_as_a_limit_begins():
    # Guards against instances that each learn of a limit from a request of their own.
    assert exceeded(random_histories([24, 67], [1.0, 2.1])) == []


def test_many_instances_keep_a_rate_limit_when_the_load_rises_as_it_is_advertised():
    # Guards against an excess of requests before the instances learn of a limit.
    assert exceeded([History(67, 1.0, offered=30.0)]) == []
    histories = [
        History(n, 1.0, offered=30.0, seed=seed) for n in (24, 67) for seed in range(2, 12)
    ]
    assert exceeded(histories) == []


@pytest.mark.parametrize("instances", [1, 6, 67, 372])
@pytest.mark.parametrize("rate", [1.0, 4.0])
def test_rate_limit_is_used_up_by_the_instances_that_get_requests(instances, rate):
    # Guards against limits that are divided evenly while few instances get requests.
    model = RateModel(History(instances, rate, offered=30.0, ends_at=30.0, until=30.0)).run()
    used = model.sent_between(10.0, 30.0) / 20.0
    assert 0.7 * rate <= used <= 1.05 * rate


@pytest.mark.parametrize("instances", [1, 6, 67])
def test_upstream_gets_all_requests_when_its_limit_has_ended(instances):
    # Guards against a limit whose end no instance detects.
    model = RateModel(History(instances, 1.0, offered=8.0, until=24.0)).run()
    assert model.sent_between(18.0, 24.0) >= 8.0 * 6 * 0.8


@pytest.fixture
def rates():
    clock = [100.0]
    made = RateLimits("one", clock=lambda: clock[0])
    made.clock = clock
    return made


def test_answer_to_an_earlier_request_does_not_end_a_limit(rates):
    # Guards against a late answer from before the limit that lets all requests through.
    sent_at = rates.clock[0]
    rates.clock[0] += 0.1
    rates.note_limit(UPSTREAM, 2.0, "answer")
    rates.note_no_limit(UPSTREAM, sent_at, "answer")
    assert rates.per_second(UPSTREAM) == 2.0
    rates.note_no_limit(UPSTREAM, rates.clock[0] + 0.1, "answer")
    assert rates.per_second(UPSTREAM) is None


def test_older_update_does_not_replace_a_newer_answer(rates):
    # Guards against a leader with stale state that restores an ended limit.
    rates.note_limit(UPSTREAM, 2.0, "answer")
    rates.clock[0] += 1.0
    rates.note_no_limit(UPSTREAM, rates.clock[0], "answer")
    rates.receive([PermitEntry(UPSTREAM, 2.0, 0.5, 0, {})])
    assert rates.per_second(UPSTREAM) is None
    rates.receive([PermitEntry(UPSTREAM, 3.0, 0.0, 0, {"one": 1})])
    assert rates.per_second(UPSTREAM) is None
    rates.clock[0] += 0.1
    rates.receive([PermitEntry(UPSTREAM, 3.0, 0.0, 0, {"one": 1})])
    assert rates.per_second(UPSTREAM) == 3.0
    assert rates.draw(UPSTREAM)
    assert not rates.draw(UPSTREAM)


def test_unused_permits_expire(rates):
    # Guards against permits that are saved up and used all at once.
    rates.note_limit(UPSTREAM, 2.0, "answer")
    rates.receive([PermitEntry(UPSTREAM, 2.0, 0.0, 0, {"one": 2})])
    rates.clock[0] += 1.1
    assert not rates.draw(UPSTREAM)


def test_wait_counts_the_requests_of_all_instances(rates):
    # Guards against requests that wait in vain, since those before them take longer.
    rates.note_limit(UPSTREAM, 2.0, "answer")
    rates.receive([PermitEntry(UPSTREAM, 2.0, 0.0, 6, {})])
    assert rates.wait_seconds([UPSTREAM]) == 3.0
    with rates.waiting([UPSTREAM]):
        assert [entry.waiting for entry in rates.updates()] == [1]
    assert [entry.waiting for entry in rates.updates(full=True)] == [0]


def test_upstream_that_is_gone_is_dropped(rates):
    rates.note_limit(UPSTREAM, 0.0, "answer")
    rates.forget({UPSTREAM})
    assert rates.may_send(UPSTREAM)
    assert not rates.updates()


def test_limit_of_an_upstream_that_has_left_is_ignored():
    # Guards against limits of upstreams that are gone, which instances would send to each
    # other forever.
    listed = {UPSTREAM}
    rates = RateLimits("one", listed=listed.__contains__)
    rates.note_limit(UPSTREAM, 1.0, "answer")
    listed.clear()
    rates.forget({UPSTREAM})
    rates.note_limit(UPSTREAM, 1.0, "answer")
    rates.receive([PermitEntry(UPSTREAM, 1.0, 0.0, 0, {})])
    assert not rates.limited()


def test_limit_is_sent_only_while_it_is_new_or_wanted(rates):
    # Guards against hundreds of instances that always send the leader what it has already.
    rates.receive([PermitEntry(UPSTREAM, 1.0, 0.0, 0, {})])
    assert rates.updates() == []
    assert [entry.upstream for entry in rates.updates(full=True)] == [UPSTREAM]
    rates.clock[0] += 0.1
    rates.note_limit(UPSTREAM, 2.0, "answer")
    assert [entry.per_second for entry in rates.updates()] == [2.0]
    rates.clock[0] += 3.0
    assert rates.updates() == []
    rates.may_send(UPSTREAM)
    assert [entry.wanted for entry in rates.updates()] == [True]
