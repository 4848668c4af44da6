"""Injects the faults of a soak, which may overlap."""

import os
import random
import signal
import threading
import time
from collections.abc import Callable

from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.backpressure import announce_leaving, reject
from redwingscale_standins.soak.brittle import make_brittle
from redwingscale_standins.soak.copies import play_copies
from redwingscale_standins.soak.ending_body import send_ending_bodies
from redwingscale_standins.soak.ending_part import send_ending_parts
from redwingscale_standins.soak.faulty_link import FaultyLink
from redwingscale_standins.soak.ledger import Stop
from redwingscale_standins.soak.lost_path import cut_path
from redwingscale_standins.soak.moved_connections import move_connections
from redwingscale_standins.soak.planned_stops import play_stops, signal_again
from redwingscale_standins.soak.replacements import play_replacements
from redwingscale_standins.soak.stalls import play_stalls
from redwingscale_standins.soak.world import (
    MODEL_SERVICE,
    Node,
    RateLimitPeriod,
    WorkerHost,
    World,
)

# Between the starts of two consecutive faults.
SHORTEST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 1.5
LONGEST_FAULT_SECONDS = 3.0
# From the announcement of leaving to the end of a worker's service. A worker that announces
# nothing and is only removed from the list may serve for longer.
LEAVING_SECONDS = 4.0
UNANNOUNCED_LEAVING_SECONDS = 12.0
# A leaving worker ends the streams that it has begun, for as long as callers wait.
LONGEST_STREAM_SECONDS = 8.0
# The leader announces a change of the list for three seconds: an instance that is cut off
# from the store for longer has to detect the change by itself.
SHORTEST_CUT_SECONDS = 4.0
LONGEST_CUT_SECONDS = 8.0
MAX_DOWN_FRACTION = 0.5
# All instances follow a rate limit after three seconds.
SHORTEST_LIMIT_SECONDS = 4.0
LONGEST_LIMIT_SECONDS = 8.0
RATE_LIMITS = (0.5, 1.0, 4.0)
# Bytes delayed on a link arrive when it heals.
UNDISTURBED_SECONDS = 4.0
# Those that end the answers under way; bytes of the others arrive later.
BREAKING_LINK_FAULTS = frozenset({"refuse", "silence", "reset"})
LINK_FAULTS = ("delay", "hold_to", "hold_from", "refuse", "silence", "reset")


