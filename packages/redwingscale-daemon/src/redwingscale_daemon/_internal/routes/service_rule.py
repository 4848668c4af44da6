"""Configuration of a service and of the engines behind it."""

from typing import NamedTuple

# Demand moves from one model to another within this time.
DEMAND_SHIFT_SECONDS = 8.0


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
    """Capacity of one upstream of a model service.

    Copies of weights that are not loaded take up to ``memory_copies_mb`` of an upstream's
    memory and ``disk_copies_mb`` of its disk, None if unknown; the least recently used
    ones are evicted. An event of a stream has ``tokens_per_event`` tokens.
    """

    batch_slots: int
    cache_tokens: int
    weights_mb: float
    adapter_slots: int
    cold_loads_per_second: float
    models_by_name: dict[str, ModelRule]
    memory_copies_mb: float | None = None
    disk_copies_mb: float | None = None
    tokens_per_event: int = 1

    @property
    def loads_outlast_demand(self) -> bool:
        """Whether demand may have moved on before a load from the weight store ends."""
        return any(
            model.cold_seconds > DEMAND_SHIFT_SECONDS for model in self.models_by_name.values()
        )


class ServiceRule(NamedTuple):
    """A service; ``engine`` is None for one that runs no models.

    ``most_connections`` is how many connections one upstream accepts from all instances
    together.
    """

    name: str
    most_connections: int
    engine: EngineRule | None
