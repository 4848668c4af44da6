"""Services that callers use, and the models that each depends on."""

from dataclasses import dataclass
from typing import NamedTuple


class Dependency(NamedTuple):
    """A model that a service uses, and the adapters of the model that it uses."""

    model: str
    adapters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ModelService:
    """A service that models on engines serve."""

    name: str
    callers: frozenset[str]
    depends_on: tuple[Dependency, ...]
    deadline_seconds: float
    idempotent: bool
    priority: int


@dataclass(frozen=True, slots=True)
class PlainService:
    """A service that plain upstreams serve; the platform lists them under the service's name."""

    name: str
    callers: frozenset[str]
    deadline_seconds: float
    idempotent: bool
    priority: int


Service = ModelService | PlainService
