"""Counts the upstreams that may run a request which two instances serve."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager


class SharedRuns:
    """Lets one of the two instances at a time ask further upstreams for a request.

    That is the instance that has taken the request over, until the one that has passed it on
    claims it. Without that, each of them would ask as many upstreams as the route allows.
    The claim comes from another thread than that of the request.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Whether the other instance alone may ask further upstreams.
        self.claimed = False
        self._asks_second = False
        # The possible runs when the request was taken over.
        self._runs_before = 0
        self._claims_by_peer: dict[str, Callable[[], int]] = {}
        self._runs_by_peer: dict[str, int] = {}

    def take_over(self, possible_runs: int) -> None:
        """Note that the request comes from another instance, after ``possible_runs``."""
        self._runs_before = possible_runs

    def claim(self, possible_runs: int) -> int:
        """Ask no further upstream from now on; return how many may run the request here."""
        with self._lock:
            self.claimed = True
            return self.runs_since(possible_runs) + 1 + self._asks_second

    def runs_since(self, possible_runs: int) -> int:
        """Return how many of ``possible_runs`` were added since the request was taken over."""
        return possible_runs - self._runs_before

    @contextmanager
    def asking_second(self) -> Iterator[bool]:
        """Tell whether a second upstream may be asked; it counts until the block ends."""
        with self._lock:
            self._asks_second = not self.claimed
        try:
            yield self._asks_second
        finally:
            self._asks_second = False

    def note_passed_on(self, peer: str, claim: Callable[[], int]) -> None:
        """Note that ``claim`` claims the request at ``peer``, which may ask upstreams for it.

        ``claim`` returns how many upstreams may run it there, 0 if that is not known.
        """
        self._claims_by_peer[peer] = claim

    def claim_at(self, peer: str | None) -> None:
        """Let ``peer``, if the request was passed on to it, ask no further upstream for it."""
        if peer is not None and (claim := self._claims_by_peer.get(peer)) is not None:
            self._runs_by_peer[peer] = claim() or self.running_at(peer)

    def running_at(self, peer: str | None) -> int:
        """Return how many upstreams may run the request at ``peer``, 1 if it has not said so."""
        return 1 if peer is None else self._runs_by_peer.get(peer, 1)

    def take_runs(self, name: str) -> int:
        """Return the same for an attempt that is given up at the upstream or peer ``name``."""
        return self._runs_by_peer.pop(name, 1)
