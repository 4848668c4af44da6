"""Swaps at workers that are cut off, that restart, or whose unload takes long."""

import pytest
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.settings.scheduling import Mode
from redwingscale_daemon._internal.swaps import lost_swaps, worker_orders
from redwingscale_daemon._internal.swaps.instance_totals import NO_TOTALS
from redwingscale_daemon._internal.swaps.order import Load, OrderResult, Unload
from redwingscale_daemon._internal.swaps.reach import Reach
from redwingscale_daemon._internal.swaps.room import used_mb
from redwingscale_daemon._internal.swaps.tasks import SwapTask
from redwingscale_daemon._internal.swaps.worker_orders import OrderAuthority
from redwingscale_daemon._internal.swaps.worker_pool import WorkerPool

from .conftest import ScriptedWorker, Workers, until, upstream


class SlowWorker(ScriptedWorker):
    """Accepts orders and stays busy with each until `finish`; each of its starts counts anew."""

    def __init__(self, *resident):
        super().__init__(resident)
        self.started_at_ms = 1
        self.pending = None

    def report(self, upstream):
        report = super().report(upstream)
        return report and report._replace(busy=self.pending is not None)

    def order(self, upstream, order):
        if self.pending is not None:
            self.orders.append(order)
            return OrderResult.BUSY
        return super().order(upstream, order)

    def _apply(self, order):
        if order.orders_accepted != self.accepted:
            return OrderResult.BUSY
        self.pending = order
        return OrderResult.ACCEPTED

    def finish(self):
        order, self.pending = self.pending, None
        self.accepted -= 1
        super()._apply(order)
        self.accepted += 1


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    for name, seconds in {
        "ROUTE_AWAY_SECONDS": 0.01,
        "POLL_SECONDS": 0.01,
        "UNREACHABLE_PAUSE_SECONDS": 0.02,
        "LOAD_CHECK_SECONDS": 0.02,
    }.items():
        monkeypatch.setattr(worker_orders, name, seconds)
    monkeypatch.setattr(lost_swaps, "REREAD_SECONDS", 0.0)


@pytest.fixture
def given_up():
    """The reasons for which swaps were given up."""
    return []


@pytest.fixture
def make_pool(engine, given_up):
    def make(mode=Mode.ON, **workers):
        pool = WorkerPool(
            lambda _: engine, Workers(workers), OrderAuthority("i1", lambda: 7),
            lambda: None, mode, given_up.append,
        )  # fmt: skip
        pool.listed = [upstream(key, *one.resident) for key, one in workers.items()]
        pool.listed = [one._replace(started_at_ms=1) for one in pool.listed]
        pool.follow(pool.listed)
        if mode is Mode.ON:
            assert reads_until(pool, lambda: all(view.free for view in views(pool)))
        return pool

    return make


def views(pool):
    return pool.views(pool.listed, NO_TOTALS)


def reads_until(pool, condition):
    """Read reports as each step of the leader does, until ``condition`` applies."""
    return until(lambda: pool.read_reports(()) or condition())


def loading_at(pool):
    return {view.upstream.id: view.loading for view in views(pool) if view.loading}


def test_load_at_a_worker_that_is_cut_off_is_given_up(make_pool, given_up):
    # Guards against a model that counts as being loaded for seconds at a worker that nobody
    # reaches: it is planned nowhere else, and its requests are told to wait for that load.
    worker = SlowWorker("a")
    pool = make_pool(u0=worker)
    pool.start_task("u0", SwapTask((), "c", 5.0))
    assert until(lambda: worker.pending)
    assert (loading_at(pool), list(pool.ready_in_by_model())) == ({"u0": "c"}, ["c"])
    worker.reachable = False
    assert until(lambda: given_up == ["no_answer"])
    assert (views(pool), pool.ready_in_by_model()) == ([], {})
    # The worker was only cut off, so the load goes on there: its room stays reserved until the
    # report shows the model.
    worker.reachable = True
    assert until(lambda: loading_at(pool) == {"u0": "c"})
    assert not views(pool)[0].free
    worker.finish()
    assert reads_until(pool, lambda: "c" in views(pool)[0].resident and views(pool)[0].free)
    assert [order.action for order in worker.orders] == [Load(Unit("c"))]


def test_load_goes_on_counting_where_swaps_are_not_given_up(make_pool, given_up):
    worker = SlowWorker("a")
    pool = make_pool(Mode.OFF, u0=worker)
    pool.start_task("u0", SwapTask((), "c", 0.1))
    assert until(lambda: worker.pending)
    worker.reachable = False
    assert not until(lambda: given_up or not loading_at(pool), 0.3)
    worker.reachable = True
    worker.finish()
    assert until(lambda: views(pool)[0].free)


def test_swap_of_a_worker_cut_off_during_an_unload_loads_nothing_later(make_pool, given_up):
    # Guards against a load that is ordered for requests that were served elsewhere meanwhile.
    worker = SlowWorker("a", "b")
    pool = make_pool(u0=worker)
    pool.start_task("u0", SwapTask(("b",), "c", 5.0))
    assert until(lambda: worker.pending)
    worker.reachable = False
    assert until(lambda: given_up == ["no_answer"])
    worker.finish()
    worker.reachable = True
    assert reads_until(pool, lambda: views(pool) and views(pool)[0].free)
    assert [order.action for order in worker.orders] == [Unload(Unit("b"))]
    assert set(views(pool)[0].resident) == {"a"}


