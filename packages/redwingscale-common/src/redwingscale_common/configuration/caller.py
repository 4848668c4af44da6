"""A caller in the configuration."""

from typing import NamedTuple


class Caller(NamedTuple):
    """A client that may send requests, identified by the SHA-256 of its bearer token.

    ``share`` is the caller's weight when callers compete for a fully loaded instance.
    ``deadline_seconds`` applies to requests that state no deadline.
    """

    name: str
    token_sha256: str
    share: int
    deadline_seconds: float
