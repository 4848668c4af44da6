"""Tasks of a model worker."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit


class SwapTask(NamedTuple):
    """Unload ``evicted`` and load ``model``, which is expected to take ``load_seconds``."""

    evicted: tuple[str, ...]
    model: str
    load_seconds: float


class AdapterTask(NamedTuple):
    """Load the adapter of ``unit`` after unloading the ``evicted`` ones."""

    unit: Unit
    evicted: tuple[Unit, ...]


class ReportTask(NamedTuple):
    """Read the report, which shows whether the worker carries out an order of another leader."""


Task = SwapTask | AdapterTask | ReportTask
