"""Sends orders to one model worker, one after the other."""

import math
import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.routes.service_rule import EngineRule
from redwingscale_daemon._internal.swaps.engine_report import EngineReport
from redwingscale_daemon._internal.swaps.lost_swaps import SLOW_UNLOAD, LostSwapRule, SwapWatch
from redwingscale_daemon._internal.swaps.order import Load, Order, OrderResult, Unload
from redwingscale_daemon._internal.swaps.order_client import OrderClient
from redwingscale_daemon._internal.swaps.tasks import AdapterTask, ReportTask, SwapTask, Task
from redwingscale_daemon._internal.swaps.unanswered import UnansweredLoad
from redwingscale_daemon._internal.swaps.worker_ledger import WorkerLedger

# Instances stop routing to a model within some milliseconds after its eviction is announced;
# requests that are in flight arrive meanwhile.
ROUTE_AWAY_SECONDS = 0.12
# Reports are a tenth of a second old, and each poll is a call to the worker.
POLL_SECONDS = 0.15
# `ROUTE_AWAY_SECONDS` of an adapter, which takes no longer than this to load.
ADAPTER_ROUTE_AWAY_SECONDS = 0.02
# An adapter is loaded within 5 to 14 ms, later if many are loaded at once.
ADAPTER_LOAD_SECONDS = 0.02
# An unload waits for the requests that run on the unit; streams last a few seconds.
UNLOAD_TIMEOUT_SECONDS = 12.0
# The rate limit or the retry time of an upstream may allow no call for longer than this; the order
# counts as refused then.
MAY_CALL_TIMEOUT_SECONDS = 4.0
# Loads take up to three times as long while many run at once.
LOAD_TIMEOUT_FACTOR = 4.0
# Pause before the next task for a worker whose report could not be read.
UNREACHABLE_PAUSE_SECONDS = 0.5
# With lost swaps given up: how often a worker that loads a model is asked whether it is there.
LOAD_CHECK_SECONDS = 0.5
# With lost swaps given up: after this time, the model that an unload makes room for may be loaded
# elsewhere. Most streams have ended by then.
SLOW_UNLOAD_SECONDS = 5.0


class OrderAuthority(NamedTuple):
    """The authority to send orders, and the fence that they carry.

    ``fence`` returns the fence to use now, None without the leader lease. ``succeeds_another``
    returns whether another process was leader before; its last order is ``handover_pause_seconds``
    old when the first one is sent here. ``may_call`` returns whether the rate limit and the retry
    time of an upstream allow one more call now.
    """

    instance: str
    fence: Callable[[], int | None]
    succeeds_another: Callable[[], bool] = lambda: False
    handover_pause_seconds: float = 0.0
    may_call: Callable[[str], bool] = lambda _: True


