"""The refusal of a request that no upstream can serve in time."""

from redwingscale_daemon._internal.exceptions import NotSentInTime, Refusal, TimeLimitReached
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.models.run_state import RunState

# Another instance can serve a caller that asks with a new time limit.
NOT_SENT_RETRY_SECONDS = 0.3


def final_refusal(call: Call, code: str, detail: str, retry_after_seconds: float) -> Refusal:
    """Return a 503 if the request has certainly not run, a 502 otherwise.

    A 503 promises that the request has not run, so it must not be used after an
    upstream accepted the request and was lost.
    """
    detail = "; ".join([detail, *call.attempts.history])
    if call.attempts.certainly_not_run:
        return Refusal(503, code, detail, retry_after_seconds=retry_after_seconds)
    return Refusal(502, "upstream_failed", detail, run=RunState.UNKNOWN)


def time_limit_refusal(call: Call, error: TimeLimitReached) -> Refusal:
    """Return a 503 if the request was certainly not sent in time, a 504 otherwise."""
    if isinstance(error, NotSentInTime) and call.attempts.certainly_not_run:
        return Refusal(503, "time_limit", str(error), retry_after_seconds=NOT_SENT_RETRY_SECONDS)
    return Refusal(504, "time_limit", "no answer within the time limit", run=RunState.UNKNOWN)
