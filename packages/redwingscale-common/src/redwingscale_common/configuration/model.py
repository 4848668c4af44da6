"""Models in the configuration, with their versions and adapters."""

from typing import NamedTuple


class ModelVersion(NamedTuple):
    """One set of weights of a model; ``size_bytes`` is its size in accelerator memory."""

    name: str
    size_bytes: int


class Adapter(NamedTuple):
    """Additional weights for a model; an adapter is resident only where its model is."""

    name: str
    size_bytes: int


class Model(NamedTuple):
    """A model; ``serving`` names the version that serves the callers' requests."""

    name: str
    serving: str
    versions_by_name: dict[str, ModelVersion]
    adapters_by_name: dict[str, Adapter]
