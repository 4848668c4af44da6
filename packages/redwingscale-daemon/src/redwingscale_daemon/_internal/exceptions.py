"""Errors of the daemon."""

import msgspec
from redwingscale_common.exceptions import RedwingscaleError

from redwingscale_daemon._internal.models.run_state import RunState


class Refusal(RedwingscaleError):
    """The final answer to a request that is refused or has failed.

    ``code`` is the machine-readable kind. The caller may retry after
    ``retry_after_seconds``, None if a retry cannot help.
    """

    def __init__(
        self,
        status: int,
        code: str,
        detail: str,
        *,
        run: RunState = RunState.NOT_RUN,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.status = status
        self.code = code
        self.detail = detail
        self.run = run
        self.retry_after_seconds = retry_after_seconds

    def document(self) -> bytes:
        """Return the problem document (RFC 9457) for the caller."""
        return msgspec.json.encode(
            {
                "type": "about:blank",
                "title": self.code,
                "status": self.status,
                "detail": self.detail,
                "run": self.run,
            }
        )


class UpstreamError(RedwingscaleError):
    """An attempt failed; ``run`` states whether the upstream may have run it."""

    def __init__(self, upstream: str, detail: str, *, run: RunState) -> None:
        super().__init__(f"{upstream}: {detail}")
        self.upstream = upstream
        self.detail = detail
        self.run = run


class StreamBroken(UpstreamError):
    """A stream ended before its terminator, fell silent or was malformed."""


class StreamSilent(StreamBroken):
    """No byte came in time; the connection may be lost while the upstream still runs."""


class AttemptUnknown(UpstreamError):
    """The upstream answers, but does not know the attempt."""


class UpstreamUnreachable(UpstreamError):
    """New connections fail too: the upstream is cut off, or its host is down."""


class UpstreamCrashed(UpstreamError):
    """The upstream's process ended during an attempt."""


class ReportInvalid(RedwingscaleError):
    """An upstream's report is invalid; the upstream is set aside."""


class PlatformError(RedwingscaleError):
    """Base class of the errors of the platform's service."""


class PlatformUnavailable(PlatformError):
    """The platform did not answer: a read has no result, or a write did not start."""


class WriteUnknown(PlatformError):
    """The answer to a write was lost: the write may have taken effect."""


class LeaseLost(RedwingscaleError):
    """The lease holder can no longer prove that its lease is valid."""


class HistoryGone(PlatformError):
    """The changes since the requested version are no longer kept: a full read is needed."""


class EraChanged(HistoryGone):
    """A version of another era was named: it says nothing about the store as it is now."""


class CallerLeft(RedwingscaleError):
    """The caller has disconnected; nobody waits for the answer."""


class ProcessEnds(CallerLeft):
    """This process ends the connection since it stops; its caller may still read an answer."""


class TimeLimitReached(RedwingscaleError):
    """The caller's deadline or the route's time limit has passed."""


class NotSentInTime(TimeLimitReached):
    """The time limit was reached before the request was sent to the chosen upstream."""


class FirstUpstreamResumed(RedwingscaleError):
    """The upstream that was silent has sent bytes while a second one was asked to go on."""


class ResumedBeforeSending(FirstUpstreamResumed):
    """The same, before the second upstream was sent the request."""


class UpstreamSilent(RedwingscaleError):
    """An upstream sent nothing for longer than a healthy one would."""
