"""Whether this instance has lost its own network path to the upstreams."""

import math
import threading
import time
from collections.abc import Callable, Iterable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.path_evidence import Evidence, Failure

# Failures at fewer upstreams may be failures of these upstreams.
DECIDING_UPSTREAMS = 2
# A single answer may get through on a path that loses most packets.
DECIDING_ANSWERS = 2
# Older failures are no evidence: the upstreams may have had no request since.
EVIDENCE_SECONDS = 3.0
# A request without a byte for this long is evidence while no other upstream is heard either.
OVERDUE_SECONDS = 0.5


class OwnPath:
    """Collects evidence from all exchanges with upstreams.

    A failure at one upstream says little about the path. Failures at several of them, with
    no byte from any upstream since the first exchange began, make the path suspect: either all of them are
    lost for everybody, or this instance is cut off. Peers that still hear them decide. If
    none does, the path counts as lost once probes of several upstreams have failed.
    """

    def __init__(
        self,
        known_upstreams: Callable[[], int] = lambda: DECIDING_UPSTREAMS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._known_upstreams = known_upstreams
        self._clock = clock
        self._lock = threading.Lock()
        # Monotonic time of the last byte from any upstream. Set for each event of a stream.
        self.heard_at = float("-inf")
        self._heard_at_by_id: dict[str, float] = {}
        self._failures_by_id: dict[str, Failure] = {}
        self._suspected = False
        self._suspected_at = float("-inf")
        # Monotonic time of the first failure of a path that is lost, None while it is not.
        self._lost_since: float | None = None
        self._heard_since_loss: list[str] = []
        # Whether peers reach upstreams while the path is lost.
        self._reached_by_peers = False
        self._on_suspected: list[Callable[[], None]] = []
        self._on_lost: list[Callable[[], None]] = []
        self._on_restored: list[Callable[[], None]] = []

    def on_suspected(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the path becomes suspect."""
        self._on_suspected.append(listener)

    def on_lost(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the path is lost."""
        self._on_lost.append(listener)

    def on_restored(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when a lost path works again."""
        self._on_restored.append(listener)

    @property
    def lost(self) -> bool:
        """Whether this instance reaches no upstream."""
        return self._lost_since is not None

    @property
    def cut_off(self) -> bool:
        """Whether this instance reaches no upstream while others do."""
        return self.lost and self._reached_by_peers

    @property
    def lost_since(self) -> float | None:
        """The monotonic time of the first failure on a path that is lost, None if it is not."""
        return self._lost_since

    @property
    def doubtful(self) -> bool:
        """Whether the path is lost or suspect: failures say nothing about upstreams."""
        return self.lost or self.evidence() is not None

    def note_heard(self, upstream_id: str) -> None:
        """Note the head of an answer."""
        self.heard_at = self._heard_at_by_id[upstream_id] = self._clock()
        if self._lost_since is not None:
            self._note_heard_while_lost(upstream_id)
        elif self._suspected:
            self.evidence()

    def note_event(self, upstream_id: str, at: float) -> None:
        """Note an event of a stream at the monotonic time ``at``."""
        self.heard_at = at
        if self._lost_since is not None:
            # A path that carries a stream works, also if no new request is sent on it.
            self._note_heard_while_lost(upstream_id)

    def note_failed(
        self,
        upstream_id: str,
        reason: str,
        began_at: float | None = None,
        *,
        silent: bool = False,
        refused: bool = False,
    ) -> None:
        """Note a new connection that was not accepted, or broke before its first byte.

        It began at the monotonic time ``began_at``, None for now: a byte from any upstream
        after that shows that the path worked. ``silent``: no byte has come in time. ``refused``:
        the host of the upstream has refused it, or closed it at once.
        """
        now = self._clock()
        began_at = now if began_at is None else began_at
        with self._lock:
            if self._lost_since is not None:
                return
            current = self._current(now)
            if began_at <= max(self.heard_at, now - EVIDENCE_SECONDS):
                return
            before = current.get(upstream_id, Failure(began_at, silent, refused))
            current[upstream_id] = Failure(
                before.at, before.silent and silent, before.refused and refused
            )
            self._failures_by_id = current
            begins = not self._suspected and len(current) >= self._deciding()
            if begins:
                self._suspected, self._suspected_at = True, now
        if not begins:
            return
        log_event(
            "path_suspected",
            level="WARNING",
            upstreams=",".join(sorted(current)),
            reason=reason,
            unheard_for=round(now - self.heard_at, 3),
        )
        _call_all(self._on_suspected)

    def note_overdue(self, upstream_id: str, began_at: float) -> bool:
        """Note a wait for a byte since ``began_at``, monotonic, longer than `OVERDUE_SECONDS`.

        Returns whether the path is lost while others reach upstreams. An upstream that
        nobody hears may go on after a second.
        """
        if self._lost_since is None and self._clock() - self.heard_at > OVERDUE_SECONDS:
            # The path worked until the last byte of any upstream.
            since = max(began_at, math.nextafter(self.heard_at, math.inf))
            self.note_failed(upstream_id, "overdue", since, silent=True)
        return self.cut_off

    def evidence(self) -> Evidence | None:
        """Return the evidence while the path is suspect, None once an upstream is heard."""
        if not self._suspected:
            return None
        with self._lock:
            if not self._suspected:
                return None
            current = self._failures_by_id = self._current(self._clock())
            if current:
                failed = sum(not one.silent for one in current.values())
                not_refused = sum(not one.refused for one in current.values())
                return Evidence(
                    frozenset(current),
                    min(one.at for one in current.values()),
                    self._suspected_at,
                    silent=failed < self._deciding(),
                    refused=not_refused < self._deciding(),
                )
            self._suspected = False
        log_event("path_not_suspected", unheard_for=round(self._clock() - self.heard_at, 3))
        return None

    def confirm_loss(self, evidence: Evidence, peers: Iterable[str]) -> bool:
        """Take the path as lost; ``peers`` reach upstreams that this instance does not.

        Returns False if an upstream was heard meanwhile.
        """
        peers = sorted(peers)
        with self._lock:
            if self._lost_since is not None or self.heard_at > evidence.since:
                return False
            self._reached_by_peers = bool(peers)
            self._lost_since = evidence.since
            self._heard_since_loss = []
            self._suspected = False
            self._failures_by_id = {}
        log_event(
            "path_lost",
            level="WARNING",
            upstreams=",".join(sorted(evidence.upstreams)),
            reached_by=",".join(peers) or "-",
            unheard_for=round(self._clock() - self.heard_at, 3),
            known_after=round(self._clock() - evidence.since, 3),
        )
        _call_all(self._on_lost)
        return True

    def note_reached_by_peers(self) -> None:
        """Note that peers reach upstreams, after none did when the path was lost."""
        with self._lock:
            if self._lost_since is None or self._reached_by_peers:
                return
            self._reached_by_peers = True
        log_event("path_lost_here_only", level="WARNING")
        _call_all(self._on_lost)

    def heard_since(self, upstream_ids: Iterable[str], since: float) -> list[str]:
        """Return those of ``upstream_ids`` that have answered since the monotonic ``since``."""
        heard = self._heard_at_by_id
        return [key for key in upstream_ids if heard.get(key, float("-inf")) > since]

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._failures_by_id.pop(key, None)
                self._heard_at_by_id.pop(key, None)

    def _note_heard_while_lost(self, upstream_id: str) -> None:
        with self._lock:
            self._heard_since_loss.append(upstream_id)
            since = self._lost_since
            if since is None or len(self._heard_since_loss) < DECIDING_ANSWERS:
                return
            self._lost_since = None
        log_event(
            "path_restored",
            upstreams=",".join(sorted(self._heard_since_loss)),
            lost_for=round(self._clock() - since, 3),
        )
        _call_all(self._on_restored)

    def _deciding(self) -> int:
        return max(1, min(DECIDING_UPSTREAMS, self._known_upstreams()))

    def _current(self, now: float) -> dict[str, Failure]:
        since = max(self.heard_at, now - EVIDENCE_SECONDS)
        return {key: one for key, one in self._failures_by_id.items() if one.at > since}


def _call_all(listeners: Iterable[Callable[[], None]]) -> None:
    for listener in listeners:
        listener()
