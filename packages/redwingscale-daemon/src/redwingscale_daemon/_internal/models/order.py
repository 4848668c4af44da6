"""Orders to engines, in one format for all vendors."""

from typing import NamedTuple


class Order(NamedTuple):
    """An order to load or unload ``unit``; ``fence`` is the sender's fencing number."""

    order_id: str
    load: bool
    unit: str
    size_bytes: int
    fence: int
