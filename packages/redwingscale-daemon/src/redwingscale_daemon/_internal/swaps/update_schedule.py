"""What the leader's next update must contain."""

import time
from collections.abc import Iterable, Mapping

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.swaps.messages import ResidencyEntry, StoreUpdate

# Interval of the periodic updates; others are sent between them when something changes.
UPDATE_SECONDS = 0.25
# Interval of the full residency, for instances that were disconnected for a while.
FULL_RESIDENCY_SECONDS = 2.0
# Least interval of the full residency, per instance that receives it. The residency of 78
# workers takes 10 KB: sent again to all for each of some two hundred instances that join
# one after the other, it would fill the leader's link.
FULL_RESIDENCY_SECONDS_PER_INSTANCE = 0.004
# A change is repeated in each update for this long, as an update may be lost.
RESIDENCY_CHANGE_REPEAT_SECONDS = 1.0

# What is being loaded, the changed upstreams, the ids of those gone, the configuration version.
_OtherContent = tuple[frozenset[str], list[Upstream], list[str], int]


class UpdateSchedule:
    """Remembers what was sent, so that updates between the periodic ones contain changes only.

    The residency of 45 workers takes 3 KB and changes some thirty times a second, mostly by
    one adapter. Sent in full each time to 69 instances, it exceeds a link of 10 Mbit/s, and
    requests that pass through that machine wait for seconds.
    """

    def __init__(self) -> None:
        self._entries: dict[str, ResidencyEntry] = {}
        self._changed_at: dict[str, float] = {}
        self._full_sent_at = float("-inf")
        self._periodic_at = float("-inf")
        self._full_requested = False
        self._other_content: _OtherContent | None = None
        self._has_unsent_change = False

    def request_full(self) -> None:
        """Request the full residency in the next update, for an instance without any."""
        self._full_requested = True

    def residency(
        self,
        resident_by_upstream: Mapping[str, AdaptersByModel | None],
        *,
        periodic: bool,
        instances: int = 0,
    ) -> tuple[list[ResidencyEntry], bool]:
        """Return the entries of the next update, and whether they are the full residency.

        A ``periodic`` update is sent in any case, another one only if something has changed.
        ``instances`` is the number of instances that receive it.
        """
        now = time.monotonic()
        self._note_changes(resident_by_upstream, now)
        interval_over = now - self._full_sent_at >= instances * FULL_RESIDENCY_SECONDS_PER_INSTANCE
        if (self._full_requested and interval_over) or (
            periodic and now - self._full_sent_at > FULL_RESIDENCY_SECONDS
        ):
            self._has_unsent_change = self._has_unsent_change or self._full_requested
            self._full_requested, self._full_sent_at = False, now
            return list(self._entries.values()), True
        recent = [
            self._entries[key]
            for key, at in self._changed_at.items()
            if now - at < RESIDENCY_CHANGE_REPEAT_SECONDS and key in self._entries
        ]
        return recent, False

    def has_changes(self, loading: Iterable[str], store: StoreUpdate) -> bool:
        """Return whether the update contains anything that no earlier one contained."""
        upstreams = store.upstreams
        other_content = (frozenset(loading), upstreams.changed, upstreams.gone, store.configuration)
        changed = self._has_unsent_change or other_content != self._other_content
        self._other_content, self._has_unsent_change = other_content, False
        return changed

    def periodic_due(self) -> bool:
        """Return whether a periodic update is due, which is sent without a change as well."""
        now = time.monotonic()
        due = now - self._periodic_at >= UPDATE_SECONDS
        if due:
            self._periodic_at = now
        return due

    def _note_changes(
        self, resident_by_upstream: Mapping[str, AdaptersByModel | None], now: float
    ) -> None:
        entries = {
            key: ResidencyEntry(
                key, {name: sorted(adapters) for name, adapters in resident.items()}
            )
            for key, resident in resident_by_upstream.items()
            if resident is not None
        }
        changed = [key for key, entry in entries.items() if self._entries.get(key) != entry]
        if self._entries.keys() - entries.keys():
            # The residency of an upstream is unknown now, or the upstream is gone: only the full
            # residency conveys that, by leaving it out.
            self._full_requested = True
        self._entries = entries
        self._changed_at = {
            key: at
            for key, at in self._changed_at.items()
            if now - at < RESIDENCY_CHANGE_REPEAT_SECONDS
        } | dict.fromkeys(changed, now)
        self._has_unsent_change = self._has_unsent_change or bool(changed)
