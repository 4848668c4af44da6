"""What one instance may send to upstreams that have named a rate."""

from collections.abc import Callable
from typing import NamedTuple

# The order giver lends anew four times a second; what it has lent counts there for as
# long, so that two order givers do not lend the same.
LENT_SECONDS = 1.0
# Without news of an upstream's rate for this long, the order giver has gone or is not
# heard.
FRESH_SECONDS = 1.5
# Of the rate, what all instances use that hear no order giver.
UNTOLD_PART = 0.5
# Instances that use a part of their own may each send once at the same moment. So many
# of them, and so many for each request a second, are within the excess that upstreams
# bear.
UNTOLD_INSTANCES = 5
UNTOLD_INSTANCES_PER_RATE = 4


class _Account(NamedTuple):
    """``level`` sendings at ``at``, lent ones, or refilled by a part of this instance's own."""

    level: float
    at: float
    heard_at: float


class LentSendings:
    """Counts by upstream id; not to be used by two threads at once."""

    def __init__(self, instances: Callable[[], int], clock: Callable[[], float]) -> None:
        self._instances = instances
        self._clock = clock
        self._by_id: dict[str, _Account] = {}

    def take(self, upstream_id: str, sendings: int) -> None:
        """Take what the order giver has lent, also where it is nothing."""
        now = self._clock()
        before = self._by_id.get(upstream_id)
        if sendings or before is None:
            self._by_id[upstream_id] = _Account(float(sendings), now, now)
        else:
            self._by_id[upstream_id] = before._replace(heard_at=now)

    def left(self, upstream_id: str, per_second: float) -> float:
        """Return how many may be sent now."""
        now = self._clock()
        account = self._by_id.get(upstream_id)
        if account is None:
            # Nothing is lent yet, and the order giver may not have heard of the rate.
            account = self._by_id[upstream_id] = _Account(0.0, now, now)
        if now - account.heard_at <= FRESH_SECONDS:
            return account.level if now - account.at < LENT_SECONDS else 0.0
        begun_at = account.heard_at + FRESH_SECONDS
        if account.at < begun_at:
            account = account._replace(level=0.0, at=begun_at)
        added = (now - account.at) * self._own_part(per_second)
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

    def _own_part(self, per_second: float) -> float:
        """Return this instance's part of a rate without an order giver."""
        instances = max(1, self._instances())
        if instances > UNTOLD_INSTANCES + UNTOLD_INSTANCES_PER_RATE * per_second:
            return 0.0
        return per_second * UNTOLD_PART / instances
