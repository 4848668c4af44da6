"""Services: what callers rely on, and what each depends on."""

from dataclasses import dataclass
from typing import NamedTuple


class Dependency(NamedTuple):
    """A model of a service and the adapters that the service uses on it."""

    model: str
    adapters: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ModelService:
    """A service answered by models on engines."""

    name: str
    callers: frozenset[str]
    depends_on: tuple[Dependency, ...]
    deadline_seconds: float
    idempotent: bool
    priority: int


@dataclass(frozen=True, slots=True)
class PlainService:
    """A service answered by plain upstreams that the platform lists by its name."""

    name: str
    callers: frozenset[str]
    deadline_seconds: float
    idempotent: bool
    priority: int


Service = ModelService | PlainService
