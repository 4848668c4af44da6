"""One HTTP call in a vendor's dialect."""

from typing import NamedTuple


class Call(NamedTuple):
    """A call; ``path`` includes the query."""

    method: str
    path: str
    body: bytes = b""
