"""How much one instance lets in of a workspace's limit."""

from redwingscale_daemon._internal.workspaces.use_messages import GrantEntry
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, UseUnit, Workspace

from .conftest import LIMIT, WORKSPACE

FAR_FROM_LIMIT = GrantEntry("clerks", 1000.0, 100.0, near_limit=False)


def near_limit(per_second=1000.0, offered=10_000.0):
    return GrantEntry("clerks", per_second, offered, near_limit=True)


def test_far_from_the_limit_an_instance_may_use_all_of_it(instance, clock):
    """Guards against refusals within a limit that only one instance is asked for."""
    let_in = 0
    for _ in range(20):
        clock.now += 0.25
        instance.limiter.receive([FAR_FROM_LIMIT])
        let_in += instance.count_let_in(100, 10)
    assert 30 <= let_in <= 61


def test_a_rise_that_nobody_has_heard_of_is_bounded(instance):
    """Guards against a flood that begins just when the order giver is lost."""
    instance.limiter.receive([FAR_FROM_LIMIT])
    assert instance.count_let_in(100, 20) == 2


def test_a_request_larger_than_what_is_left_is_paid_back(instance, clock):
    """Guards against small limits that let nothing in, as no part is as large as a request."""
    instance.limiter.receive([FAR_FROM_LIMIT])
    assert instance.lets_in(5000) == 0
    clock.now += 3.9
    instance.limiter.receive([])
    assert instance.lets_in(10) > 0
    clock.now += 0.2
    assert instance.lets_in(10) == 0


def test_near_the_limit_an_instance_lets_in_its_part(instance, clock):
    """Guards against each of many instances using the limit for itself."""
    instance.limiter.receive([near_limit()])
    let_in = 0
    for _ in range(200):
        clock.now += 0.1
        instance.limiter.receive([near_limit()])
        let_in += 100 * instance.count_let_in(100, 1)
    # It is asked for 1000 a second of 10,000 in all: a tenth of the limit, for 20 s.
    assert 1800 <= let_in <= 2500


def test_without_news_an_instance_keeps_its_part(instance, clock):
    """Guards against instances that are cut off and use what the others use too."""
    instance.limiter.receive([FAR_FROM_LIMIT])
    instance.lets_in(100)
    clock.now += 0.25
    instance.limiter.updates()
    instance.limiter.receive([GrantEntry("clerks", 1000.0, 500.0, near_limit=False)])
    clock.now += 5.0
    let_in = 0
    for _ in range(100):
        clock.now += 0.1
        let_in += 100 * instance.count_let_in(100, 5)
    # Its part was 110 of 500: ten seconds of it, and of the burst.
    assert 1000 <= let_in <= 2900


def test_an_instance_that_began_anew_keeps_an_even_part(instance, clock):
    """Guards against a limit used many times over, or hardly, when all instances restart."""
    let_in = 0
    for _ in range(1000):
        clock.now += 0.1
        let_in += 100 * instance.count_let_in(100, 5)
    assert 9000 <= let_in <= 11_000


def test_an_instance_that_was_not_asked_before_keeps_a_third_of_an_even_part(instance, clock):
    instance.limiter.receive([])
    clock.now += 2
    let_in = 0
    for _ in range(1000):
        clock.now += 0.1
        let_in += 100 * instance.count_let_in(100, 5)
    assert 2400 <= let_in <= 3700


def test_lower_limit_binds_at_once(instance, clock):
    instance.limiter.receive([FAR_FROM_LIMIT])
    instance.lets_in(100)
    lowered = Workspace("clerks", 1, LIMIT._replace(per_second=10.0, burst=10.0))
    clock.now += 0.1
    assert instance.lets_in(100, lowered) == 0
    assert instance.lets_in(100, lowered) > 0


def test_room_that_a_request_gives_back_is_there_for_the_next(instance):
    """Guards against refused requests that use up the limit without having run."""
    instance.limiter.receive([FAR_FROM_LIMIT])
    drawn = instance.limiter.draw(WORKSPACE, 5000).units
    assert instance.lets_in(10) > 0
    instance.limiter.refund(WORKSPACE, drawn)
    assert instance.lets_in(10) == 0


def test_callers_are_told_to_come_back_one_after_the_other(instance):
    """Guards against all refused callers coming back for the same room."""
    instance.limiter.receive([FAR_FROM_LIMIT])
    instance.lets_in(2000)
    told = [instance.lets_in(500) for _ in range(4)]
    assert [round(seconds, 2) for seconds in told] == [1.0, 1.5, 2.0, 2.5]


def test_requests_count_one_each_where_requests_are_limited(instance):
    calls = Workspace("calls", 1, UseLimit(UseUnit.REQUESTS, 2.0, 2.0))
    instance.limiter.receive([])
    assert [instance.lets_in(9000, calls) == 0 for _ in range(4)] == [True, True, False, False]


def test_no_limit_lets_everything_in(instance):
    free = Workspace("free", 1, None)
    assert all(instance.lets_in(10**9, free) == 0 for _ in range(100))
    assert instance.limiter.updates() == []


def test_use_is_told_once_it_has_changed(instance, clock):
    instance.limiter.receive([FAR_FROM_LIMIT])
    instance.lets_in(300)
    (entry,) = instance.limiter.updates()
    assert (entry.workspace, entry.used) == ("clerks", 300)
    clock.now += 30
    instance.limiter.updates()
    assert instance.limiter.updates() == []
