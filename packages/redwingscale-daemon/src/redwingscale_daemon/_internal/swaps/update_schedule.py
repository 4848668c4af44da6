"""What the order giver's next news must tell."""

import time
from collections.abc import Iterable, Mapping

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.swaps.messages import ResidencyEntry, StoreUpdate

# News go out when something changes, and at least this often.
UPDATE_SECONDS = 0.25
# All that is held is told this often, for instances whose link was lost for a while.
FULL_RESIDENCY_SECONDS = 2.0
# All that is held is told no more often than this for each instance that hears it: 78
# workers are 10 KB, and to some two hundred instances that join one after the other as
# many messages would fill the giver's link.
FULL_RESIDENCY_SECONDS_PER_INSTANCE = 0.004
# A change is told again for this long: a message may be lost.
RESIDENCY_CHANGE_REPEAT_SECONDS = 1.0

_OtherContent = tuple[frozenset[str], list[Upstream], list[str], int]


class UpdateSchedule:
    """Remembers what was told, so that news between the regular ones hold changes only.

    What 45 workers hold takes 3 KB and changes some thirty times a second, mostly by
    one adapter: told whole each time to 69 instances, that is more than a link of
    10 Mbit/s carries, and requests on that machine waited for seconds.
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
        """Note an instance that knows nothing yet: all that is held is told next."""
        self._full_requested = True

    def residency(
        self,
        resident_by_upstream: Mapping[str, AdaptersByModel | None],
        *,
        periodic: bool,
        instances: int = 0,
    ) -> tuple[list[ResidencyEntry], bool]:
        """Return the entries to tell, and whether they are all there are.

        ``regular`` news are sent in any case, others only where something is new.
        ``instances`` hear them.
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
        """Return whether the news tell something that no earlier ones have told."""
        upstreams = store.upstreams
        other_content = (frozenset(loading), upstreams.changed, upstreams.gone, store.configuration)
        changed = self._has_unsent_change or other_content != self._other_content
        self._other_content, self._has_unsent_change = other_content, False
        return changed

    def periodic_due(self) -> bool:
        """Return whether news are due without a change; they hold the loads then."""
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
            # One whose holdings are unknown now, or that is gone: only all can tell that.
            self._full_requested = True
        self._entries = entries
        self._changed_at = {
            key: at
            for key, at in self._changed_at.items()
            if now - at < RESIDENCY_CHANGE_REPEAT_SECONDS
        } | dict.fromkeys(changed, now)
        self._has_unsent_change = self._has_unsent_change or bool(changed)
