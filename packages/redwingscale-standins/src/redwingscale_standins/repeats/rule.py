"""Rule for the most repeats that the workers of a service may receive from all instances."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple


class RepeatRule(NamedTuple):
    """In any window, arrivals beyond the first of each request are bounded by its requests."""

    ratio: float = 0.2
    slack: float = 52.0
    window_seconds: float = 10.0


class Arrival(NamedTuple):
    """The head of a request that a worker has read, whatever it answered, and when."""

    request: str
    at: float


class Window(NamedTuple):
    """The ``repeats`` that arrived in the window that ends at ``end``, and how many may."""

    repeats: int
    allowed: float
    end: float

    @property
    def excess(self) -> float:
        """How many repeats are beyond what is allowed, negative if there is room left."""
        return self.repeats - self.allowed


def repeats_of(arrivals: Iterable[Arrival]) -> list[float]:
    """Return the times of the arrivals beyond the first of each request."""
    seen: set[str] = set()
    times: list[float] = []
    for arrival in sorted(arrivals, key=lambda one: one.at):
        if arrival.request in seen:
            times.append(arrival.at)
        seen.add(arrival.request)
    return times


def worst_window(
    arrivals: Iterable[Arrival], requested_at: Iterable[float], rule: RepeatRule
) -> Window:
    """Return the window of one service with the most repeats beyond what is allowed.

    ``requested_at`` are the times at which callers sent their requests, whether they arrived or
    not. They count in that window, the one before it or the one half a window before it,
    whichever has most.
    """
    repeats, requests = repeats_of(arrivals), sorted(requested_at)
    half = rule.window_seconds / 2
    # What is allowed falls only where a request leaves one of the three windows.
    leaves = (at + halves * half for at in requests for halves in (2, 3, 4))
    return max(
        (_window(repeats, requests, end, rule) for end in (*repeats, *leaves)),
        key=lambda window: window.excess,
        default=Window(0, rule.slack, 0.0),
    )


def _window(repeats: list[float], requests: list[float], end: float, rule: RepeatRule) -> Window:
    half = rule.window_seconds / 2
    most = max(_count(requests, end - halves * half, rule) for halves in (0, 1, 2))
    return Window(_count(repeats, end, rule), rule.ratio * most + rule.slack, end)


def _count(times: list[float], end: float, rule: RepeatRule) -> int:
    return bisect_right(times, end) - bisect_right(times, end - rule.window_seconds)
