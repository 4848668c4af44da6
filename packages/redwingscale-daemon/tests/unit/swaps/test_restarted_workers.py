"""Orders to a worker that restarts under the same name."""

import pytest
from redwingscale_daemon._internal.swaps.order import Load, OrderResult
from redwingscale_daemon._internal.swaps.tasks import SwapTask
from redwingscale_daemon._internal.swaps.unanswered import UnansweredLoad, pending_mb
from redwingscale_daemon._internal.swaps.worker_orders import OrderAuthority, WorkerOrders

from .conftest import until, upstream


@pytest.fixture
def orders(engine, worker):
    def make(listed, unanswered=()):
        authority = OrderAuthority("i1", lambda: 5)
        return WorkerOrders(listed, lambda: engine, worker, authority, lambda: None, unanswered)

    return make


def finished(one):
    return until(lambda: one._task is None)


def test_report_of_another_start_supersedes_the_ledger(orders, worker):
    # The worker crashes and restarts empty before the upstream list is updated. Guards against
    # requests sent for the two models in the ledger, and against orders with the former number.
    one = orders(upstream("w")._replace(started_at_ms=1))
    worker.started_at_ms = 1
    one.start(SwapTask((), "b", 0.01))
    assert finished(one)
    assert set(one.resident()) == {"a", "b"}
    worker.started_at_ms, worker.resident, worker.accepted = 2, {}, 0
    one.ledger.invalidate()
    sent = len(worker.orders)
    one.start(SwapTask((), "c", 0.01))
    assert finished(one)
    assert one.resident() == {}
    assert not one.free
    assert len(worker.orders) == sent


def test_room_is_reserved_for_a_pending_load_of_the_former_start(orders, worker, engine):
    # A load got no answer and the worker crashed. It restarts under the same name and loads two
    # models, which fill it. Then the old load arrives with its former number, is accepted as the
    # third, and the worker crashes again.
    pending = UnansweredLoad(2, 70.0, float("inf"))
    worker.resident = {}
    one = orders(upstream("w"), [pending])
    for model in ("b", "c"):
        one.start(SwapTask((), model, 0.01))
        assert finished(one)
    assert set(worker.resident) == {"b"}


def test_both_models_are_loaded_once_the_pending_load_is_void(orders, worker):
    worker.resident = {}
    one = orders(upstream("w"), [UnansweredLoad(0, 70.0, float("inf"))])
    for model in ("b", "c"):
        one.start(SwapTask((), model, 0.01))
        assert finished(one)
    assert set(worker.resident) == {"b", "c"}


def test_load_without_an_answer_is_remembered(orders, worker):
    worker.results = [OrderResult.UNKNOWN]
    one = orders(upstream("w"))
    one.start(SwapTask((), "b", 0.01))
    assert finished(one)
    assert [load.orders_accepted for load in one.ledger.unanswered] == [0]
    assert isinstance(worker.orders[0].action, Load)


def test_pending_loads_count_until_they_can_no_longer_be_accepted():
    soon = UnansweredLoad(2, 70.0, float("inf"))
    long_ago = UnansweredLoad(2, 70.0, float("-inf"))
    assert pending_mb([soon, long_ago], 1) == 70.0
    assert pending_mb([soon], 2) == 0.0
