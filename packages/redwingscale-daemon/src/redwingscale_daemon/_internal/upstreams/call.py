"""One HTTP call in a vendor's dialect."""

from typing import NamedTuple


class Call(NamedTuple):
    """Method, path with query, and body of a call."""

    method: str
    path: str
    body: bytes = b""
