"""One upstream as the platform lists it."""

from typing import NamedTuple


class ResidentModel(NamedTuple):
    """A model in an upstream's memory, and its adapters there."""

    name: str
    version: int
    adapters: frozenset[str]


class Upstream(NamedTuple):
    """One start of a process behind the system, known by ``id`` everywhere in the system.

    A process may start again under the name that it had, and knows nothing of before:
    what it held, its order count, its speed, its failures, its connections. Two starts
    of one ``platform_name`` are therefore two upstreams: what is kept by ``id`` can't
    carry over, and goes with the former start. ``row_version`` tells which of two
    entries of one name is the newer one; the clocks that ``id`` is made of may jump.

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
    # The platform's name of the process, where ``id`` also tells the start.
    named: str | None = None
    # When it started, in Unix milliseconds by its own clock; None where it isn't told.
    started_at_ms: int | None = None
    row_version: int = 0

    @property
    def platform_name(self) -> str:
        """What the process calls itself in its entry, its reports and its refusals."""
        return self.id if self.named is None else self.named

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens; used again by others after it has ended."""
        return (self.host, self.port)
