"""Fixtures: relays in this process, connected to engine stand-ins over real sockets."""

import queue
import random
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple

import pytest
from opentelemetry.trace import INVALID_SPAN
from redwingscale_common.configuration import Unit
from redwingscale_common.network.server import HttpServer, ServerLimits
from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.models.generation import (
    EndEvent,
    GenerationRequest,
    StreamEvent,
    TokenEvent,
)
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.order import Order
from redwingscale_daemon._internal.quarantine.quarantine import Quarantine
from redwingscale_daemon._internal.quarantine.store import QuarantineStore, StoredQuarantine
from redwingscale_daemon._internal.relay.generation import GenerationRelay
from redwingscale_daemon._internal.relay.retry_budget import RetryBudget
from redwingscale_daemon._internal.relay.run_parts import RunParts
from redwingscale_daemon._internal.relay.silence import SilenceBounds
from redwingscale_daemon._internal.routing.route import Route
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing
from redwingscale_daemon._internal.upstreams.directory import EngineView
from redwingscale_daemon._internal.upstreams.engine_client import EngineClient
from redwingscale_daemon._internal.upstreams.engine_control import EngineControl
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_daemon._internal.upstreams.reachability import Reachability
from redwingscale_standins.engine.alder import AlderApi
from redwingscale_standins.engine.birch import BirchApi
from redwingscale_standins.engine.engine import Engine
from redwingscale_standins.engine.memory import READY
from redwingscale_standins.engine.profile import Profile
from redwingscale_standins.launcher.process import ChildProcess

UNIT = Unit("reader", "v1", "")
PROFILE = Profile(
    memory_bytes=10,
    slots=64,
    token_gap_seconds=0.001,
    batch_slowdown=0.0,
    block_prefill_seconds=0.0,
    cache_blocks=16,
    report_lag_seconds=0.0,
)
MIN_SILENCE_SECONDS = 0.3
CONTROL_SECONDS = 5.0


class RunningEngine(NamedTuple):
    """An engine stand-in that listens in this process."""

    member: EngineMember
    engine: Engine
    server: HttpServer


class NoStore(QuarantineStore):
    """Stores nothing, as when the platform is down; notes what it was given."""

    def __init__(self) -> None:
        self.saved: list[str] = []

    def save(self, quarantine: StoredQuarantine) -> None:
        self.saved.append(quarantine.fingerprint)


class EngineProcess(NamedTuple):
    """An engine stand-in in a separate process."""

    member: EngineMember
    process: ChildProcess


class ShuffledRouter:
    """Chooses at random among the engines that are not excluded."""

    def __init__(self, members: list[EngineMember]) -> None:
        self.members = members
        self._rng = random.Random(7)

    def choose_engine(self, unit: str, excluded: set[str]) -> EngineView | None:
        left = [m for m in self.members if m.id not in excluded]
        return EngineView(self._rng.choice(left), None, 0.0) if left else None

    def route(self, unit: Unit, prompt: str, excluded: set[str]) -> Route | None:
        view = self.choose_engine(str(unit), excluded)
        return Route(view, unit) if view else None


def engine_member(number: int, vendor: str, port: int) -> EngineMember:
    url = f"http://127.0.0.1:{port}"
    return EngineMember(f"engine-{number}", "a", False, url, vendor, 2, True, 1.0)


def new_request(prompt: str, tokens: int, **changes: object) -> GenerationRequest:
    request = GenerationRequest(
        request_id=prompt,
        caller="clerks",
        service="vetting",
        unit=UNIT,
        prompt=prompt,
        max_tokens=tokens,
        priority=5,
        idempotent=True,
        idempotency_key="",
        deadline_at=time.monotonic() + 60.0,
        fingerprint=prompt,
    )
    return request._replace(**changes)


def text_of(events: Iterator[StreamEvent]) -> str:
    """Return the text of all events; fail on a gap, a repeated token or a wrong total."""
    texts: list[str] = []
    ended = False
    for event in events:
        match event:
            case TokenEvent(position=position, text=text):
                assert position == len(texts)
                texts.append(text)
            case EndEvent(total=total):
                assert total == len(texts)
                ended = True
    assert ended
    return "".join(texts)


