"""One upstream as the platform lists it."""

from typing import NamedTuple


class ResidentModel(NamedTuple):
    """A model in an upstream's memory, and its adapters there."""

    name: str
    version: int
    adapters: frozenset[str]


class Upstream(NamedTuple):
    """A process behind the system, known by ``id``; each start has an id of its own.

    ``leaving`` upstreams take no new work; ``seconds_left`` is how long one that
    is taken away at short notice has, None where it isn't known.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    leaving: bool
    seconds_left: float | None
    models_by_name: dict[str, ResidentModel]
    in_memory: frozenset[str]
    on_disk: frozenset[str]

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens; used again by others after it has ended."""
        return (self.host, self.port)
