"""The state that a model worker reports about itself."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.unit import Unit


class EngineReport(NamedTuple):
    """A worker's state, some hundred milliseconds old.

    ``orders_accepted`` increases by one with each order since the process started; ``busy`` is
    true while one of them is carried out. ``arriving`` adapters are being loaded and occupy their
    slots already. ``started_at_ms`` tells one start of the process from another; it is None if the
    platform does not report it.
    """

    resident: AdaptersByModel
    arriving: frozenset[Unit]
    busy: bool
    orders_accepted: int
    started_at_ms: int | None = None
