"""Configuration of a service and of the engines behind it."""

from typing import NamedTuple


class ModelRule(NamedTuple):
    """Size and load times of a model.

    A load takes ``memory_seconds`` or ``disk_seconds`` if the upstream still has a copy in
    memory or on disk, otherwise ``cold_seconds`` from the weight store.
    """

    name: str
    weights_mb: float
    adapter_mb: float
    adapters: int
    cold_seconds: float
    disk_seconds: float
    memory_seconds: float


class EngineRule(NamedTuple):
    """Capacity of one upstream of a model service."""

    batch_slots: int
    cache_tokens: int
    weights_mb: float
    adapter_slots: int
    cold_loads_per_second: float
    models_by_name: dict[str, ModelRule]


class ServiceRule(NamedTuple):
    """A service; ``engine`` is None for one that runs no models.

    ``most_connections`` is how many connections one upstream accepts from all instances
    together.
    """

    name: str
    most_connections: int
    engine: EngineRule | None