@pytest.fixture
def start_engines() -> Iterator[Callable[..., list[RunningEngine]]]:
    """Start engine stand-ins of alternating vendors in this process."""
    started: list[RunningEngine] = []

    def start(count: int, **faults: object) -> list[RunningEngine]:
        for number in range(count):
            engine = Engine(PROFILE, "", checks_fencing=True)
            engine.memory.add(str(UNIT), 1)
            engine.memory.set_phase(str(UNIT), READY)
            engine.faults.update(faults)
            vendor = ("alder", "birch")[number % 2]
            api = AlderApi(engine) if vendor == "alder" else BirchApi(engine)
            server = HttpServer(api, "127.0.0.1", 0, ServerLimits(threads=12))
            server.start()
            member = engine_member(number, vendor, server.port)
            started.append(RunningEngine(member, engine, server))
        return started

    yield start
    for running in started:
        running.engine.faults.update({"silent_after_tokens": -1})
        running.server.stop()


@pytest.fixture
def start_processes(tmp_path: Path) -> Iterator[Callable[[int], dict[str, EngineProcess]]]:
    """Start engine stand-ins as processes that a test can kill."""
    started: dict[str, EngineProcess] = {}

    def start(count: int) -> dict[str, EngineProcess]:
        for number in range(count):
            vendor = ("alder", "birch")[number % 2]
            arguments = [f"--vendor={vendor}", "--slots=128", "--threads=150"]
            arguments += ["--batch-slowdown=0", "--report-lag-seconds=0"]
            process = ChildProcess(
                f"engine-{number}", "redwingscale_standins.engine", arguments, tmp_path
            )
            member = engine_member(number, vendor, 0)
            started[member.id] = EngineProcess(member, process)
        control = EngineControl(1.0)
        for engine_id, (member, process) in started.items():
            url = f"http://127.0.0.1:{process.read_ready_line()['port']}"
            started[engine_id] = EngineProcess(replace(member, url=url), process)
            order = Order("load", True, str(UNIT), 1, 1)
            control.order(started[engine_id].member, order, lambda: CONTROL_SECONDS)
        for member, _ in started.values():
            while not any(r.ready for r in control.report(member).residents):
                time.sleep(0.01)
        return started

    yield start
    for running in started.values():
        running.process.kill()


@pytest.fixture
def make_quarantines() -> Iterator[Callable[[int], list[Quarantine]]]:
    """Build the quarantines of instances that receive all of each other's entries."""
    entries: queue.Queue[Entry | None] = queue.Queue()
    gossip_states: list[GossipState] = []

    def deliver() -> None:
        for entry in iter(entries.get, None):
            for gossip in gossip_states:
                gossip.accept(entry)

    def make(count: int) -> list[Quarantine]:
        gossip_states.extend(GossipState(f"instance-{number}") for number in range(count))
        for gossip in gossip_states:
            gossip.on_forward(lambda entry, *_: entries.put(entry))
        return [Quarantine(f"instance-{n}", b, NoStore()) for n, b in enumerate(gossip_states)]

    delivery_thread = threading.Thread(target=deliver, daemon=True)
    delivery_thread.start()
    yield make
    entries.put(None)
    delivery_thread.join()


@pytest.fixture
def make_relay() -> Iterator[Callable[[list[EngineMember]], GenerationRelay]]:
    """Build relays to the given engines."""
    tracing, metrics = Tracing("test", ""), Metrics("")

    def make(members: list[EngineMember], quarantine: Quarantine | None = None) -> GenerationRelay:
        parts = RunParts(
            router=ShuffledRouter(members),
            client=EngineClient(1.0),
            control=EngineControl(1.0),
            in_flight=InFlight(),
            reachability=Reachability(),
            budget=RetryBudget(),
            silence=SilenceBounds(MIN_SILENCE_SECONDS, 2.0),
            quarantine=quarantine or Quarantine("test", GossipState("test"), NoStore()),
            tracing=tracing,
            metrics=metrics,
        )
        return GenerationRelay(parts)

    yield make
    tracing.close()
    metrics.close()


@pytest.fixture
def answer(make_relay) -> Callable[..., str]:
    """Run one request on the given engines and return its complete text."""

    def run(engines: list[RunningEngine], request: GenerationRequest) -> str:
        relay = make_relay([e.member for e in engines])
        return text_of(relay.run(request, INVALID_SPAN))

    return run
