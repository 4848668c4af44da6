"""The final answer to a request that no upstream can take in time."""

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.models.run_state import RunState


def final_refusal(call: Call, code: str, detail: str, retry_after_seconds: float) -> Refusal:
    """Return the final answer: a refusal, or a failure where the request may have run.

    A refusal promises that it has not: a request that an upstream has taken before
    it was lost is none of that kind.
    """
    detail = "; ".join([detail, *call.attempts.history])
    if call.attempts.certainly_not_run:
        return Refusal(503, code, detail, retry_after_seconds=retry_after_seconds)
    return Refusal(502, "upstream_failed", detail, run=RunState.UNKNOWN)
