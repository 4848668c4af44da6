"""Whether a request can still be answered before the instance stops."""

import time
from collections.abc import Callable

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests
from redwingscale_daemon._internal.lifecycle.run_times import RunTimes
from redwingscale_daemon._internal.routes.route import Route

STOPPING = "stopping"
STOPPING_DETAIL = "the instance stops before the request would end"
# Another instance can serve the request at once.
STOPPING_RETRY_SECONDS = 0.05
# Time for the last bytes of an answer to reach the caller.
DELIVERY_SECONDS = 0.3
# A request may take longer than others of its route took lately.
LONGEST_FACTOR = 1.5


class StopRule:
    """Decides when a request is read and before each of its sendings.

    Until the port closes all requests are taken: callers are sent here until then, and the
    grace period is meant for them. Later ones, and later sendings, must end before the process.
    """

    def __init__(
        self,
        open_requests: OpenRequests,
        run_times: RunTimes,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._open_requests = open_requests
        self._run_times = run_times
        self._clock = clock

    def can_end(self, route: Route, limit_seconds: float) -> bool:
        """Return whether a request that is sent now ends before the process does.

        It ends within ``limit_seconds``, its deadline. One that may be repeated, or resumed by
        its caller, is expected to take as long as others did lately.
        """
        now = self._clock()
        if now < self._open_requests.closes_at:
            return True
        seconds = limit_seconds
        if route.repeatable and (longest := self._run_times.longest(route.name)) is not None:
            seconds = min(seconds, longest * LONGEST_FACTOR)
        return seconds + DELIVERY_SECONDS <= self._open_requests.ends_at - now


def unread_refusal() -> Refusal:
    """Return the refusal of a request that was not read whole."""
    return Refusal(503, STOPPING, STOPPING_DETAIL, retry_after_seconds=STOPPING_RETRY_SECONDS)
