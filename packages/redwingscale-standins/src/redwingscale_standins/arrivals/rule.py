"""Judges how many requests are served at the first try that an instance has read."""

import re
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import NamedTuple

# What the users' pages allow: the share while most connections go to one instance, of that before.
PAGES_SHARE = 0.75
# The share that is promised.
PROMISED_SHARE = 0.95
_READ = re.compile(rb" event=request_ended instance=\S+ request=(\S+) ")


class Attempt(NamedTuple):
    """One try of a request, which an instance may have read; ``served`` if its answer was whole."""

    id: str
    served: bool


class Arrival(NamedTuple):
    """A request that arrived at ``at``, in seconds of the play, with its tries in their order."""

    at: float
    attempts: Sequence[Attempt]


def read_ids(logs: Iterable[Path]) -> set[str]:
    """Return the ids of the requests that instances have read, as their logs tell."""
    return {found.decode() for log in logs for found in _READ.findall(log.read_bytes())}


def first_read_served(arrivals: Iterable[Arrival], read: set[str]) -> list[bool]:
    """Return for each arrival whether it was served at the first try that was read.

    One that no instance has read was not served.
    """
    return [
        next((attempt.served for attempt in one.attempts if attempt.id in read), False)
        for one in arrivals
    ]


def share(served: Sequence[bool]) -> float:
    """Return the part of the requests that were served, 1 if there were none."""
    return sum(served) / len(served) if served else 1.0