def test_model_behind_a_slow_unload_may_be_loaded_elsewhere(make_pool, given_up, monkeypatch):
    # A stream still runs on the evicted model, for up to twelve seconds.
    monkeypatch.setattr(worker_orders, "SLOW_UNLOAD_SECONDS", 0.05)
    worker = SlowWorker("a", "b")
    pool = make_pool(u0=worker)
    pool.start_task("u0", SwapTask(("b",), "c", 5.0))
    assert until(lambda: given_up == ["slow_unload"])
    (view,) = views(pool)
    assert (view.loading, view.free, set(view.resident)) == ("", False, {"a"})
    worker.finish()
    assert reads_until(pool, lambda: views(pool)[0].free)
    assert len(worker.orders) == 1


@pytest.mark.parametrize("late_order_first", [True, False])
def test_late_order_never_overfills_the_worker(make_pool, engine, late_order_first):
    # The answer to a load is lost, and the order arrives seconds later: before or after the next
    # load that is ordered there.
    worker = SlowWorker("a")
    worker.results = [OrderResult.UNKNOWN]
    pool = make_pool(u0=worker)
    pool.start_task("u0", SwapTask((), "c", 0.05))
    assert until(lambda: len(worker.orders) == 1 and not loading_at(pool))
    late = worker.orders[0]
    assert reads_until(pool, lambda: views(pool)[0].free)
    if late_order_first:
        worker.order(None, late)
    pool.start_task("u0", SwapTask((), "d", 0.05))
    assert until(lambda: len(worker.orders) == (3 if late_order_first else 2) and worker.pending)
    if not late_order_first:
        assert worker.order(None, late) is OrderResult.BUSY
    worker.finish()
    assert reads_until(pool, lambda: views(pool)[0].free)
    assert worker.order(None, late) is OrderResult.BUSY
    assert used_mb(engine, worker.resident) <= engine.weights_mb
    assert set(views(pool)[0].resident) == set(worker.resident)


def test_no_order_is_sent_before_a_lost_worker_reports(make_pool):
    worker = SlowWorker("a")
    pool = make_pool(u0=worker)
    worker.reachable = False
    pool.read_reports(["u0"])
    assert reads_until(pool, lambda: not views(pool))
    worker.reachable = True
    assert reads_until(pool, lambda: views(pool) and views(pool)[0].free)
    assert worker.orders == []


def test_one_lost_worker_gives_up_the_swaps_of_its_failure_domain(make_pool, given_up):
    # One call without an answer is enough for a worker whose neighbour is lost.
    workers = {f"u{n}": SlowWorker("a") for n in range(3)}
    pool = make_pool(**workers)
    for key, model in (("u1", "c"), ("u2", "d")):
        pool.start_task(key, SwapTask((), model, 5.0))
    assert until(lambda: workers["u1"].pending and workers["u2"].pending)
    for worker in workers.values():
        worker.reachable = False
    assert reads_until(pool, lambda: len(given_up) == 2)
    assert reads_until(pool, lambda: views(pool) == [])


def test_restart_under_the_same_name_ends_a_load_at_once(make_pool):
    # The worker crashes in the middle of a load. Guards against waiting for the model until the
    # load would have ended.
    worker = SlowWorker("a")
    pool = make_pool(u0=worker)
    pool.start_task("u0", SwapTask((), "c", 5.0))
    assert until(lambda: worker.pending)
    worker.resident, worker.accepted, worker.pending, worker.started_at_ms = {}, 0, None, 2
    assert until(lambda: pool.ready_in_by_model() == {})
    assert (views(pool)[0].resident, views(pool)[0].free) == ({}, False)


def test_nothing_is_unloaded_for_a_load_that_would_not_fit(make_pool):
    # The list lags: the planner expects one model, and the worker holds another one beside it.
    worker = SlowWorker("a", "b")
    pool = make_pool(u0=worker)
    worker.resident = {name: frozenset() for name in "bd"}
    pool.request_report("u0")
    pool.start_task("u0", SwapTask(("a",), "c", 0.05))
    assert reads_until(pool, lambda: views(pool)[0].free)
    assert worker.orders == []
    assert set(views(pool)[0].resident) == {"b", "d"}


def test_first_call_without_an_answer_decides_only_with_other_evidence():
    now = [0.0]
    reach = Reach(lambda: now[0])
    assert not reach.note_no_answer()
    assert reach.note_no_answer()
    assert reach.note_answer()
    reach.suspect()
    assert reach.note_no_answer()
    reach.note_answer()
    now[0] += 60.0
    assert not reach.note_no_answer()
    reach.suspect()
    assert reach.lost


def test_report_from_before_an_order_does_not_replace_the_ledger(make_pool):
    # A request in flight to a model that was just unloaded is refused with 421, and the worker's
    # report is older than the unload. Guards against orders with a former number.
    worker = ScriptedWorker("ab")
    worker.started_at_ms = 1
    pool = make_pool(u0=worker)
    pool.start_task("u0", SwapTask(("b",), "c", 0.01))
    assert reads_until(pool, lambda: "c" in views(pool)[0].resident and views(pool)[0].free)
    report = worker.report(None)
    worker.report = lambda _: report._replace(orders_accepted=1, resident={"a": frozenset()})
    pool.request_report("u0")
    assert not views(pool)[0].free
    assert reads_until(pool, lambda: views(pool)[0].free)
    assert set(views(pool)[0].resident) == {"a", "c"}
