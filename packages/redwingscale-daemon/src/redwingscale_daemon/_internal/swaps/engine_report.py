"""What a model worker reports about itself."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.unit import Unit


class EngineReport(NamedTuple):
    """As of some hundred milliseconds ago.

    ``orders_accepted`` rises by one with each order since the process began;
    while ``busy`` one of them is being carried out. ``arriving`` adapters take
    their place already. ``started_at_ms`` tells one start of the process from the next, None
    where the platform doesn't tell.
    """

    resident: AdaptersByModel
    arriving: frozenset[Unit]
    busy: bool
    orders_accepted: int
    started_at_ms: int | None = None
