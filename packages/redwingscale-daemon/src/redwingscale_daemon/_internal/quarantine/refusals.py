"""The refusals of requests that crash engines, or may do so."""

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.models.run_state import RunState

RETRY_AFTER_SECONDS = 1.0


def quarantine_refusal(fingerprint: str, seconds: float, run: RunState) -> Refusal:
    """Return the final refusal of a request that is quarantined for ``seconds`` more."""
    return Refusal(
        422,
        "quarantined",
        "upstreams died each time that this request ran; it is refused until it expires: "
        f"{fingerprint}",
        run=run,
        retry_after_seconds=seconds,
    )


def deadline_refusal(run: RunState) -> Refusal:
    """Return the refusal of a suspect whose deadline passed before its turn."""
    return Refusal(
        503,
        "suspect",
        "its upstream died, and the deadline passed before it could be run by itself",
        run=run,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
