"""A caller as the operators' text lists it."""

from typing import NamedTuple


class Caller(NamedTuple):
    """Who may call, known by the SHA-256 of its bearer token.

    ``share`` weighs the caller's part of a full instance against the others;
    ``deadline_seconds`` holds for requests that name none.
    """

    name: str
    token_sha256: str
    share: int
    deadline_seconds: float
