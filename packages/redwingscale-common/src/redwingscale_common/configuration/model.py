"""Models with their versions and adapters."""

from typing import NamedTuple


class ModelVersion(NamedTuple):
    """One set of weights; ``size_bytes`` is its size in accelerator memory."""

    name: str
    size_bytes: int


class Adapter(NamedTuple):
    """Weights beside a model's own; resident only where its model is."""

    name: str
    size_bytes: int


class Model(NamedTuple):
    """A listed model; ``serving`` names the version that answers callers."""

    name: str
    serving: str
    versions_by_name: dict[str, ModelVersion]
    adapters_by_name: dict[str, Adapter]
