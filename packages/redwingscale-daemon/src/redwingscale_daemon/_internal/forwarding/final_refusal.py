"""The refusal of a request that no upstream can serve in time."""

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.models.run_state import RunState


def final_refusal(call: Call, code: str, detail: str, retry_after_seconds: float) -> Refusal:
    """Return a 503 if the request has certainly not run, a 502 otherwise.

    A 503 promises that the request has not run, so it must not be used after an
    upstream accepted the request and was lost.
    """
    detail = "; ".join([detail, *call.attempts.history])
    if call.attempts.certainly_not_run:
        return Refusal(503, code, detail, retry_after_seconds=retry_after_seconds)
    return Refusal(502, "upstream_failed", detail, run=RunState.UNKNOWN)
