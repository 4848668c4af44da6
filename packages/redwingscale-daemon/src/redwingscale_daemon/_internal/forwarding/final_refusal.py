"""The last answer to a request that no upstream has served in time."""

from redwingscale_daemon._internal.exceptions import NotSentInTime, Refusal, TimeLimitReached
from redwingscale_daemon._internal.forwarding.attempts import Attempts
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.models.run_state import RunState

# Another instance can serve a caller that asks with a new time limit.
NOT_SENT_RETRY_SECONDS = 0.3
# A full upstream has free slots again within the time of a few requests.
NO_UPSTREAM_RETRY_SECONDS = 0.2


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


def no_upstream_refusal(attempts: Attempts) -> Refusal:
    """Return the refusal of a request for which no upstream is left."""
    if not attempts.certainly_not_run:
        return failure_refusal("no other upstream is left")
    return Refusal(
        503,
        "no_upstream",
        "; ".join(attempts.history) or "no upstream is known",
        retry_after_seconds=NO_UPSTREAM_RETRY_SECONDS,
    )


def failure_refusal(reason: str) -> Refusal:
    """Return the answer to a request that may have run and has no valid answer."""
    return Refusal(502, "upstream_failed", reason, run=RunState.UNKNOWN)


def deliver_failure(call: Call) -> bool:
    """Reply with the failure that an upstream sent earlier; return whether there is one.

    It tells the caller more than a refusal by this instance would.
    """
    failure = call.attempts.failure
    if failure is None or not call.attempts.may_pass_on(failure.status, counted=True):
        return False
    call.reply.send(failure.status, failure.headers, call.request.held.failure)
    return True
