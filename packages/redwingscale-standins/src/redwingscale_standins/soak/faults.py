"""The faults of a soak, in series that overlap."""

import os
import signal
import threading
import time
from collections.abc import Callable

from redwingscale_standins.hosted.waiting import until
from redwingscale_standins.soak.faulty_link import FaultyLink
from redwingscale_standins.soak.notices import reject, say_leaving
from redwingscale_standins.soak.world import Limited, Node, Place, World

# Between the beginnings of two faults of a series.
SHORTEST_PAUSE_SECONDS = 0.2
LONGEST_PAUSE_SECONDS = 1.5
LONGEST_FAULT_SECONDS = 3.0
# From the sign of leaving to the end of a worker's service; one that says nothing and
# is only taken off the list may go on for longer.
LEAVING_SECONDS = 4.0
UNSAID_LEAVING_SECONDS = 12.0
# The order giver tells a change of the list for three seconds: who is cut off from the
# store for longer has to find out by itself.
SHORTEST_CUT_SECONDS = 4.0
LONGEST_CUT_SECONDS = 8.0
MOST_DOWN_PART = 0.5
# All instances keep to a rate limit after three seconds.
SHORTEST_LIMIT_SECONDS = 4.0
LONGEST_LIMIT_SECONDS = 8.0
RATE_LIMITS = (0.5, 1.0, 4.0)
# What is held up on a link comes when it heals.
CALM_SECONDS = 4.0
LINK_FAULTS = ("delay", "hold_to", "hold_from", "refuse", "silence", "reset")


