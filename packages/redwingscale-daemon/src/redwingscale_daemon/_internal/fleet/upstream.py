"""One upstream as the platform lists it."""

from typing import NamedTuple

from redwingscale_daemon._internal.store.store_version import StoreVersion


class ResidentModel(NamedTuple):
    """A model that is resident at an upstream, and its resident adapters."""

    name: str
    version: int
    adapters: frozenset[str]


class Upstream(NamedTuple):
    """One start of a server process, identified by ``id`` everywhere in the system.

    A process that restarts keeps its name but none of its state: residency, order count,
    speed, failures and connections. Two starts of one ``platform_name`` are therefore two
    upstreams, so that state keyed by ``id`` can't carry over and is dropped with the
    former start. ``row_version`` decides which of two entries of one name is newer, since
    the clocks that ``id`` is made from may jump.

    ``software`` is the version of the process's software, None if unknown. Several versions may
    serve side by side; what they write does not fit together in one stream.

    ``leaving`` upstreams take no new work. ``seconds_left`` is the remaining time of one
    that is removed at short notice, None if unknown.
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
    # The platform's name of the process, set if ``id`` also contains the start.
    named: str | None = None
    # When the process started, in Unix milliseconds by its own clock, None if unknown.
    started_at_ms: int | None = None
    # The number of ``row_version``.
    row_number: int = 0
    software: str | None = ""
    # The era of ``row_version``; in messages, that of the list counts.
    era: int = 0

    @property
    def platform_name(self) -> str:
        """Name of the process in its entry, its reports and its refusals."""
        return self.id if self.named is None else self.named

    @property
    def row_version(self) -> StoreVersion:
        """The version of the entry."""
        return StoreVersion(self.era, self.row_number)

    @property
    def address(self) -> tuple[str, int]:
        """Where the process listens; other processes may reuse the address after its end."""
        return (self.host, self.port)
