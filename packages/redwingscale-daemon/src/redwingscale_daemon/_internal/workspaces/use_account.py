"""One instance's account of a workspace's use."""

from typing import NamedTuple

from redwingscale_daemon._internal.utils.decaying_rate import DecayingRate
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry, GrantEntry

OFFERED_HALF_LIFE_SECONDS = 0.7
# A share smaller than one request accumulates up to the cost of this many requests.
SHARE_BURST_REQUESTS = 2
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 10.0
# Units a second; demand below this is not announced.
IDLE_UNITS_PER_SECOND = 1.0


class Allowance(NamedTuple):
    """The rate and the burst, in units, that this instance may admit for a workspace.

    If ``is_share``, they are this instance's share, which no other instance uses. Otherwise
    they are the whole limit, and the instance admits at most ``until_update`` units between
    two updates. ``initial`` is the level of a workspace without an account here, which may
    have used its burst at other instances.
    """

    per_second: float
    burst: float
    is_share: bool
    initial: float
    until_update: float = 0.0


class UseAccount:
    """A token bucket: ``level`` units can be admitted now; a negative level refills first."""

    def __init__(self, now: float) -> None:
        # The demand in units a second, whether admitted or refused.
        self.offered = DecayingRate(OFFERED_HALF_LIFE_SECONDS, at=now)
        self.level: float | None = None
        self.admitted_since_update = 0.0
        self.grant: GrantEntry | None = None
        # This instance's fraction of the demand of all instances, as of the last grant.
        self.share: float | None = None
        self._used = 0.0
        self._sent_used = 0.0
        self._sent_offered = 0.0
        self._level_at = now
        self._was_share = False
        self._received_at = float("-inf")
        # When the level has refilled enough for all retries that were scheduled.
        self._retries_until = now

    def reset_after_update(self, received_at: float) -> None:
        """Reset ``admitted_since_update`` if an update came since the last request."""
        if self._received_at < received_at:
            self._received_at, self.admitted_since_update = received_at, 0.0

    def refill(self, allowance: Allowance, cost: float, now: float) -> float:
        """Refill the level up to ``now`` and return it.

        A share may fill up to the cost of `SHARE_BURST_REQUESTS` requests.
        """
        if self.level is None:
            self.level = allowance.initial
        if allowance.is_share and not self._was_share:
            # What was admitted since the last update counts against the share.
            self.level = min(self.level, allowance.burst - self.admitted_since_update)
        self._was_share = allowance.is_share
        least = cost * SHARE_BURST_REQUESTS if allowance.is_share else 0.0
        added = allowance.per_second * max(0.0, now - self._level_at)
        self.level = min(max(allowance.burst, least), self.level + added)
        self._level_at = now
        return self.level

    def count_admitted(self, cost: float) -> None:
        """Count units as admitted; a negative ``cost`` is a refund."""
        self._used += cost
        self.admitted_since_update += cost

    def refund(self, cost: float) -> None:
        """Refund the units of a request that has not run."""
        self.count_admitted(-cost)
        self.level = (self.level or 0.0) + cost

    def take_grant(self, grant: GrantEntry) -> None:
        """Store a grant of the leader, and the share that follows from it."""
        self.grant = grant
        self.share = fraction_of(self._sent_offered, grant.offered)

    def make_entry(self, name: str, now: float, *, always: bool) -> DrawnEntry | None:
        """Return the entry for the next update.

        Returns None if there was no use or demand since the last entry, unless ``always``.
        """
        used = max(self._sent_used, self._used)
        offered = round(self.offered.now(now), 1)
        idle = offered < IDLE_UNITS_PER_SECOND and self._sent_offered < IDLE_UNITS_PER_SECOND
        if used == self._sent_used and idle and not always:
            return None
        self._sent_used, self._sent_offered = used, offered
        return DrawnEntry(name, offered, round(used, 1))

    def schedule_retry(self, cost: float, per_second: float, now: float) -> float:
        """Return the retry-after seconds of a refused request, and reserve its units.

        Each refused request gets a later time than the one before: with the same time for
        all, they would retry at the same moment and all but one be refused again.
        """
        if per_second <= 0:
            return MAX_RETRY_AFTER_SECONDS
        begin = max(self._retries_until, now - (self.level or 0.0) / per_second)
        self._retries_until = min(begin + cost / per_second, now + MAX_RETRY_AFTER_SECONDS)
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, begin - now))


def fraction_of(own: float, total: float) -> float:
    """Return ``own`` as a fraction of ``total``, at most 1, and 0 if ``total`` is 0."""
    return min(1.0, own / total) if total > 0 else 0.0