class Faults:
    """Draws faults from the world's seed; each runs in a thread of its own."""

    def __init__(self, world: World, *, planned_only: bool) -> None:
        self._world = world
        self._random = world.random
        planned: list[Callable[[], None]] = [
            self._stop_instance,
            self._reload,
            self._change_configuration,
            self._worker_leaves,
            self._worker_leaves_unsaid,
            self._limit_worker,
            self._worker_leaves_in_answers,
            self._worker_rejects,
        ]
        unplanned: list[Callable[[], None]] = [
            self._kill_instance,
            self._pause_instance,
            self._store_link,
            self._store_link,
            self._cut_from_store,
            self._store_down,
            self._worker_link,
            self._worker_link,
            self._worker_dies,
            self._worker_fails,
        ]
        self._menu = planned if planned_only else planned + unplanned
        self._threads: list[threading.Thread] = []
        self._down: set[str] = set()
        self._lock = threading.Lock()
        self.log: list[str] = []

    def run(self, seconds: float) -> None:
        """Begin faults for ``seconds``; return when all have ended."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._random.choice(self._menu)()
            pause = self._random.uniform(SHORTEST_PAUSE_SECONDS, LONGEST_PAUSE_SECONDS)
            time.sleep(min(pause, max(0.0, end - time.monotonic())))
        self.wait()

    def wait(self) -> None:
        """Return when every fault that has begun has ended."""
        for thread in self._threads:
            thread.join()

    def _begin(self, what: str, fault: Callable[[], None]) -> None:
        self.log.append(f"{time.monotonic():.2f} {what}")

        def guarded() -> None:
            try:
                fault()
            except Exception as error:
                # An instance that does not stop or start is a finding, not the soak's end.
                self._world.ledger.finding("fault", f"{what}: {error!r}")

        thread = threading.Thread(target=guarded, name=what, daemon=True)
        thread.start()
        self._threads.append(thread)

    def _duration(self) -> float:
        return self._random.uniform(0.3, LONGEST_FAULT_SECONDS)

    def _take_down(self) -> Node | None:
        """Return an instance that may go down now, and count it as down."""
        with self._lock:
            up = [node for node in self._world.nodes if node.name not in self._down]
            if len(self._down) + 1 > len(self._world.nodes) * MOST_DOWN_PART or not up:
                return None
            node = self._random.choice(up)
            self._down.add(node.name)
            return node

    def _back(self, node: Node) -> None:
        with self._lock:
            self._down.discard(node.name)

    def _stop_instance(self) -> None:
        node = self._take_down()
        if node is not None:
            self._begin(f"stop {node.name}", lambda: self._stop(node))

    def _stop(self, node: Node) -> None:
        os.kill(node.process.process.pid, signal.SIGTERM)
        until(lambda: node.process.status() != 200, f"unreadiness of {node.name}")
        node.stopping = True
        if node.process.process.wait(20.0) != 0:
            code = node.process.process.returncode
            self._world.ledger.finding("stop", f"{node.name} ended with {code}")
        self._restart(node)

    def _kill_instance(self) -> None:
        node = self._take_down()
        if node is not None:
            self._begin(f"kill {node.name}", lambda: self._kill(node))

    def _kill(self, node: Node) -> None:
        with node.disturbance.during(), self._world.disturbance.during():
            node.stopping = True
            node.process.end()
            time.sleep(self._duration() / 3)
            self._restart(node)

    def _restart(self, node: Node) -> None:
        with node.disturbance.during():
            node.process.start()
            node.until_ready()
        node.stopping = False
        self._back(node)

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
        self._back(node)

    def _reload(self) -> None:
        node = self._random.choice(self._world.nodes)
        if node.name not in self._down:
            self._begin(
                f"reload {node.name}", lambda: os.kill(node.process.process.pid, signal.SIGHUP)
            )

    def _change_configuration(self) -> None:
        self._begin("configuration", self._world.change_configuration)

    def _store_link(self) -> None:
        node, seconds = self._random.choice(self._world.nodes), self._duration()
        how = self._random.choice(LINK_FAULTS)

        def fault() -> None:
            with node.disturbance.during():
                self._harm(node.store_link, how, seconds)

        self._begin(f"store link of {node.name}: {how} {seconds:.2f}", fault)

    def _cut_from_store(self) -> None:
        node = self._random.choice(self._world.nodes)
        seconds = self._random.uniform(SHORTEST_CUT_SECONDS, LONGEST_CUT_SECONDS)

        def fault() -> None:
            with node.disturbance.during():
                self._harm(node.store_link, "refuse", seconds)

        self._begin(f"{node.name} is cut off from the store {seconds:.2f}", fault)

    def _harm(self, link: FaultyLink, how: str, seconds: float) -> None:
        match how:
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

    def _store_down(self) -> None:
        seconds = self._duration()

        def fault() -> None:
            with self._world.store_disturbance.during(), self._world.disturbance.during():
                self._world.rows.down = True
                time.sleep(seconds)
                self._world.rows.down = False

        self._begin(f"store down {seconds:.2f}", fault)

    def _place(self) -> Place:
        return self._random.choice([*self._world.places.values()])

    def _worker_link(self) -> None:
        place, seconds = self._place(), self._duration()
        how = self._random.choice(LINK_FAULTS)

        def fault() -> None:
            with self._world.disturbance.during():
                self._harm(place.link, how, seconds)

        self._begin(f"link of {place.worker.id}: {how} {seconds:.2f}", fault)

    def _worker_fails(self) -> None:
        place, seconds = self._place(), self._duration()
        what = self._random.choice(["failing", "losing"])

        def fault() -> None:
            with self._world.disturbance.during():
                setattr(place.worker, what, True)
                time.sleep(seconds)
                setattr(place.worker, what, False)

        self._begin(f"{place.worker.id} {what} {seconds:.2f}", fault)

    def _limit_worker(self) -> None:
        place = self._place()
        if place.worker.rate_limit is not None:
            return
        seconds = self._random.uniform(SHORTEST_LIMIT_SECONDS, LONGEST_LIMIT_SECONDS)
        rate = self._random.choice(RATE_LIMITS)

        def fault() -> None:
            named_at = time.monotonic()
            place.worker.rate_limit = rate
            time.sleep(seconds)
            place.worker.rate_limit = None
            calm = self._world.disturbance.at < named_at - CALM_SECONDS
            limited = Limited(place.worker, rate, named_at, time.monotonic(), calm)
            self._world.limited.append(limited)

        place.worker.rate_limit = rate
        self._begin(f"{place.worker.id} takes {rate} a second {seconds:.2f}", fault)

    def _worker_dies(self) -> None:
        place = self._place()
        if not self._replaceable(place):
            return

        def fault() -> None:
            with self._world.disturbance.during():
                self._world.drop(place)
                self._world.add_worker(place.service, set())

        self._begin(f"{place.worker.id} dies", fault)

    def _worker_leaves(self) -> None:
        self._leave("leaves", LEAVING_SECONDS, lambda place: self._world.list(place, "draining"))

    def _worker_leaves_in_answers(self) -> None:
        def begin(place: Place) -> None:
            say_leaving(self._world, place, self._random)
            self._world.list(place, "draining")

        self._leave("leaves and first says so in its answers", LEAVING_SECONDS, begin)

    def _worker_rejects(self) -> None:
        place = self._place()
        if place.worker.retry_after is None:
            self._begin(
                f"{place.worker.id} rejects", lambda: reject(self._world, place, self._random)
            )

    def _worker_leaves_unsaid(self) -> None:
        self._leave("leaves and doesn't say so", UNSAID_LEAVING_SECONDS, self._world.unlist)

    def _leave(self, how: str, seconds: float, begin: Callable[[Place], None]) -> None:
        """Replace a worker that serves on for ``seconds`` after ``begin``."""
        place = self._place()
        if not self._replaceable(place):
            return
        models = set(place.worker.models)

        def fault() -> None:
            self._world.add_worker(place.service, models)
            begin(place)
            place.left_at = time.monotonic()
            time.sleep(seconds)
            self._world.drop(place)

        self._begin(f"{place.worker.id} {how}", fault)

    def _replaceable(self, place: Place) -> bool:
        """Return whether ``place`` may be replaced, which it is only once."""
        with self._lock:
            first = not place.replaced
            place.replaced = True
            return first
