"""The engines that a router chooses, and the prefix index that it uses."""

from contextlib import ExitStack

import pytest
from redwingscale_common.configuration import Unit
from redwingscale_daemon._internal.routing.cache_feed import CacheFeed
from redwingscale_daemon._internal.routing.policy import (
    LeastInFlight,
    PrefixAffinity,
    RandomChoice,
    RoundRobin,
)
from redwingscale_daemon._internal.routing.prefix import block_digests
from redwingscale_daemon._internal.routing.prefix_index import PrefixIndex
from redwingscale_daemon._internal.routing.router import ModelHooks
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_standins.engine.cache import prefix_digests

V1, V2 = Unit("m", "v1"), Unit("m", "v2")
PROMPT = "lot " * 100
POLICIES = [RoundRobin(), RandomChoice(), LeastInFlight(), PrefixAffinity()]


def _chosen(router, count=50, unit=V1, prompt=""):
    routes = [router.route(unit, prompt) for _ in range(count)]
    return {r.view.member.id for r in routes if r is not None}


@pytest.mark.parametrize("policy", POLICIES)
def test_leaving_stale_and_unready_engines_are_never_chosen(engines, make_router, policy):
    """Engines that are leaving or crashed undetected are still in the directory.

    Whatever the policy, a request sent there is cut off or waits in vain.
    """
    for engine in ("good", "listed-leaving", "says-leaving", "stale", "loading"):
        engines.add(engine, "a", str(V1), leaving=engine == "listed-leaving")
    engines.report("says-leaving", str(V1), leaving=True)
    engines.report("loading", str(V1), ready=False)
    engines.age("stale", 60.0)

    assert _chosen(make_router(policy=policy)) == {"good"}


def test_engines_stay_usable_when_all_digests_are_old(engines, make_router):
    """While the platform is down no owner can renew its lease, so all digests grow old.

    The engines still work. Treating them as stale would turn an outage of the store into
    an outage of the whole deployment.
    """
    for engine in ("e0", "e1"):
        engines.add(engine, "a", str(V1))
    for engine in ("e0", "e1"):
        engines.age(engine, 3600.0)

    assert _chosen(make_router()) == {"e0", "e1"}


def test_old_version_is_used_until_the_new_one_is_ready(engines, make_router):
    """Operators switch to v2 while it is still loading; callers must not be affected.

    The route names v1, since the engine would refuse an attempt at v2.
    """
    engines.add("e0", "a", str(V1))
    router = make_router(hooks=ModelHooks(lambda model: ["v2", "v1"], lambda model: None))

    before = router.route(V2._replace(adapter=""), "")
    engines.report("e0", str(V1), str(V2))
    after = router.route(V2, "")

    assert (before.unit, after.unit) == (V1, V2)


def test_unlisted_version_is_not_used(engines, make_router):
    engines.add("e0", "a", str(V1))
    router = make_router(hooks=ModelHooks(lambda model: ["v2"], lambda model: None))

    assert router.route(V2, "") is None


def test_own_failure_domain_is_preferred_unless_overloaded(engines, make_router):
    engines.add("near", "a", str(V1))
    engines.add("far", "b", str(V1))
    assert _chosen(make_router()) == {"near"}

    engines.report("near", str(V1), running=40)

    assert _chosen(make_router(), count=5) == {"far"}


def test_same_prefix_goes_to_the_same_engine_unless_it_is_busier(engines, make_router):
    in_flight = InFlight()
    for engine in ("e0", "e1", "e2", "e3"):
        engines.add(engine, "a", str(V1))
    router = make_router(in_flight=in_flight)

    (home,) = _chosen(router, count=5, prompt=PROMPT)
    with ExitStack() as stack:
        for _ in range(10):
            stack.enter_context(in_flight.track(home))
        elsewhere = _chosen(router, count=1, prompt=PROMPT)

    assert home not in elsewhere


def test_routers_with_the_same_report_spread_their_requests(engines, make_router):
    """Six instances see the same reports, in which half of the engines are idle.

    Guards against all instances sending to one of those, which would be the busiest
    until the next report.
    """
    for n in range(8):
        engines.add(f"e{n}", "a", str(V1))
    for n in range(8):
        engines.report(f"e{n}", str(V1), running=n % 2)
    sent = []
    with ExitStack() as stack:
        for seed in range(6):
            in_flight = InFlight()
            router = make_router(seed=seed, in_flight=in_flight)
            for _ in range(16):
                sent.append(router.route(V1, "").view.member.id)
                stack.enter_context(in_flight.track(sent[-1]))

    assert max(sent.count(f"e{n}") for n in range(8)) <= 2 * len(sent) / 8


def test_block_digests_equal_those_of_the_engines():
    assert block_digests(str(V1), PROMPT) == prefix_digests(str(V1), PROMPT)


def test_index_is_bounded():
    index = PrefixIndex(capacity_blocks=10)

    index.add("e0", [str(n) for n in range(100)], 0.0)

    assert len(index) == 10
    assert index.matches(["99"]) == {"e0": 1}


@pytest.fixture
def index_and_feed():
    """An index with three blocks of engine e0, and the feed that corrects it."""
    index = PrefixIndex()
    index.add("e0", ["x", "y", "z"], 10.0)
    return index, CacheFeed(index)


def test_evicted_blocks_are_dropped(cache_event, index_and_feed):
    index, feed = index_and_feed

    feed.take("e0", [cache_event(1, "+x"), cache_event(2, "-y")], 20.0)

    assert index.matches(["x", "y", "z"]) == {"e0": 1}


def test_late_eviction_keeps_blocks_routed_since(cache_event, index_and_feed):
    index, feed = index_and_feed

    feed.take("e0", [cache_event(1, "-y")], 11.0)

    assert index.matches(["x", "y"]) == {"e0": 2}


def test_gap_in_events_drops_all_blocks_of_the_engine(cache_event, index_and_feed):
    """An engine drops events, one of which may be the eviction of any block.

    Guards against routing prompts by an index whose blocks the engine no longer has.
    """
    index, feed = index_and_feed
    feed.take("e0", [cache_event(1, "+x")], 20.0)

    feed.take("e0", [cache_event(1, "+x"), cache_event(5, "+w")], 30.0)

    assert index.matches(["x"]) == {}
    assert index.matches(["w"]) == {"e0": 1}


def test_restart_of_an_engine_drops_its_blocks(cache_event, index_and_feed):
    """An engine restarts between two polls, and its numbers begin again below the last one.

    Polled for later numbers only, it would return no events for hours.
    """
    index, feed = index_and_feed
    feed.take("e0", [cache_event(7, "+x"), cache_event(8, "+y")], 20.0)

    feed.take("e0", [], 30.0)
    assert index.matches(["x"]) == {}
    assert feed.since("e0") == 0

    feed.take("e0", [cache_event(1, "+x")], 40.0)
    assert index.matches(["x"]) == {"e0": 1}
