"""Adds and moves replicas to follow demand, if the gain is worth the moves."""

from collections.abc import Iterator, Mapping, Sequence
from itertools import islice, product
from typing import NamedTuple

from redwingscale_daemon._internal.placement.balance import KNEE_UTILISATION, Balance, Change
from redwingscale_daemon._internal.placement.group import Group
from redwingscale_daemon._internal.placement.layout import Layout

HORIZON_SECONDS = 1800.0
REQUESTS_PER_MOVE = 10.0
MAX_STEPS = 4
HOT_ENGINES = 4
HOT_GROUPS = 3
COLD_ENGINES = 6
COLD_GROUPS = 4
MAX_DESTINATIONS_TRIED = 32
MAX_CANDIDATES = 200


class Step(NamedTuple):
    """Changes that are applied together; ``moves`` is how many loads and unloads they take."""

    changes: tuple[Change, ...]
    moves: int


class MoveWorth(NamedTuple):
    """Weighs gains against moves: the price of a move in requests, and a request's duration."""

    move_price: float
    service_seconds: float

    @classmethod
    def from_moves_weight(cls, moves_weight: float, service_seconds: float) -> "MoveWorth":
        """Return the worth for the configured ``moves_weight``; 1 forbids moves."""
        if moves_weight >= 1.0:
            return cls(float("inf"), service_seconds)
        return cls(REQUESTS_PER_MOVE * moves_weight / (1.0 - moves_weight), service_seconds)

    def surplus(self, gained_work: float, moves: int) -> float:
        """Return the requests gained within `HORIZON_SECONDS`, less the price of the moves."""
        gained_requests = gained_work / self.service_seconds * HORIZON_SECONDS
        # At least one request per move: rounding errors must not cause moves that are free.
        return gained_requests - moves * max(1.0, self.move_price)


def follow_demand(
    layout: Layout,
    groups_by_key: Mapping[str, Group],
    load_by_key: dict[str, float],
    worth: MoveWorth,
) -> list[Step]:
    """Apply the best step to ``layout`` while one is worth its moves; return the steps."""
    balance = Balance(layout, load_by_key)
    taken: list[Step] = []
    while len(taken) < MAX_STEPS:
        step = _best_step(layout, groups_by_key, balance, worth)
        if step is None:
            break
        _apply(layout, groups_by_key, step)
        balance.apply(step.changes)
        taken.append(step)
    return taken


def _best_step(
    layout: Layout, groups_by_key: Mapping[str, Group], balance: Balance, worth: MoveWorth
) -> Step | None:
    best, best_surplus = None, 0.0
    for step in islice(_candidates(layout, groups_by_key, balance), MAX_CANDIDATES):
        surplus = worth.surplus(balance.gain(step.changes), step.moves)
        if surplus > best_surplus:
            best, best_surplus = step, surplus
    return best


def _apply(layout: Layout, groups_by_key: Mapping[str, Group], step: Step) -> None:
    for change in step.changes:
        group = groups_by_key[change.key]
        if change.added:
            layout.add(change.engine, group)
        else:
            layout.remove(change.engine, group)


def _candidates(
    layout: Layout, groups_by_key: Mapping[str, Group], balance: Balance
) -> Iterator[Step]:
    """Yield the steps that may take load off the most utilised engines."""
    rooms = layout.rooms_by_engine
    order = sorted((e for e in rooms if rooms[e].is_open), key=balance.utilisation)
    hot = [e for e in reversed(order[-HOT_ENGINES:]) if balance.utilisation(e) > KNEE_UTILISATION]
    for source, target in product(hot, order[:COLD_ENGINES]):
        if source == target:
            continue
        for key in _hottest(balance, layout, source):
            group = groups_by_key[key]
            if layout.accepts(target, group):
                yield from _steps_towards(layout, group, source, target, balance, order)


def _hottest(balance: Balance, layout: Layout, engine: str) -> list[str]:
    keys = [k for k in layout.groups_by_engine[engine] if k in balance.replica_loads_by_key]
    return sorted(keys, key=lambda k: -balance.replica_loads_by_key[k][engine])[:HOT_GROUPS]


def _steps_towards(
    layout: Layout, group: Group, source: str, target: str, balance: Balance, order: Sequence[str]
) -> Iterator[Step]:
    """Yield the steps that add ``group`` to ``target``, or move it there from ``source``."""
    lacking = group.size_bytes - layout.free_bytes(target)
    add = Change(target, group.key, added=True)
    if lacking <= 0:
        yield Step((add,), len(group.units))
    if lacking <= 0 and _may_move(layout, group, source, target):
        drop = Change(source, group.key, added=False)
        yield Step((drop, add), 2 * len(group.units))
    for cold in _coldest(layout, target, balance):
        if cold.size_bytes < lacking:
            continue
        evict = Change(target, cold.key, added=False)
        if len(layout.replicas(cold.key)) > 2 and len(layout.domains(cold.key, target)) > 1:
            yield Step((evict, add), len(cold.units) + len(group.units))
        yield from _exchange(layout, group, cold, source, target)
        yield from _move_on(layout, group, cold, target, order)


def _exchange(
    layout: Layout, group: Group, cold: Group, source: str, target: str
) -> Iterator[Step]:
    """Yield the step that exchanges ``group`` and ``cold``, if allowed."""
    fits = layout.free_bytes(source) + group.size_bytes >= cold.size_bytes
    if (
        fits
        and layout.accepts(source, cold)
        and _may_move(layout, group, source, target)
        and _may_move(layout, cold, target, source)
    ):
        changes = (
            Change(source, group.key, added=False),
            Change(target, cold.key, added=False),
            Change(source, cold.key, added=True),
            Change(target, group.key, added=True),
        )
        yield Step(changes, 2 * (len(group.units) + len(cold.units)))


def _move_on(
    layout: Layout, group: Group, cold: Group, target: str, order: Sequence[str]
) -> Iterator[Step]:
    """Yield the step that moves ``cold`` to a third engine to make room for ``group``."""
    destinations = (
        e
        for e in order[:MAX_DESTINATIONS_TRIED]
        if layout.accepts(e, cold)
        and layout.free_bytes(e) >= cold.size_bytes
        and _may_move(layout, cold, target, e)
    )
    destination = next(destinations, None)
    if destination is not None:
        changes = (
            Change(target, cold.key, added=False),
            Change(destination, cold.key, added=True),
            Change(target, group.key, added=True),
        )
        yield Step(changes, 2 * len(cold.units) + len(group.units))


def _coldest(layout: Layout, engine: str, balance: Balance) -> list[Group]:
    def replica_load(group: Group) -> float:
        return balance.replica_loads_by_key.get(group.key, {}).get(engine, 0.0)

    return sorted(layout.groups_by_engine[engine].values(), key=replica_load)[:COLD_GROUPS]


def _may_move(layout: Layout, group: Group, source: str, target: str) -> bool:
    """Return whether two failure domains remain, and another replica to serve during the move."""
    domains = layout.domains(group.key, without=source)
    moved = domains | {layout.rooms_by_engine[target].failure_domain}
    return len(layout.replicas(group.key)) > 1 and len(moved) > 1
