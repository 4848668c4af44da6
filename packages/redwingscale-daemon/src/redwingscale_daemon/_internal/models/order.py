"""Orders to engines, in one shape for every vendor."""

from typing import NamedTuple


class Order(NamedTuple):
    """Load or unload ``unit``; ``fence`` is the sender's fencing number."""

    order_id: str
    load: bool
    unit: str
    size_bytes: int
    fence: int
