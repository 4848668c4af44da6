"""Whether this instance has lost its own network path to the upstreams."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

# Failures at fewer upstreams may be failures of these upstreams.
SUSPECT_UPSTREAMS = 2
# Older failures are no evidence: the upstreams may have had no request since.
EVIDENCE_SECONDS = 3.0
# A request without a byte for this long is evidence while no other upstream is heard either.
OVERDUE_SECONDS = 0.5


class Evidence(NamedTuple):
    """Exchanges that failed while no upstream was heard; ``since`` is the first one's time.

    ``silent`` if each of them only got no byte in time.
    """

    upstreams: frozenset[str]
    since: float
    silent: bool


class _Failure(NamedTuple):
    at: float
    silent: bool


class OwnPath:
    """Collects evidence from all exchanges with upstreams.

    A failure at one upstream says little about the path. Failures at several of them, with
    no byte from any upstream since the first, make the path suspect: either all of them are
    lost for everybody, or this instance is cut off.
    """

    def __init__(
        self,
        known_upstreams: Callable[[], int] = lambda: SUSPECT_UPSTREAMS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._known_upstreams = known_upstreams
        self._clock = clock
        self._lock = threading.Lock()
        # Monotonic time of the last byte from any upstream. Set for each event of a stream.
        self.heard_at = float("-inf")
        self._heard_at_by_id: dict[str, float] = {}
        self._failures_by_id: dict[str, _Failure] = {}
        self._suspected = False

    @property
    def suspected(self) -> bool:
        """Whether exchanges with several upstreams have failed and none has been heard since."""
        return self._suspected and self.evidence() is not None

    def note_heard(self, upstream_id: str) -> None:
        """Note the head of an answer."""
        self.heard_at = self._heard_at_by_id[upstream_id] = self._clock()
        if self._suspected:
            self.evidence()

    def note_failed(self, upstream_id: str, reason: str, *, silent: bool = False) -> None:
        """Note a new connection that was not accepted, or broke before its first byte.

        ``silent``: no byte has come within `OVERDUE_SECONDS`.
        """
        now = self._clock()
        with self._lock:
            current = self._current(now)
            before = current.get(upstream_id, _Failure(now, silent))
            current[upstream_id] = _Failure(before.at, before.silent and silent)
            self._failures_by_id = current
            needed = max(1, min(SUSPECT_UPSTREAMS, self._known_upstreams()))
            begins = not self._suspected and len(current) >= needed
            self._suspected = self._suspected or begins
        if begins:
            log_event(
                "path_suspected",
                level="WARNING",
                upstreams=",".join(sorted(current)),
                reason=reason,
                unheard_for=round(now - self.heard_at, 3),
            )

    def evidence(self) -> Evidence | None:
        """Return the evidence while the path is suspect, None once an upstream is heard."""
        with self._lock:
            if not self._suspected:
                return None
            current = self._failures_by_id = self._current(self._clock())
            if current:
                return Evidence(
                    frozenset(current),
                    min(one.at for one in current.values()),
                    all(one.silent for one in current.values()),
                )
            self._suspected = False
        log_event("path_not_suspected", unheard_for=round(self._clock() - self.heard_at, 3))
        return None

    def heard_since(self, upstream_ids: frozenset[str], since: float) -> list[str]:
        """Return those of ``upstream_ids`` that have answered since the monotonic ``since``."""
        heard = self._heard_at_by_id
        return [key for key in upstream_ids if heard.get(key, float("-inf")) > since]

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._failures_by_id.pop(key, None)
                self._heard_at_by_id.pop(key, None)

    def _current(self, now: float) -> dict[str, _Failure]:
        since = max(self.heard_at, now - EVIDENCE_SECONDS)
        return {key: one for key, one in self._failures_by_id.items() if one.at > since}
