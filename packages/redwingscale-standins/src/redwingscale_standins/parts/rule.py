"""Judges, by what workers ran, which parts of prompts ended them and what arrived later."""

import threading
from collections.abc import Iterable
from typing import NamedTuple

# Identities of parts are hexadecimal.
BAD_PREFIX = "bad"
# A part may end so many workers before every instance must refuse it.
MOST_ENDS = 4
# All instances know such a part after this time.
KNOWN_SECONDS = 1.0
# What the users' pages allow: arrivals later than so many seconds after so many ends.
PAGES_ENDS, PAGES_SECONDS, PAGES_ARRIVALS = 5, 3.0, 3


class PartRun(NamedTuple):
    """A request that a worker took, at ``at`` on the monotonic clock of the machine."""

    request: str
    parts: tuple[str, ...]
    worker: str
    at: float


class PartEnd(NamedTuple):
    """The end of a worker under a request with ``part``."""

    part: str
    worker: str
    at: float


class PartLedger:
    """What all workers of a play ran, and which of them ended; safe for threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs: list[PartRun] = []
        self._ends: list[PartEnd] = []

    def note_run(self, run: PartRun) -> None:
        """Note a request that has reached a worker."""
        with self._lock:
            self._runs.append(run)

    def note_end(self, end: PartEnd) -> None:
        """Note the end of a worker."""
        with self._lock:
            self._ends.append(end)

    def runs_of(self, part: str) -> list[PartRun]:
        """Return the arrivals with ``part``, in their order."""
        with self._lock:
            return sorted((one for one in self._runs if part in one.parts), key=_at)

    def ends_of(self, part: str) -> list[PartEnd]:
        """Return the ends under ``part``, in their order."""
        with self._lock:
            return sorted((one for one in self._ends if one.part == part), key=_at)

    def ended_by(self) -> set[str]:
        """Return the parts that have ended a worker."""
        with self._lock:
            return {one.part for one in self._ends}

    def late_runs(self, part: str, ends: int, seconds: float) -> list[PartRun]:
        """Return the arrivals with ``part`` later than ``seconds`` after end number ``ends``."""
        ended = self.ends_of(part)
        if len(ended) < ends:
            return []
        known_at = ended[ends - 1].at + seconds
        return [one for one in self.runs_of(part) if one.at > known_at]


def _at(one: PartRun | PartEnd) -> float:
    return one.at


def bad_part_of(parts: Iterable[str]) -> str | None:
    """Return the part that ends workers; the last one never does."""
    return next((one for one in [*parts][:-1] if one.startswith(BAD_PREFIX)), None)


def read_parts(header: str) -> tuple[str, ...]:
    """Return the identities in the header of a request, in their order."""
    return tuple(one.strip().partition(":")[0] for one in header.split(",") if one.strip())