class WorkerOrders:
    """Runs the tasks of one worker, one at a time, each in a thread of its own.

    No thread waits for the next task: a leader would have one for each of its 78 workers, but has
    three or four tasks at a time.

    The worker's state is taken from its report, then updated by its answers. An order without an
    answer makes it unknown, and nothing more is loaded until the next report: two loads that both
    arrive would overfill the memory, and the worker would crash with its running models.
    """

    def __init__(
        self,
        upstream: Upstream,
        engine: Callable[[], EngineRule | None],
        client: OrderClient,
        authority: OrderAuthority,
        on_change: Callable[[], None],
        unanswered: Iterable[UnansweredLoad] = (),
        lost_swaps: LostSwapRule | None = None,
    ) -> None:
        self.upstream = upstream
        self.ledger = WorkerLedger(upstream, engine, unanswered)
        self.watch = SwapWatch(upstream.id, lost_swaps or LostSwapRule())
        self._client = client
        self._authority = authority
        self._on_change = on_change
        self._evicting_models: frozenset[str] = frozenset()
        self._evicting_adapters: frozenset[Unit] = frozenset()
        self._task: Task | None = None
        self._ready_at = 0.0
        self._blocked_until = 0.0
        self.settled_at: dict[str, float] = {}

    @property
    def free(self) -> bool:
        """Whether a task can be started."""
        if not self._may_start:
            return False
        return not self.watch.is_on or not self.needs_report

    @property
    def _may_start(self) -> bool:
        if self.ledger.superseded:
            return False
        return self._task is None and time.monotonic() >= self._blocked_until

    @property
    def needs_report(self) -> bool:
        """Whether the state is unknown or in doubt."""
        return self.ledger.report is None or self.watch.in_doubt

    @property
    def may_read_report(self) -> bool:
        """Whether a `ReportTask` can be started."""
        return self.watch.is_on and self._may_start and self.needs_report

    @property
    def reading(self) -> bool:
        """Whether a `ReportTask` runs."""
        return isinstance(self._task, ReportTask)

    @property
    def confirmed(self) -> bool:
        """Whether the state is known from a report, or changed by the task that runs."""
        return self.ledger.report is not None or isinstance(self._task, SwapTask)

    @property
    def loading(self) -> str:
        """The model that is being loaded, empty for none, or if its swap is given up."""
        task = self._task
        return task.model if isinstance(task, SwapTask) and not self.watch.given_up else ""

    @property
    def loading_adapter(self) -> Unit | None:
        """The adapter that is being loaded, None for none."""
        task = self._task
        return task.unit if isinstance(task, AdapterTask) else None

    @property
    def ready_in(self) -> float:
        """Seconds until the model that is being loaded is expected to be resident."""
        return max(0.0, self._ready_at - time.monotonic())

    def resident(self) -> AdaptersByModel | None:
        """Return the models and adapters that requests may be sent for, None while unknown."""
        return self.ledger.resident(self._evicting_models, self._evicting_adapters)

    def start(self, task: Task) -> None:
        """Run ``task`` in a new thread; only while `free`."""
        self._task = task
        self.watch.begin(task.model if isinstance(task, SwapTask) else "")
        if isinstance(task, SwapTask):
            self._ready_at = time.monotonic() + ROUTE_AWAY_SECONDS + task.load_seconds
        thread = threading.Thread(target=self._run, args=(task,), name="orders", daemon=True)
        try:
            thread.start()
        except RuntimeError as error:
            # If no thread can be started, the task is planned again a moment later; a worker that
            # stayed busy with it would never get another order.
            log_event("order_task_failed", level="ERROR", error=repr(error))
            self._blocked_until = time.monotonic() + UNREACHABLE_PAUSE_SECONDS
            self._finish_task()

    def refresh(self) -> None:
        """Let the next task start with a report; no effect while a task runs."""
        if self._task is None:
            self.ledger.invalidate()

    def _run(self, task: Task) -> None:
        try:
            self._carry_out(task)
        except Exception as error:
            # The worker must become free again, or it would never get another order.
            log_event("order_task_failed", level="ERROR", error=repr(error))
            self.ledger.invalidate()
        finally:
            self._finish_task()

    def _finish_task(self) -> None:
        self._evicting_models = frozenset()
        self._evicting_adapters = frozenset()
        reading, self._task = self.reading, None
        self.watch.report_tried = True
        if not reading or not self.needs_report:
            self._on_change()

    def _carry_out(self, task: Task) -> None:
        unread = self.needs_report or isinstance(task, ReportTask)
        if unread and not self._fetch_report():
            self._blocked_until = time.monotonic() + self._retry_seconds()
            return
        match task:
            case ReportTask():
                done = True
            case SwapTask():
                done = self._swap(task)
            case AdapterTask():
                done = self._load_adapter(task)
        if not done:
            # Whatever failed, the next task starts with a report; a report that is read at once
            # would be from before the failure.
            self.ledger.invalidate()
            self._blocked_until = time.monotonic() + POLL_SECONDS

    def _retry_seconds(self) -> float:
        # The second call decides whether the worker is lost.
        first = self.watch.reach.doubtful and not self.watch.reach.lost
        return POLL_SECONDS if first else UNREACHABLE_PAUSE_SECONDS

    def _fetch_report(self) -> bool:
        report = self._query_report()
        known = self.watch.is_on and self.ledger.report is not None
        if report is None or (report.busy and not known):
            log_event("report_unusable", upstream=self.upstream.id, busy=report is not None)
            return False
        if self.watch.is_on and self._is_behind(report):
            # The worker answers, and the ledger is newer than its report.
            self.watch.note_report()
            return self.ledger.report is not None
        self._take(report)
        return True

    def _is_behind(self, report: EngineReport) -> bool:
        known = self.ledger.report
        if known is None:
            return self.ledger.is_outdated(report)
        outdated = report.orders_accepted < known.orders_accepted
        return outdated or report.busy or bool(report.arriving)

    def _take(self, report: EngineReport) -> None:
        self.ledger.report = report
        self.watch.note_report()

    def _query_report(self) -> EngineReport | None:
        """Return the worker's report, None without one or with one of another start."""
        if not self._authority.may_call(self.upstream.id):
            return None
        report = self._client.report(self.upstream)
        self._note_call(answered=report is not None)
        if report is None or self.ledger.check_start(report):
            return report
        self._on_change()
        return None

    def _note_call(self, *, answered: bool) -> None:
        given_up = self.watch.given_up
        self.watch.note_call(answered=answered)
        if self.watch.given_up != given_up:
            self._on_change()

    def _swap(self, task: SwapTask) -> bool:
        """Return whether the worker's state is still known for certain."""
        if self.watch.is_on:
            if not self.ledger.has_room(Unit(task.model), without=task.evicted):
                # Nothing is unloaded for a load that would not fit all the same.
                log_event("swap_has_no_room", upstream=self.upstream.id, model=task.model)
                return True
            task = task._replace(evicted=self.ledger.models_among(task.evicted))
        if task.evicted:
            self._evicting_models = frozenset(task.evicted)
            self._on_change()
            time.sleep(ROUTE_AWAY_SECONDS)
        slow_at = time.monotonic() + SLOW_UNLOAD_SECONDS if self.watch.is_on else math.inf
        for name in task.evicted:
            if not self._unload(name, slow_at):
                return False
        if self.watch.given_up:
            # The model may be loading elsewhere by now; the next plan decides what is loaded here.
            return True
        if not self.ledger.has_room(Unit(task.model)):
            # The plan was made from an older list; the state that was just reported is kept, so
            # that the next plan fits.
            log_event("swap_has_no_room", upstream=self.upstream.id, model=task.model)
            return True
        unit = Unit(task.model)
        if self._order(Load(unit)) not in (OrderResult.ACCEPTED, OrderResult.IN_EFFECT):
            return False
        self._ready_at = time.monotonic() + task.load_seconds
        timeout = task.load_seconds * LOAD_TIMEOUT_FACTOR + 1.0
        self._wait_for_load(task.model, max(0.0, task.load_seconds - POLL_SECONDS))
        if not self._poll_until(
            lambda report: task.model in report.resident, timeout, on_answer=self._resume_load
        ):
            return False
        self.settled_at[task.model] = time.monotonic()
        log_event("model_loaded", upstream=self.upstream.id, model=task.model)
        return True

    def _wait_for_load(self, model: str, seconds: float) -> None:
        """Wait until a load is nearly or already done; notice that the worker is lost."""
        if not self.watch.is_on:
            time.sleep(seconds)
            return
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0 and not self.ledger.superseded:
            check = self._retry_seconds() if self.watch.reach.doubtful else LOAD_CHECK_SECONDS
            self.watch.pause(min(left, check))
            report = self._query_report()
            if report is not None:
                self._resume_load()
                if model in report.resident:
                    return

    def _resume_load(self) -> None:
        if self.watch.resume_load():
            self._on_change()

    def _unload(self, name: str, slow_at: float) -> bool:
        result = self._order(Unload(Unit(name)))
        if result not in (OrderResult.ACCEPTED, OrderResult.IN_EFFECT):
            return False
        if not self._poll_until(
            lambda report: name not in report.resident, UNLOAD_TIMEOUT_SECONDS, slow_at
        ):
            return False
        log_event("model_unloaded", upstream=self.upstream.id, model=name)
        return True

    def _load_adapter(self, task: AdapterTask) -> bool:
        # The plan may have been made from an older list.
        evicted = [unit for unit in task.evicted if self.ledger.has_adapter(unit)]
        if evicted:
            self._evicting_adapters = frozenset(evicted)
            self._on_change()
            time.sleep(ADAPTER_ROUTE_AWAY_SECONDS)
        for unit in evicted:
            result = self._order(Unload(unit))
            if result is not OrderResult.IN_EFFECT:
                # A request still uses the adapter: it is unloaded later, and its slot is not free
                # yet.
                return False
            if self.ledger.report is None:
                return False
            self.ledger.note_adapter(unit, resident=False)
        if not self.ledger.has_room(task.unit):
            log_event("adapter_has_no_room", upstream=self.upstream.id, unit=task.unit)
            return False
        if self._order(Load(task.unit)) not in (OrderResult.ACCEPTED, OrderResult.IN_EFFECT):
            return False
        time.sleep(ADAPTER_LOAD_SECONDS)
        self.ledger.note_adapter(task.unit, resident=True)
        return True

    def _order(self, action: Load | Unload) -> OrderResult:
        """Send one order, and count it in the ledger if the worker has accepted it."""
        if not self._wait_until_call_allowed():
            return OrderResult.REFUSED
        fence = self._authority.fence()
        if self.ledger.report is None or fence is None:
            return OrderResult.REFUSED
        accepted = self.ledger.orders_accepted
        order = Order(action, accepted, self._authority.instance, fence)
        result = self._client.order(self.upstream, order)
        self.watch.note_order()
        log_event(
            "order_sent",
            upstream=self.upstream.id,
            order=type(action).__name__,
            unit=action.unit,
            after=accepted,
            fence=fence,
            result=result.value,
        )
        self.ledger.note_order(action, result)
        if result is OrderResult.UNKNOWN:
            # Workers that are reached may leave orders unanswered: only a report can tell.
            self.watch.recheck = True
        return result

    def _wait_until_call_allowed(self) -> bool:
        """Wait until the worker may be called; return False if that takes too long."""
        end = time.monotonic() + MAY_CALL_TIMEOUT_SECONDS
        while not self._authority.may_call(self.upstream.id):
            if time.monotonic() > end:
                return False
            time.sleep(POLL_SECONDS)
        return True

    def _poll_until(
        self,
        condition: Callable[[EngineReport], bool],
        timeout_seconds: float,
        slow_at: float = math.inf,
        on_answer: Callable[[], None] = lambda: None,
    ) -> bool:
        """Poll for a report that is not busy and up to date; return whether ``condition`` applies.

        A report is up to date if it counts all orders that the worker has accepted. It becomes the
        state in the ledger. A swap that still waits at ``slow_at`` is given up.
        """
        expected = self.ledger.orders_accepted
        end = time.monotonic() + timeout_seconds
        while time.monotonic() < end:
            report = self._query_report()
            if self.ledger.superseded:
                return False
            if report is not None:
                on_answer()
                if report.orders_accepted >= expected and not report.busy:
                    self._take(report)
                    return condition(report)
            if time.monotonic() >= slow_at and not self.watch.given_up:
                self.watch.give_up(SLOW_UNLOAD)
                self._on_change()
            time.sleep(POLL_SECONDS)
        return False
