"""Changes of an engine's prefix cache, in one format for all vendors."""

from typing import NamedTuple


class CacheEvent(NamedTuple):
    """Block ``digest`` was stored or evicted; ``sequence`` rises by one each time."""

    sequence: int
    stored: bool
    digest: str
