"""Errors of the daemon."""

import msgspec
from redwingscale_common.exceptions import RedwingscaleError

from redwingscale_daemon._internal.models.run_state import RunState


class Refusal(RedwingscaleError):
    """The final answer to a request that the system has given up on.

    ``code`` is the machine-readable kind; ``retry_after_seconds`` tells the
    caller when to come back, None when coming back cannot help.
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
        """Return the problem document (RFC 9457) that the caller gets."""
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
    """An attempt failed; ``run`` tells whether the upstream can have acted on it."""

    def __init__(self, upstream: str, detail: str, *, run: RunState) -> None:
        super().__init__(f"{upstream}: {detail}")
        self.upstream = upstream
        self.detail = detail
        self.run = run


class StreamBroken(UpstreamError):
    """A stream ended before its terminator, went silent or was not well-formed."""


class StreamSilent(StreamBroken):
    """No byte came within the bound; the upstream may be alive behind a lost connection."""


class AttemptUnknown(UpstreamError):
    """The upstream answers, but knows nothing of the attempt."""


class UpstreamUnreachable(UpstreamError):
    """New connections to the upstream are not answered either: cut off, or its host is gone."""


class UpstreamCrashed(UpstreamError):
    """The upstream's process ended under a running attempt."""


class ReportInvalid(RedwingscaleError):
    """An upstream's report is nonsense; the upstream is set aside."""


class PlatformError(RedwingscaleError):
    """Root of the errors of the platform's service."""


class PlatformUnavailable(PlatformError):
    """The platform did not answer; a read has no result, a write did not start."""


class WriteUnknown(PlatformError):
    """The reply to a write was lost: it may have taken effect."""


class LeaseLost(RedwingscaleError):
    """The holder can no longer show that its lease is valid."""


class HistoryGone(PlatformError):
    """The changes since the version asked for are no longer kept: read everything."""


class CallerLeft(RedwingscaleError):
    """The caller has closed its connection; nobody waits for the answer."""


class TimeLimitReached(RedwingscaleError):
    """The caller's deadline or the route's time limit has come."""


class UpstreamSilent(RedwingscaleError):
    """An upstream sent nothing for longer than a sound one would."""
