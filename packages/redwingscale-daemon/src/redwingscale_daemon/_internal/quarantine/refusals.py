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


def part_refusal(part: str, seconds: float, run: RunState) -> Refusal:
    """Return the final refusal of a request with a part that is condemned for ``seconds`` more.

    Any other prompt of the caller is served, and this one nowhere: it need not come again.
    """
    return Refusal(
        422,
        "quarantined",
        f"upstreams died each time that they began a prompt with one of its parts: {part}",
        run=run,
        retry_after_seconds=seconds,
    )


def part_turn_refusal(part: str, run: RunState) -> Refusal:
    """Return the refusal of a request with a suspect part while another one with it runs.

    What that one shows is known when the caller may return.
    """
    return Refusal(
        503,
        "suspect",
        f"upstreams died as they began a prompt with one of its parts, which runs now: {part}",
        run=run,
        retry_after_seconds=RETRY_AFTER_SECONDS,
    )
