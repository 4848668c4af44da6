"""A service of small workers, an in-memory store, and a scripted model worker."""

import time

import pytest
from redwingscale_daemon._internal.exceptions import EraChanged, HistoryGone
from redwingscale_daemon._internal.fleet.own_path import OwnPath
from redwingscale_daemon._internal.fleet.upstream import ResidentModel, Upstream
from redwingscale_daemon._internal.platform import engine as platform_engine
from redwingscale_daemon._internal.routes.service_rule import EngineRule, ModelRule
from redwingscale_daemon._internal.store.rows import Snapshot, StoredRow
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.swaps.engine_report import EngineReport
from redwingscale_daemon._internal.swaps.messages import DemandEntry, InstanceUpdate
from redwingscale_daemon._internal.swaps.order import Load, OrderResult
from redwingscale_daemon._internal.swaps.order_client import EngineCalls, OrderClient
from redwingscale_daemon._internal.swaps.worker_view import WorkerView

from .peers_world import Peer, Requester

SERVICE = "llm"
COLD, DISK, MEMORY = 6.0, 1.2, 0.5


def model(name, mb=70.0):
    return ModelRule(name, mb, 1.0, 3, COLD, DISK, MEMORY)


@pytest.fixture
def engine():
    """Two models fit into a worker."""
    models = {name: model(name) for name in "abcdefgh"}
    return EngineRule(64, 1000, 150.0, 2, 2.0, models)


def upstream(name, *models, in_memory=(), on_disk=()):
    resident = {m: ResidentModel(m, 1, frozenset()) for m in models}
    return Upstream(
        name, SERVICE, "127.0.0.1", 1, "z1", 64, False, None, resident,
        frozenset(in_memory), frozenset(on_disk),
    )  # fmt: skip


def view(name, *models, free=True, loading="", prompt_tokens=0, **copies):
    listed = upstream(name, *models, **copies)
    resident = {m: frozenset() for m in models}
    return WorkerView(listed, resident, free, loading, {}, 0, prompt_tokens, {})


def update(instance="i1", **arrivals):
    entries = [DemandEntry(SERVICE, name, "", count, 0, 0.0) for name, count in arrivals.items()]
    return InstanceUpdate(instance, entries, [], [], [])


def overload_update(model, arrivals, overloads):
    """Return an update with requests for a model whose holders were too busy."""
    entry = DemandEntry(SERVICE, model, "", arrivals, 0, 0.0, overloads)
    return InstanceUpdate("i1", [entry], [], [], [])


@pytest.fixture
def own_path():
    """What the calls show of the path to upstreams."""
    return OwnPath()


@pytest.fixture
def client(own_path):
    """A client for the calls of the platform."""
    return OrderClient(
        EngineCalls(
            platform_engine.REPORT_TARGET,
            platform_engine.ORDER_TARGET,
            platform_engine.decode_report,
            platform_engine.encode_order,
            platform_engine.order_headers,
            platform_engine.order_result,
        ),
        path=own_path,
    )


class MemoryStore:
    """One row, with faults to inject."""

    def __init__(self):
        self.version = StoreVersion(0, 0)
        self.row = None
        self.fail = None
        self.lose_answer = None
        self.calls = []
        self.history_gone = False
        # Called with the seconds to wait while a call waits for a change.
        self.during_wait = lambda seconds: None

    def read(self, table, partition):
        self.calls.append("read")
        if self.fail:
            raise self.fail
        return Snapshot((self.row,) if self.row else (), self.version)

    def changes(self, table, after, wait_seconds):
        self.calls.append("changes")
        if self.fail:
            raise self.fail
        if self.history_gone:
            raise HistoryGone("dropped")
        if self.version <= after:
            self.during_wait(wait_seconds)
        changed = self.row if self.row and self.row.version > after else None
        return Snapshot((changed,) if changed else (), self.version)

    def write(self, key, value, expected):
        if self.fail:
            raise self.fail
        if expected.era != self.version.era:
            raise EraChanged("another era")
        if expected.number != (self.row.version.number if self.row else 0):
            return None
        self.version = self.version._replace(number=self.version.number + 1)
        self.row = StoredRow(key, self.version, value)
        if self.lose_answer:
            raise self.lose_answer
        return self.version


@pytest.fixture
def store():
    return MemoryStore()


class ScriptedWorker:
    """Replaces `OrderClient`: carries orders out at once, except those with scripted results."""

    def __init__(self, resident=("a",)):
        self.resident = {name: frozenset() for name in resident}
        self.accepted = 0
        self.orders = []
        self.results = []
        self.reachable = True
        self.started_at_ms = None

    def report(self, upstream):
        if not self.reachable:
            return None
        return EngineReport(
            dict(self.resident), frozenset(), False, self.accepted, self.started_at_ms
        )

    def order(self, upstream, order):
        self.orders.append(order)
        result = self.results.pop(0) if self.results else self._apply(order)
        if result is OrderResult.ACCEPTED:
            self.accepted += 1
        return result

    def _apply(self, order):
        if order.orders_accepted != self.accepted:
            return OrderResult.BUSY
        unit = order.action.unit
        if unit.adapter:
            return self._adapter(order.action, unit)
        if isinstance(order.action, Load):
            self.resident[unit.model] = frozenset()
        else:
            self.resident.pop(unit.model)
        return OrderResult.ACCEPTED

    def _adapter(self, action, unit):
        here = self.resident[unit.model]
        if isinstance(action, Load):
            self.resident[unit.model] = here | {unit.adapter}
            return OrderResult.ACCEPTED
        self.resident[unit.model] = here - {unit.adapter}
        self.accepted += 1
        return OrderResult.IN_EFFECT


class Workers:
    """The calls to several workers, by upstream id."""

    def __init__(self, by_id):
        self.by_id = by_id

    def report(self, upstream):
        return self.by_id[upstream.id].report(upstream)

    def order(self, upstream, order):
        return self.by_id[upstream.id].order(upstream, order)


@pytest.fixture
def worker():
    return ScriptedWorker()


def until(condition, seconds=5.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.005)
    return False


@pytest.fixture
def start():
    """Start peers; they are stopped at the end."""
    started = []

    def start_peer(*arguments, **options):
        started.append(Peer(*arguments, **options))
        return started[-1]

    yield start_peer
    for peer in started:
        peer.server.stop()


@pytest.fixture
def requester():
    return Requester()
