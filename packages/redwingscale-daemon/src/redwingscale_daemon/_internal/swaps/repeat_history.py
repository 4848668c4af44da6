"""What former processes of the instances have sent, for those that have just started."""

import threading
from collections import Counter, deque
from collections.abc import Mapping
from typing import NamedTuple

from redwingscale_daemon._internal.leases.clock import Clock, lease_clock

# A process whose last report is older when its successor reports may have sent repeats
# since. Processes report four times a second and with each repeat; a start takes a second.
LAST_REPORT_SECONDS = 2.0
# Each start is told in so many updates, and so many at a time: hundreds may come at once.
TOLD_TIMES = 6
MAX_TOLD_PER_UPDATE = 32


class _Process(NamedTuple):
    """A process that reported last at ``at``, and its ``repeats`` in the window until then."""

    start: str
    at: float
    repeats: Mapping[str, int]


class _Told(NamedTuple):
    """What the process ``start`` is told in ``left`` more updates."""

    start: str
    repeats: dict[str, int]
    left: int


class RepeatHistory:
    """Keeps what the processes of each instance report, to tell their successors.

    A new leader knows nothing of processes that ended before its term, unless it is the
    first one of the deployment. A process that is told nothing takes its share as used.
    """

    def __init__(self, window_seconds: float, clock: Clock = lease_clock) -> None:
        self._window_seconds = window_seconds
        self._clock = clock
        self._lock = threading.Lock()
        self._has_led = False
        # Processes that ended before this may have sent repeats that are not known here.
        self._complete_since = float("inf")
        self._incomplete_until: dict[str, float] = {}
        self._latest: dict[str, _Process] = {}
        self._ended: dict[str, list[_Process]] = {}
        self._untold: deque[_Told] = deque()

    def begin(self, *, succeeds_another: bool) -> None:
        """Begin a term; ``succeeds_another`` if another process was the leader before."""
        first_ever = not (succeeds_another or self._has_led)
        self._has_led = True
        with self._lock:
            self._complete_since = float("-inf") if first_ever else self._clock()
            for kept in (self._incomplete_until, self._latest, self._ended, self._untold):
                kept.clear()

    def receive(self, instance: str, start: str, repeats: Mapping[str, int]) -> None:
        """Take a report of the process ``start``, with its repeats in the last window."""
        with self._lock:
            self._receive(instance, _Process(start, self._clock(), repeats))

    def next_starts(self) -> dict[str, dict[str, int]]:
        """Return the repeats of former processes by service, by the start that is to know them.

        Called for each update.
        """
        with self._lock:
            count = min(len(self._untold), MAX_TOLD_PER_UPDATE)
            told = [self._untold.popleft() for _ in range(count)]
            self._untold += [one._replace(left=one.left - 1) for one in told if one.left > 1]
        return {one.start: one.repeats for one in told}

    def _receive(self, instance: str, process: _Process) -> None:
        former = self._latest.get(instance)
        self._latest[instance] = process
        if former is None:
            self._incomplete_until[instance] = self._complete_since + self._window_seconds
        elif former.start == process.start:
            return
        elif former.at < process.at - LAST_REPORT_SECONDS:
            self._incomplete_until[instance] = process.at + self._window_seconds
        since = process.at - self._window_seconds
        ended = [*self._ended.get(instance, ()), *([former] if former else ())]
        self._ended[instance] = [one for one in ended if one.at > since]
        if process.at >= self._incomplete_until[instance]:
            sent = sum((Counter(one.repeats) for one in self._ended[instance]), Counter[str]())
            self._untold.append(_Told(process.start, dict(sent), TOLD_TIMES))
