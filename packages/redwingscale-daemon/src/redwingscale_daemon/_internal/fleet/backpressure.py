"""What an upstream says of itself in one answer."""

from typing import NamedTuple


class Backpressure(NamedTuple):
    """Read from the head of an answer, whatever was asked.

    ``per_second`` requests are taken of all instances together, None for any rate. A
    ``leaving`` upstream takes no new work. One that has rejected a request may want none
    from this instance for ``retry_after_seconds``, None where it names no time.
    """

    per_second: float | None = None
    leaving: bool = False
    retry_after_seconds: float | None = None
