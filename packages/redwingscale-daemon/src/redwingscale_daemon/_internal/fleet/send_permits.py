"""Permits of one instance to send to upstreams with a rate limit."""

from collections.abc import Callable
from typing import NamedTuple

# Permits that are not used within this time are void, so that a leader and its successor
# never issue the same ones.
PERMIT_SECONDS = 1.0
# Permits that are in transit for longer are void: a successor waits no longer than this.
MAX_DELAY_SECONDS = 0.5
# After this long without an update about a limit, the leader is lost or unreachable.
FRESH_SECONDS = 1.5
# Fraction of a limit that all instances without a leader use together.
LEADERLESS_FRACTION = 0.5
# Instances that refill permits on their own may each send once at the same moment. This
# many instances, plus this many for each request a second of the limit, stay within the
# excess that upstreams tolerate.
LEADERLESS_INSTANCES = 5
LEADERLESS_INSTANCES_PER_RATE = 4


class _Account(NamedTuple):
    """``level`` permits at ``at``, issued by the leader or refilled at this instance's rate.

    ``received_at`` is when the leader last sent an update about the limit.
    """

    level: float
    at: float
    received_at: float


class SendPermits:
    """Permits by upstream id; not safe for use by several threads at once."""

    def __init__(self, instances: Callable[[], int], clock: Callable[[], float]) -> None:
        self._instances = instances
        self._clock = clock
        self._by_id: dict[str, _Account] = {}

    def take(self, upstream_id: str, permits: int) -> None:
        """Take the permits that the leader has issued, possibly none."""
        now = self._clock()
        before = self._by_id.get(upstream_id)
        if permits or before is None:
            self._by_id[upstream_id] = _Account(float(permits), now, now)
        else:
            self._by_id[upstream_id] = before._replace(received_at=now)

    def left(self, upstream_id: str, per_second: float) -> float:
        """Return how many requests may be sent now."""
        now = self._clock()
        account = self._by_id.get(upstream_id)
        if account is None:
            # No permit has been issued yet: the leader may not know of the limit.
            account = self._by_id[upstream_id] = _Account(0.0, now, now)
        if now - account.received_at <= FRESH_SECONDS:
            return account.level if now - account.at < PERMIT_SECONDS else 0.0
        leaderless_at = account.received_at + FRESH_SECONDS
        if account.at < leaderless_at:
            account = account._replace(level=0.0, at=leaderless_at)
        added = (now - account.at) * self._own_rate(per_second)
        account = account._replace(level=min(1.0, account.level + added), at=now)
        self._by_id[upstream_id] = account
        return account.level

    def draw(self, upstream_id: str, per_second: float) -> bool:
        """Use up one permit; return whether there was one."""
        if self.left(upstream_id, per_second) < 1:
            return False
        account = self._by_id[upstream_id]
        self._by_id[upstream_id] = account._replace(level=account.level - 1)
        return True

    def forget(self, upstream_id: str) -> None:
        """Drop an upstream that is gone."""
        self._by_id.pop(upstream_id, None)

    def _own_rate(self, per_second: float) -> float:
        """Return how many permits a second this instance may use without a leader."""
        instances = max(1, self._instances())
        if instances > LEADERLESS_INSTANCES + LEADERLESS_INSTANCES_PER_RATE * per_second:
            return 0.0
        return per_second * LEADERLESS_FRACTION / instances
