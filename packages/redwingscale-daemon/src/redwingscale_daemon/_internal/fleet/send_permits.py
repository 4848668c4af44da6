"""Permits of one instance to send to upstreams with a rate limit."""

from collections.abc import Callable
from typing import NamedTuple

# Permits that are not used by then are void, so that two order givers never issue the
# same ones.
PERMIT_SECONDS = 1.0
# Permits that spend longer on their way are void: another order giver waits no longer.
MAX_DELAY_SECONDS = 0.5
# Without news of a limit for this long, the order giver has gone or is not heard.
FRESH_SECONDS = 1.5
# Of a limit, what all instances use that hear no order giver.
LEADERLESS_FRACTION = 0.5
# Instances that use a part of their own may each send once at the same moment. So many
# of them, and so many for each request a second, are within the excess that upstreams
# bear.
LEADERLESS_INSTANCES = 5
LEADERLESS_INSTANCES_PER_RATE = 4


class _Account(NamedTuple):
    """``level`` permits at ``at``, issued ones, or refilled by this instance's own part."""

    level: float
    at: float
    heard_at: float


class SendPermits:
    """Counts by upstream id; not to be used by two threads at once."""

    def __init__(self, instances: Callable[[], int], clock: Callable[[], float]) -> None:
        self._instances = instances
        self._clock = clock
        self._by_id: dict[str, _Account] = {}

    def take(self, upstream_id: str, permits: int) -> None:
        """Take what the order giver has issued, also where it is nothing."""
        now = self._clock()
        before = self._by_id.get(upstream_id)
        if permits or before is None:
            self._by_id[upstream_id] = _Account(float(permits), now, now)
        else:
            self._by_id[upstream_id] = before._replace(heard_at=now)

    def left(self, upstream_id: str, per_second: float) -> float:
        """Return how many may be sent now."""
        now = self._clock()
        account = self._by_id.get(upstream_id)
        if account is None:
            # No permit has been issued yet: the order giver may not have heard of the limit.
            account = self._by_id[upstream_id] = _Account(0.0, now, now)
        if now - account.heard_at <= FRESH_SECONDS:
            return account.level if now - account.at < PERMIT_SECONDS else 0.0
        begun_at = account.heard_at + FRESH_SECONDS
        if account.at < begun_at:
            account = account._replace(level=0.0, at=begun_at)
        added = (now - account.at) * self._own_rate(per_second)
        account = account._replace(level=min(1.0, account.level + added), at=now)
        self._by_id[upstream_id] = account
        return account.level

    def draw(self, upstream_id: str, per_second: float) -> bool:
        """Use one up; return whether there was one."""
        if self.left(upstream_id, per_second) < 1:
            return False
        account = self._by_id[upstream_id]
        self._by_id[upstream_id] = account._replace(level=account.level - 1)
        return True

    def forget(self, upstream_id: str) -> None:
        """Drop an upstream that is gone."""
        self._by_id.pop(upstream_id, None)

    def _own_rate(self, per_second: float) -> float:
        """Return this instance's part of a limit without an order giver."""
        instances = max(1, self._instances())
        if instances > LEADERLESS_INSTANCES + LEADERLESS_INSTANCES_PER_RATE * per_second:
            return 0.0
        return per_second * LEADERLESS_FRACTION / instances
