"""Whether backpressure allows sending a request to an upstream now."""

from collections.abc import Iterable
from contextlib import AbstractContextManager

from redwingscale_daemon._internal.fleet.brittle_upstreams import BrittleUpstreams
from redwingscale_daemon._internal.fleet.rate_limits import RateLimits
from redwingscale_daemon._internal.fleet.retry_times import RetryTimes


class SendGate:
    """Combines rate limits and the room of brittle upstreams, for all instances, and retry times."""

    def __init__(
        self, rates: RateLimits, retry_times: RetryTimes, brittle: BrittleUpstreams
    ) -> None:
        self._rates = rates
        self._retry_times = retry_times
        self._brittle = brittle

    @property
    def known(self) -> bool:
        """Whether any backpressure is stored; if not, requests skip further checks."""
        return self._rates.known or self._retry_times.known or self._brittle.known

    def may_send(self, upstream_id: str) -> bool:
        """Return whether a request may be sent now, and note that a permit is wanted."""
        return self._is_open(upstream_id) and self._rates.may_send(upstream_id)

    def draw(self, upstream_id: str) -> bool:
        """Use up a permit for one request; return whether the request may be sent."""
        return self._is_open(upstream_id) and self._rates.draw(upstream_id)

    def wait_seconds(self, upstream_ids: Iterable[str]) -> float:
        """Return the seconds until one of the upstreams accepts a further request."""
        return min(map(self._wait_seconds, upstream_ids), default=0.0)

    def retry_seconds(self, upstream_ids: Iterable[str]) -> float:
        """Return the seconds until the retry time of one of the upstreams has passed."""
        return min(map(self._retry_times.remaining, upstream_ids), default=0.0)

    def waiting(self, upstream_ids: Iterable[str]) -> AbstractContextManager[None]:
        """Count a request that waits for a permit for one of the upstreams."""
        return self._rates.waiting(key for key in upstream_ids if self._limited(key))

    def rate_limited(self, upstream_ids: Iterable[str]) -> bool:
        """Return whether one of the upstreams has a rate limit."""
        return any(map(self._limited, upstream_ids))

    def _is_open(self, upstream_id: str) -> bool:
        if self._retry_times.remaining(upstream_id):
            return False
        return self._brittle.has_room(upstream_id)

    def _limited(self, upstream_id: str) -> bool:
        return self._rates.per_second(upstream_id) is not None

    def _wait_seconds(self, upstream_id: str) -> float:
        queue = self._rates.wait_seconds([upstream_id]) if self._limited(upstream_id) else 0.0
        return max(self._retry_times.remaining(upstream_id), queue)
