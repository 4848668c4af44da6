"""Stores the backpressure signalled in answers where sending decisions read it."""

from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.backpressure import Backpressure
from redwingscale_daemon._internal.fleet.brittle_upstreams import BrittleUpstreams
from redwingscale_daemon._internal.fleet.rate_limits import RateLimits
from redwingscale_daemon._internal.fleet.retry_times import RetryTimes
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory


class BackpressureState(NamedTuple):
    """Backpressure of one upstream.

    ``per_second`` is its rate limit, ``leaving_seconds`` the time since an answer or the
    list first said that it is leaving, both None if neither did. ``retry_in`` is the
    number of seconds until it may be sent requests again.
    """

    per_second: float | None
    leaving_seconds: float | None
    retry_in: float


class BackpressureTracker:
    """Takes backpressure from all answers: to callers' requests, own reports and orders.

    State is keyed by upstream id, which changes with each start of the process:
    backpressure from before a restart does not apply to the new process.
    """

    def __init__(
        self,
        directory: UpstreamDirectory,
        rates: RateLimits,
        retry_times: RetryTimes,
        brittle: BrittleUpstreams,
    ) -> None:
        self._directory = directory
        self._rates = rates
        self._retry_times = retry_times
        self._brittle = brittle

    def take(
        self,
        upstream_id: str,
        backpressure: Backpressure,
        source: str,
        sent_at: float | None = None,
    ) -> None:
        """Apply the backpressure of an answer of ``upstream_id``; ignored if it is not listed.

        ``sent_at`` is the monotonic time when the request was sent. Pass it only if the
        answer surely came from the upstream itself: an answer without a limit then ends
        the stored limit.
        """
        if not self._directory.lists(upstream_id):
            return
        self._take_limit(upstream_id, backpressure.per_second, source, sent_at)
        if backpressure.rejections_per_second is not None or sent_at is not None:
            self._brittle.note(upstream_id, backpressure.rejections_per_second)
        if backpressure.rejected and (pause := self._brittle.note_rejected(upstream_id)):
            self._take_retry_after(upstream_id, pause, "brittle")
        if backpressure.leaving:
            self._directory.note_leaving([upstream_id], source)
        if backpressure.retry_after_seconds is not None:
            self._take_retry_after(upstream_id, backpressure.retry_after_seconds, source)

    def state(self, upstream_id: str) -> BackpressureState:
        """Return the current backpressure of ``upstream_id``."""
        return BackpressureState(
            self._rates.per_second(upstream_id),
            self._directory.leaving_seconds(upstream_id),
            self._retry_times.remaining(upstream_id),
        )

    def _take_limit(
        self, upstream_id: str, per_second: float | None, source: str, sent_at: float | None
    ) -> None:
        if per_second is not None:
            self._rates.note_limit(upstream_id, per_second, source)
        elif sent_at is not None:
            self._rates.note_no_limit(upstream_id, sent_at, source)

    def _take_retry_after(self, upstream_id: str, seconds: float, source: str) -> None:
        before = self._retry_times.remaining(upstream_id)
        self._retry_times.note(upstream_id, seconds)
        log_event(
            "upstream_retry_after",
            upstream=upstream_id,
            seconds=seconds,
            before=round(before, 3),
            source=source,
        )