class Faults:
    """Draws faults from the world's seeded generator and runs each in its own thread."""

    def __init__(
        self,
        world: World,
        *,
        planned_only: bool,
        ending_bodies: bool = False,
        ending_parts: bool = False,
        stalls: bool = False,
        replacements: bool = False,
        copies: bool = False,
        stops: bool = False,
    ) -> None:
        self._stops = stops
        self._copies = copies
        self._world = world
        self._ending_bodies = ending_bodies
        self._ending_parts = ending_parts
        self._stalls = stalls
        self._replacements = replacements
        self._random = world.random
        planned: list[Callable[[], None]] = [
            self._stop_instance,
            self._reload,
            self._change_configuration,
            self._drain_worker,
            self._remove_worker_unannounced,
            self._limit_worker,
            self._drain_worker_by_responses,
            self._reject_requests,
        ]
        unplanned: list[Callable[[], None]] = [
            self._kill_instance,
            self._pause_instance,
            self._disturb_store_link,
            self._disturb_store_link,
            self._cut_from_store,
            self._fail_store,
            self._disturb_worker_link,
            self._disturb_worker_link,
            self._crash_worker,
            self._break_worker,
            self._cut_path,
            self._cut_path,
            self._make_brittle,
        ]
        self._menu = planned if planned_only else planned + unplanned
        self._threads: list[threading.Thread] = []
        self._down: set[str] = set()
        self._lock = threading.Lock()
        self.log: list[str] = []

    def run(self, seconds: float) -> None:
        """Start faults for ``seconds``, then wait until all have ended."""
        end = time.monotonic() + seconds
        self._begin("moved connections", lambda: move_connections(self._world, seconds))
        if self._ending_bodies:
            self._begin("bodies that end workers", lambda: send_ending_bodies(self._world, seconds))
        if self._ending_parts:
            self._begin("parts that end workers", lambda: send_ending_parts(self._world, seconds))
        if self._stalls:
            self._begin("stalls", lambda: play_stalls(self._world, seconds, self._begin))
        if self._copies:
            self._begin("copies of the store", lambda: play_copies(self._world, seconds))
        if self._replacements:
            self._begin("replacements", lambda: self._play_replacements(seconds))
        if self._stops:
            self._begin("stops in series", lambda: self._play_stops(seconds))
        while time.monotonic() < end:
            self._random.choice(self._menu)()
            pause = self._random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            time.sleep(min(pause, max(0.0, end - time.monotonic())))
        self.wait()

    def _play_replacements(self, seconds: float) -> None:
        play_replacements(self._world, seconds, self._begin, self._replaceable, self._kill_instance)

    def _play_stops(self, seconds: float) -> None:
        def stop(node: Node, again: tuple[signal.Signals, ...]) -> None:
            age = time.monotonic() - node.started_at
            names = ", ".join(one.name for one in again)
            self._begin(
                f"stop {node.name} {age:.2f} s old, then {names}", lambda: self._stop(node, again)
            )

        play_stops(self._world, seconds, self._take_node, stop)

    def wait(self) -> None:
        """Wait until every started fault has ended."""
        for thread in self._threads:
            thread.join()

    def _begin(self, what: str, fault: Callable[[], None]) -> None:
        self.log.append(f"{time.monotonic():.2f} {what}")

        def guarded() -> None:
            try:
                fault()
            except Exception as error:
                # An instance that fails to stop or start is a finding and must not end the soak.
                self._world.ledger.add_finding("fault", f"{what}: {error!r}")

        thread = threading.Thread(target=guarded, name=what, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _duration(self) -> float:
        return self._random.uniform(0.3, LONGEST_FAULT_SECONDS)

    def _take_down(self, drawn: random.Random | None = None) -> Node | None:
        """Choose an instance that may go down now and mark it as down, or return None."""
        with self._lock:
            up = [node for node in self._world.nodes if node.name not in self._down]
            if self._has_most_down() or not up:
                return None
            node = (drawn or self._random).choice(up)
            self._down.add(node.name)
            return node

    def _take_node(self, node: Node) -> bool:
        """Mark this instance as down if it may go down now; return whether it was marked."""
        with self._lock:
            if self._has_most_down() or node.name in self._down:
                return False
            self._down.add(node.name)
            return True

    def _has_most_down(self) -> bool:
        return len(self._down) + 1 > len(self._world.nodes) * MAX_DOWN_FRACTION

    def _mark_up(self, node: Node) -> None:
        with self._lock:
            self._down.discard(node.name)

    def _stop_instance(self) -> None:
        node = self._take_down()
        if node is not None:
            self._begin(f"stop {node.name}", lambda: self._stop(node))

    def _stop(self, node: Node, again: tuple[signal.Signals, ...] = ()) -> None:
        pid = node.process.process.pid
        self._world.ledger.stops.append(Stop(pid, time.monotonic(), self._world.grace_seconds))
        os.kill(pid, signal.SIGTERM)
        signal_again(node.process.process, again)
        until(lambda: node.process.status() != 200, f"unreadiness of {node.name}")
        node.stopping = True
        if node.process.process.wait(20.0) != 0:
            code = node.process.process.returncode
            self._world.ledger.add_finding("stop", f"{node.name} ended with {code}")
        self._restart(node)

    def _kill_instance(self, drawn: random.Random | None = None) -> None:
        node = self._take_down(drawn)
        if node is not None:
            self._begin(f"kill {node.name}", lambda: self._kill(node))

    def _kill(self, node: Node) -> None:
        with node.disturbance.during(), self._world.disturbance.during():
            node.stopping = True
            with self._world.ledger.breaking(node.process.process.pid):
                node.process.end()
            time.sleep(self._duration() / 3)
            self._restart(node)

    def _restart(self, node: Node) -> None:
        with node.disturbance.during():
            node.process.start()
            node.started_at = time.monotonic()
            node.until_ready()
        node.stopping = False
        self._mark_up(node)

    def _pause_instance(self) -> None:
        node, seconds = self._take_down(), self._duration()
        if node is not None:
            self._begin(f"pause {node.name} {seconds:.2f}", lambda: self._pause(node, seconds))

    def _pause(self, node: Node, seconds: float) -> None:
        pid = node.process.process.pid
        with node.disturbance.during(), self._world.disturbance.during():
            os.kill(pid, signal.SIGSTOP)
            time.sleep(seconds)
            os.kill(pid, signal.SIGCONT)
        self._mark_up(node)

    def _cut_path(self) -> None:
        node = self._take_down()
        if node is None:
            return

        def fault() -> None:
            cut_path(self._world, node, self._random)
            self._mark_up(node)

        self._begin(f"{node.name} loses its path to the workers", fault)

    def _make_brittle(self) -> None:
        host = self._choose_worker()
        if host.service == MODEL_SERVICE and host.worker.brittle is None:
            self._begin(
                f"{host.worker.id} is brittle",
                lambda: make_brittle(self._world, host, self._random),
            )

    def _reload(self) -> None:
        node = self._random.choice(self._world.nodes)
        if node.name not in self._down:
            self._begin(
                f"reload {node.name}", lambda: os.kill(node.process.process.pid, signal.SIGHUP)
            )

    def _change_configuration(self) -> None:
        self._begin("configuration", self._world.change_configuration)

    def _disturb_store_link(self) -> None:
        node, seconds = self._random.choice(self._world.nodes), self._duration()
        kind = self._random.choice(LINK_FAULTS)

        def fault() -> None:
            with node.disturbance.during():
                self._apply_link_fault(node.store_link, kind, seconds)

        self._begin(f"store link of {node.name}: {kind} {seconds:.2f}", fault)

    def _cut_from_store(self) -> None:
        node = self._random.choice(self._world.nodes)
        seconds = self._random.uniform(SHORTEST_CUT_SECONDS, LONGEST_CUT_SECONDS)

        def fault() -> None:
            with node.disturbance.during():
                self._apply_link_fault(node.store_link, "refuse", seconds)

        self._begin(f"{node.name} is cut off from the store {seconds:.2f}", fault)

    def _apply_link_fault(self, link: FaultyLink, kind: str, seconds: float) -> None:
        match kind:
            case "silence":
                link.silence()
                return
            case "reset":
                link.reset()
                return
            case "delay":
                link.delay_seconds = seconds / 10
            case "refuse":
                link.refuse = True
                link.reset()
            case "hold_to":
                link.hold_to = True
            case "hold_from":
                link.hold_from = True
        time.sleep(seconds)
        link.heal()

    def _fail_store(self) -> None:
        seconds = self._duration()

        def fault() -> None:
            with self._world.store_disturbance.during(), self._world.disturbance.during():
                self._world.rows.down = True
                time.sleep(seconds)
                self._world.rows.down = False

        self._begin(f"store down {seconds:.2f}", fault)

    def _choose_worker(self) -> WorkerHost:
        # All may have been replaced, and be listed later.
        hosts = [*self._world.worker_hosts.values()] or self._world.all_hosts[-1:]
        return self._random.choice(hosts)

    def _disturb_worker_link(self) -> None:
        host, seconds = self._choose_worker(), self._duration()
        kind = self._random.choice(LINK_FAULTS)

        def fault() -> None:
            broken = [host.worker.id] if kind in BREAKING_LINK_FAULTS else []
            with self._world.disturbance.during(), self._world.ledger.breaking(*broken):
                self._apply_link_fault(host.link, kind, seconds)

        self._begin(f"link of {host.worker.id}: {kind} {seconds:.2f}", fault)

    def _break_worker(self) -> None:
        host, seconds = self._choose_worker(), self._duration()
        what = self._random.choice(["failing", "losing"])

        def fault() -> None:
            broken = [host.worker.id] if what == "losing" else []
            with self._world.disturbance.during(), self._world.ledger.breaking(*broken):
                setattr(host.worker, what, True)
                time.sleep(seconds)
                setattr(host.worker, what, False)

        self._begin(f"{host.worker.id} {what} {seconds:.2f}", fault)

    def _limit_worker(self) -> None:
        host = self._choose_worker()
        if host.worker.rate_limit is not None:
            return
        seconds = self._random.uniform(SHORTEST_LIMIT_SECONDS, LONGEST_LIMIT_SECONDS)
        rate = self._random.choice(RATE_LIMITS)

        def fault() -> None:
            begun_at = time.monotonic()
            host.worker.rate_limit = rate
            time.sleep(seconds)
            host.worker.rate_limit = None
            undisturbed = self._world.announced_late_at() < begun_at - UNDISTURBED_SECONDS
            period = RateLimitPeriod(host.worker, rate, begun_at, time.monotonic(), undisturbed)
            self._world.rate_limit_periods.append(period)

        host.worker.rate_limit = rate
        self._begin(f"{host.worker.id} takes {rate} a second {seconds:.2f}", fault)

    def _crash_worker(self) -> None:
        host = self._choose_worker()
        if not self._replaceable(host):
            return

        def fault() -> None:
            with self._world.disturbance.during():
                self._world.drop(host)
                self._world.add_worker(host.service, set())

        self._begin(f"{host.worker.id} dies", fault)

    def _drain_worker(self) -> None:
        self._replace_worker(
            "leaves", LEAVING_SECONDS, lambda host: self._world.list(host, "draining")
        )

    def _drain_worker_by_responses(self) -> None:
        def begin(host: WorkerHost) -> None:
            announce_leaving(self._world, host, self._random)
            self._world.list(host, "draining")

        self._replace_worker("leaves and first says so in its answers", LEAVING_SECONDS, begin)

    def _reject_requests(self) -> None:
        host = self._choose_worker()
        if host.worker.retry_after is None:
            self._begin(
                f"{host.worker.id} rejects", lambda: reject(self._world, host, self._random)
            )

    def _remove_worker_unannounced(self) -> None:
        self._replace_worker(
            "leaves and doesn't say so", UNANNOUNCED_LEAVING_SECONDS, self._world.unlist
        )

    def _replace_worker(
        self, kind: str, seconds: float, begin: Callable[[WorkerHost], None]
    ) -> None:
        """Replace a worker, which continues to serve for ``seconds`` after ``begin``."""
        host = self._choose_worker()
        if not self._replaceable(host):
            return
        models = set(host.worker.models)

        def fault() -> None:
            self._world.add_worker(host.service, models)
            begin(host)
            host.left_at = time.monotonic()
            time.sleep(seconds)
            host.worker.wait_until_idle(LONGEST_STREAM_SECONDS)
            self._world.drop(host)

        self._begin(f"{host.worker.id} {kind}", fault)

    def _replaceable(self, host: WorkerHost) -> bool:
        """Return whether ``host`` was not replaced yet, and mark it as replaced."""
        with self._lock:
            first = not host.replaced
            host.replaced = True
            return first
