"""Checks whether a configuration can fit the memory of the engines."""

from collections.abc import Mapping
from typing import NamedTuple

from redwingscale_common.configuration import Configuration, Unit

from redwingscale_daemon._internal.upstreams.directory import EngineView


class ModelGroup(NamedTuple):
    """A model with its adapters, which share one engine."""

    model: str
    size_bytes: int


class MemoryFit(NamedTuple):
    """Needed and available memory in bytes, without the share of the cache.

    ``unreported`` lists the engines that have not reported their memory yet.
    """

    needed_bytes: int
    available_bytes: int
    largest: ModelGroup
    largest_engine_bytes: int
    unreported: tuple[str, ...]

    @property
    def conclusive(self) -> bool:
        """Whether every engine has reported.

        Without engines it is false: the member list may not have been read yet.
        """
        return self.largest_engine_bytes > 0 and not self.unreported

    def problem(self) -> str:
        """Return what does not fit the reported engines; empty if everything fits."""
        if self.needed_bytes > self.available_bytes:
            return (
                f"the listed models need {self.needed_bytes} bytes; the engines have"
                f" {self.available_bytes} beside their cache"
            )
        if self.largest.size_bytes > self.largest_engine_bytes:
            return (
                f"model {self.largest.model!r} needs {self.largest.size_bytes} bytes on one"
                f" engine; the largest has {self.largest_engine_bytes} beside its cache"
            )
        return ""


def compute_memory_fit(
    configuration: Configuration, engines: Mapping[str, EngineView]
) -> MemoryFit:
    """Return how ``configuration`` compares with the memory that engines reported.

    This is a necessary condition only: the sums can fit where no placement does.
    """
    share = 1 - configuration.policy.cache_share
    active = {key: view for key, view in engines.items() if not view.leaving}
    usable = [int(v.digest.capacity_bytes * share) for v in active.values() if v.digest]
    sizes: dict[Unit, int] = {}
    for unit, size in configuration.serving_units().items():
        sizes[unit.base] = sizes.get(unit.base, 0) + size
    groups = [ModelGroup(str(unit), size) for unit, size in sizes.items()]
    return MemoryFit(
        needed_bytes=sum(sizes.values()),
        available_bytes=sum(usable),
        largest=max(groups, key=lambda g: g.size_bytes, default=ModelGroup("", 0)),
        largest_engine_bytes=max(usable, default=0),
        unreported=tuple(sorted(key for key, view in active.items() if not view.digest)),
    )
