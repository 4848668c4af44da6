"""What one instance knows of a workspace's use."""

from typing import NamedTuple

from redwingscale_daemon._internal.utils.fading_rate import FadingRate
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry, GrantEntry

OFFERED_HALF_SECONDS = 0.7
# Parts that are smaller than a request are saved up for so many of them.
SHARE_BURST_REQUESTS = 2
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 10.0
# Units a second that are not worth telling.
IDLE_UNITS_PER_SECOND = 1.0


class Allowance(NamedTuple):
    """Units a second, and units at once, that may be let in here.

    ``shared`` ones are this instance's part, which others do not use; of others it may let
    in ``until_update`` units until it hears of the rest. A workspace that is new here may have
    used its burst elsewhere: it has ``first`` units at once.
    """

    per_second: float
    burst: float
    is_share: bool
    initial: float
    until_update: float = 0.0


class UseAccount:
    """``level`` may be let in at once; below 0 it is made up for first."""

    def __init__(self, now: float) -> None:
        self.offered = FadingRate(OFFERED_HALF_SECONDS, at=now)
        self.level: float | None = None
        self.admitted_since_update = 0.0
        self.grant: GrantEntry | None = None
        # This instance's part of all that was offered when it last heard.
        self.share: float | None = None
        self._used = 0.0
        self._sent_used = 0.0
        self._sent_offered = 0.0
        self._level_at = now
        self._was_share = False
        self._received_at = float("-inf")
        # When what refused requests were told to come back for has refilled.
        self._retries_until = now

    def reset_after_update(self, received_at: float) -> None:
        """Begin to count ``admitted_since_update`` anew if there were news since the last request."""
        if self._received_at < received_at:
            self._received_at, self.admitted_since_update = received_at, 0.0

    def refill(self, allowance: Allowance, cost: float, now: float) -> float:
        """Refill the level up to now, and return it; a part may fill up to some requests."""
        if self.level is None:
            self.level = allowance.initial
        if allowance.is_share and not self._was_share:
            # What was let in since the last news is taken off the part.
            self.level = min(self.level, allowance.burst - self.admitted_since_update)
        self._was_share = allowance.is_share
        least = cost * SHARE_BURST_REQUESTS if allowance.is_share else 0.0
        added = allowance.per_second * max(0.0, now - self._level_at)
        self.level = min(max(allowance.burst, least), self.level + added)
        self._level_at = now
        return self.level

    def count_admitted(self, cost: float) -> None:
        """Count what was let in; below 0 for what is given back."""
        self._used += cost
        self.admitted_since_update += cost

    def refund(self, cost: float) -> None:
        """Undo what a request has drawn that has not run."""
        self.count_admitted(-cost)
        self.level = (self.level or 0.0) + cost

    def take_grant(self, grant: GrantEntry) -> None:
        """Take what the order giver grants."""
        self.grant = grant
        self.share = fraction_of(self._sent_offered, grant.offered)

    def make_entry(self, name: str, now: float, *, always: bool) -> DrawnEntry | None:
        """Return what the order giver is told, None if nothing has changed."""
        used = max(self._sent_used, self._used)
        offered = round(self.offered.now(now), 1)
        idle = offered < IDLE_UNITS_PER_SECOND and self._sent_offered < IDLE_UNITS_PER_SECOND
        if used == self._sent_used and idle and not always:
            return None
        self._sent_used, self._sent_offered = used, offered
        return DrawnEntry(name, offered, round(used, 1))

    def schedule_retry(self, cost: float, per_second: float, now: float) -> float:
        """Return in how many seconds a refused request finds room, and keep that room for it.

        Told the time at which there is room for one, all that were refused would come
        back at the same moment, and be refused again.
        """
        if per_second <= 0:
            return MAX_RETRY_AFTER_SECONDS
        begin = max(self._retries_until, now - (self.level or 0.0) / per_second)
        self._retries_until = min(begin + cost / per_second, now + MAX_RETRY_AFTER_SECONDS)
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, begin - now))


def fraction_of(own: float, total: float) -> float:
    """Return the part that ``own`` is of ``total``, 0 of nothing."""
    return min(1.0, own / total) if total > 0 else 0.0
