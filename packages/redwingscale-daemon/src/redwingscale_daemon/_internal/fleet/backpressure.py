"""Backpressure that an upstream signals in one answer."""

from typing import NamedTuple


class Backpressure(NamedTuple):
    """Read from the head of any answer, independent of the request.

    ``per_second`` is the rate limit for all instances together, None for no limit. A
    ``leaving`` upstream takes no new work. An upstream that rejected a request may accept
    no other from this instance for ``retry_after_seconds``, None if it names no time.
    ``rejected``: it had no room for the request. A brittle upstream falls over if it has to
    reject more than ``rejections_per_second``, None if it bears any number.
    """

    per_second: float | None = None
    leaving: bool = False
    retry_after_seconds: float | None = None
    rejected: bool = False
    rejections_per_second: float | None = None
