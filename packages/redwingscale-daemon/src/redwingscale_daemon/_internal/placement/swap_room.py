"""Makes room on nearly full engines by exchanging groups of different sizes."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from redwingscale_daemon._internal.placement.group import Group
from redwingscale_daemon._internal.placement.layout import Layout

MAX_ENGINES_TRIED = 16
MAX_PARTNERS_TRIED = 64
MAX_SWAPS = 4


class Swap(NamedTuple):
    """``out`` moves to the engine ``partner``, and ``back`` moves from there in its place."""

    out: Group
    partner: str
    back: Group

    @property
    def gain_bytes(self) -> int:
        return self.out.size_bytes - self.back.size_bytes


def swap_room(layout: Layout, group: Group, engines: Iterable[str]) -> str | None:
    """Gather the free memory of other engines on one of ``engines``; return that engine.

    The free memory of each engine may be too small for any model, though the sum is
    enough. Without these swaps, a nearly full deployment may fit two models fewer.
    """
    tried = sorted(engines, key=lambda e: (-layout.free_bytes(e), e))[:MAX_ENGINES_TRIED]
    return next((e for e in tried if _gather(layout, group, e)), None)


def _gather(layout: Layout, group: Group, engine: str) -> bool:
    done: list[Swap] = []
    while layout.free_bytes(engine) < group.size_bytes and len(done) < MAX_SWAPS:
        lacking = group.size_bytes - layout.free_bytes(engine)
        swap = max(
            _swaps(layout, group, engine),
            key=lambda s: (min(s.gain_bytes, lacking), -s.gain_bytes, s),
            default=None,
        )
        if swap is None:
            break
        _apply(layout, engine, swap)
        done.append(swap)
    if layout.free_bytes(engine) >= group.size_bytes:
        return True
    for swap in reversed(done):
        _apply(layout, engine, Swap(swap.back, swap.partner, swap.out))
    return False


def _swaps(layout: Layout, group: Group, engine: str) -> Iterator[Swap]:
    partners = sorted(layout.rooms_by_engine, key=lambda e: (-layout.free_bytes(e), e))
    for partner in partners[:MAX_PARTNERS_TRIED]:
        if partner == engine or not layout.rooms_by_engine[partner].is_open:
            continue
        for out in layout.groups_by_engine[engine].values():
            for back in layout.groups_by_engine[partner].values():
                gain = out.size_bytes - back.size_bytes
                if (
                    0 < gain <= layout.free_bytes(partner)
                    and back.key != group.key
                    and _may_move(layout, out, engine, partner)
                    and _may_move(layout, back, partner, engine)
                ):
                    yield Swap(out, partner, back)


def _may_move(layout: Layout, group: Group, source: str, target: str) -> bool:
    """Return whether the failure domains stay distinct, and a replica serves during the move."""
    serves_meanwhile = len(layout.replicas(group.key)) > 1
    is_new = not layout.rooms_by_engine[source].has_resident(group.key)
    domain = layout.rooms_by_engine[target].failure_domain
    return (
        (serves_meanwhile or is_new)
        and layout.accepts(target, group)
        and domain not in layout.domains(group.key, without=source)
    )


def _apply(layout: Layout, engine: str, swap: Swap) -> None:
    layout.remove(engine, swap.out)
    layout.remove(swap.partner, swap.back)
    layout.add(swap.partner, swap.out)
    layout.add(engine, swap.back)
