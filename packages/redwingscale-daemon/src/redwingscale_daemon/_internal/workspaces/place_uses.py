"""One instance's counts of workspaces' use of holders, and the shares that follow from all."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Mapping

from redwingscale_daemon._internal.workspaces.place_messages import PlaceUse

# The leader sends shares four times a second. Without news they are used for this long, and
# fade out over as long again: decisions are then as without shares.
FRESH_SECONDS = 1.0


class PlaceUses:
    """Counts prompt tokens by workspace, and lets through each workspace's share.

    Designed for a deployment in which each instance sees one or two streams a second, too few
    to tell which workspace is beyond its share: the leader tells it from the totals.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._offered: Counter[str] = Counter()
        self._shares: dict[str, float] = {}
        self._received_at = float("-inf")
        self._credit: dict[str, float] = {}

    def note_offered(self, workspace: str, tokens: int) -> None:
        """Count a new request that needs a holder."""
        if workspace:
            with self._lock:
                self._offered[workspace] += tokens

    def drain(self) -> list[PlaceUse]:
        """Return the counts since the previous call."""
        with self._lock:
            offered, self._offered = self._offered, Counter()
        return [PlaceUse(*entry) for entry in sorted(offered.items())]

    def receive(self, shares: Mapping[str, float] | None) -> None:
        """Take the shares of an update of the leader; None if it has none."""
        if shares is None:
            return
        with self._lock:
            self._shares, self._received_at = dict(shares), self._clock()

    def share(self, workspace: str) -> float:
        """Return the fraction of the workspace's requests that are within its share."""
        age = self._clock() - self._received_at
        faded = min(1.0, max(0.0, age / FRESH_SECONDS - 1.0))
        share = self._shares.get(workspace, 1.0)
        return share + (1.0 - share) * faded

    def is_beyond(self, workspace: str) -> bool:
        """Return whether the next request is beyond the share: of many, 1 - `share` are."""
        share = self.share(workspace)
        if share >= 1.0:
            return False
        with self._lock:
            credit = self._credit.get(workspace, 0.5) + share
            within = credit >= 1.0
            self._credit[workspace] = credit - within
        return not within
