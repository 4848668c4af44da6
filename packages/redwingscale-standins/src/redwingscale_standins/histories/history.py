"""One random history, determined by its seed."""

import random
from typing import NamedTuple

from redwingscale_standins.histories.faults import FAULTS_BY_POINT, Fault, Point
from redwingscale_standins.histories.world import SIZES_BY_UNIT, World

ACTIONS = 120
FAULT_PROBABILITY_BY_POINT = {
    Point.READ: 0.02,
    Point.COMMIT: 0.05,
    Point.POLL: 0.03,
    Point.ORDER: 0.4,
    Point.LOAD: 0.1,
}
INSTANCES = 3
FAULT_FREE_SECONDS = 60
STEP_SECONDS = 0.5


class Judgement(NamedTuple):
    """The result of a history; ``violations`` is empty if no invariant was broken."""

    seed: int
    checks_fencing: bool
    orders_sent: int
    peak_bytes: int
    violations: list[str]
    converged: bool


def run_history(seed: int) -> Judgement:
    """Run a history with faults, then one minute without them, and return its result."""
    rng = random.Random(seed)
    fault_free = False

    def faults(point: Point) -> Fault | None:
        if fault_free or rng.random() > FAULT_PROBABILITY_BY_POINT[point]:
            return None
        return rng.choice(FAULTS_BY_POINT[point])

    checks_fencing = bool(seed % 2)
    world = World(rng, faults, checks_fencing=checks_fencing, instances=INSTANCES)
    for _ in range(ACTIONS):
        _act(world, rng)
    fault_free = True
    world.down = False
    world.cut = set()
    for _ in range(int(FAULT_FREE_SECONDS / STEP_SECONDS)):
        _pass_time(world, STEP_SECONDS)
    return Judgement(
        seed,
        checks_fencing,
        world.orders_sent,
        world.engine.memory.peak_bytes,
        world.violations,
        world.has_converged(),
    )


def _act(world: World, rng: random.Random) -> None:
    kind = rng.choices(
        ["step", "plan", "outage", "cut", "engine", "kill", "stop", "double", "hand", "long"],
        [60, 24, 1, 3, 1, 4, 1, 0.3, 8, 2],
    )[0]
    match kind:
        case "step":
            _pass_time(world, rng.uniform(0.1, 0.8))
        case "plan":
            units = list(SIZES_BY_UNIT)
            rng.shuffle(units)
            world.set_plan(units)
        case "outage":
            world.down = not world.down
        case "cut":
            world.cut = {n for n in range(INSTANCES) if rng.random() < 0.3}
        case "engine":
            world.restart_engine()
        case "kill":
            world.restart_instance(rng.randrange(INSTANCES))
        case "stop":
            world.stop_instance(rng.randrange(INSTANCES))
        case "double":
            world.double_instance(rng.randrange(INSTANCES))
        case "hand":
            world.hand_over(rng.randrange(INSTANCES))
        case "long":
            world.advance(rng.uniform(1, 10))


def _pass_time(world: World, seconds: float) -> None:
    world.advance(seconds)
    for number in range(len(world.owners)):
        world.step(number)
