"""Orders to one worker: one at a time, and never more than fits into its memory."""

import pytest
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.swaps import worker_orders
from redwingscale_daemon._internal.swaps.order import Load, OrderResult, Unload
from redwingscale_daemon._internal.swaps.tasks import AdapterTask, SwapTask
from redwingscale_daemon._internal.swaps.worker_orders import (
    OrderAuthority,
    WorkerOrders,
)

from .conftest import until, upstream


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    monkeypatch.setattr(worker_orders, "ROUTE_AWAY_SECONDS", 0.02)
    monkeypatch.setattr(worker_orders, "POLL_SECONDS", 0.01)
    monkeypatch.setattr(worker_orders, "UNREACHABLE_PAUSE_SECONDS", 0.02)


@pytest.fixture
def fence():
    """The fence to use, None without the leader lease."""
    return [7]


@pytest.fixture
def orders(worker, engine, fence):
    return WorkerOrders(
        upstream("u0", "a"),
        lambda: engine,
        worker,
        OrderAuthority("i1", lambda: fence[0]),
        lambda: None,
    )


def carry_out(orders, task):
    orders.start(task)
    assert until(lambda: orders.free)


def test_swap_unloads_then_loads(orders, worker):
    worker.resident["b"] = frozenset()
    carry_out(orders, SwapTask(("b",), "c", 0.0))
    assert [order.action for order in worker.orders] == [Unload(Unit("b")), Load(Unit("c"))]
    assert [order.orders_accepted for order in worker.orders] == [0, 1]
    assert orders.resident() == {"a": frozenset(), "c": frozenset()}


def test_eviction_is_announced_before_the_unload(worker, engine, fence):
    # Requests in flight to the model must find it still resident.
    seen = []
    orders = WorkerOrders(
        upstream("u0", "a"), lambda: engine, worker, OrderAuthority("i1", lambda: fence[0]),
        lambda: seen.append((sorted(orders.resident() or {}), len(worker.orders))),
    )  # fmt: skip
    carry_out(orders, SwapTask(("a",), "c", 0.0))
    assert seen[0] == ([], 0)


def test_load_that_does_not_fit_is_never_ordered(orders, worker):
    # The planner's view was outdated: one more model is resident. If the load were ordered all the
    # same, the worker would run out of memory under its running models.
    worker.resident["b"] = frozenset()
    carry_out(orders, SwapTask((), "c", 0.0))
    assert worker.orders == []
    # The next plan must use the reported state, or it would be the same one again.
    assert orders.resident() == {"a": frozenset(), "b": frozenset()}


def test_order_without_an_answer_is_followed_by_a_report(orders, worker):
    # The answer to a load is lost, so the load may have been accepted. A second load could
    # overfill the worker, so a report is read first.
    worker.results = [OrderResult.UNKNOWN]
    carry_out(orders, SwapTask((), "c", 0.0))
    assert orders.resident() is None
    worker.resident["c"] = frozenset()
    worker.accepted = 1
    carry_out(orders, SwapTask((), "d", 0.0))
    assert [order.action for order in worker.orders] == [Load(Unit("c"))]


def test_refused_order_ends_the_swap(orders, worker):
    worker.resident["b"] = frozenset()
    worker.results = [OrderResult.BUSY]
    carry_out(orders, SwapTask(("b",), "c", 0.0))
    assert len(worker.orders) == 1


def test_nothing_is_ordered_without_the_leader_lease(orders, worker, fence):
    fence[0] = None
    carry_out(orders, SwapTask((), "c", 0.0))
    assert worker.orders == []


def test_loss_of_the_leader_lease_stops_a_swap(orders, worker, fence):
    worker.resident["b"] = frozenset()
    original = worker.order

    def order_and_lose_lease(upstream, order):
        fence[0] = None
        return original(upstream, order)

    worker.order = order_and_lose_lease
    carry_out(orders, SwapTask(("b",), "c", 0.0))
    assert [order.action for order in worker.orders] == [Unload(Unit("b"))]


def test_unreachable_worker_is_retried_after_a_pause(orders, worker):
    worker.reachable = False
    orders.start(SwapTask((), "c", 0.0))
    assert until(lambda: orders.loading == "")
    assert worker.orders == []
    assert until(lambda: orders.free)


def test_adapters_stay_within_their_slots(orders, worker, engine):
    for name in ("x", "y"):
        carry_out(orders, AdapterTask(Unit("a", name), ()))
    carry_out(orders, AdapterTask(Unit("a", "z"), ()))
    assert worker.resident["a"] == {"x", "y"}
    carry_out(orders, AdapterTask(Unit("a", "z"), (Unit("a", "x"),)))
    assert worker.resident["a"] == {"y", "z"}
    assert orders.resident() == {"a": frozenset({"y", "z"})}


def test_adapter_that_does_not_fit_beside_the_models_is_never_ordered(worker, engine, fence):
    # Two models fill the worker's memory to the last megabyte. By the number of slots there is
    # room for the adapter that a request waits for, but loading it would crash the worker.
    worker.resident["b"] = frozenset()
    tight = engine._replace(weights_mb=140.0)
    orders = WorkerOrders(
        upstream("u0", "a"),
        lambda: tight,
        worker,
        OrderAuthority("i1", lambda: fence[0]),
        lambda: None,
    )
    carry_out(orders, AdapterTask(Unit("a", "a1"), ()))
    assert worker.orders == []


def test_slot_is_reserved_for_an_adapter_whose_order_may_still_be_accepted(orders, worker):
    # Guards against an adapter beyond the slots, which crashes the worker.
    worker.resident["a"] = frozenset({"x", "z"})
    # The adapter to evict was unloaded just before: the worker does not count the order, the
    # ledger does, and the load after it, which gets no answer, may be accepted after the next
    # order.
    worker.results = [OrderResult.IN_EFFECT, OrderResult.UNKNOWN]
    carry_out(orders, AdapterTask(Unit("a", "y"), (Unit("a", "z"),)))
    worker.resident["a"] = frozenset({"x"})
    carry_out(orders, AdapterTask(Unit("a", "w"), ()))
    assert [order.action for order in worker.orders] == [
        Unload(Unit("a", "z")),
        Load(Unit("a", "y")),
    ]
    carry_out(orders, AdapterTask(Unit("a", "w"), (Unit("a", "x"),)))
    carry_out(orders, AdapterTask(Unit("a", "w"), (Unit("a", "x"),)))
    assert worker.resident["a"] == {"w"}


def test_unload_of_an_adapter_that_may_be_unloaded_already_is_not_counted(orders, worker):
    # Guards against orders with a number that the worker has not reached yet.
    worker.resident["a"] = frozenset({"x", "z"})
    worker.results = [OrderResult.UNKNOWN, OrderResult.IN_EFFECT]
    for _ in range(2):
        carry_out(orders, AdapterTask(Unit("a", "w"), (Unit("a", "z"),)))
    worker.resident["a"] = frozenset({"x"})
    carry_out(orders, AdapterTask(Unit("a", "w"), (Unit("a", "z"),)))
    assert worker.resident["a"] == {"w", "x"}
    assert {order.orders_accepted for order in worker.orders} == {0}
