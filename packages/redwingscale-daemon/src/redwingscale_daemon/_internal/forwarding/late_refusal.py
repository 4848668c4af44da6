"""Refuses a request whose first event would probably come too late."""

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.first_event_estimate import FirstEventEstimate

# A request is refused if its caller has probably left before its first event.
LEAST_CHANCE = 0.5
# A late answer still has a third to a half of its value: a request is refused for the sake
# of others only if everybody behind the same queue is late with a probability of over 9 in 10.
LEAST_QUEUE_CHANCE = 0.1
MILLISECONDS_PER_SECOND = 1000.0


def late_refusal(
    estimate: FirstEventEstimate,
    max_wait_seconds: float,
    target_seconds: float,
    least_retry_seconds: float,
) -> Refusal | None:
    """Return a refusal if the holder of ``estimate`` would be too late, else None.

    Too late is a first event after ``max_wait_seconds``, when the caller has disconnected.
    With a queue that takes longer than ``target_seconds``, the latency target, everybody
    behind it is late. Designed for a load that holds some seconds of prompts for each worker,
    where estimates are off by a factor of two.
    """
    chance = estimate.chance_by(max_wait_seconds)
    queue_chance = estimate.queue_chance_by(target_seconds)
    if chance >= LEAST_CHANCE and queue_chance >= LEAST_QUEUE_CHANCE:
        return None
    expected = estimate.expected_ms / MILLISECONDS_PER_SECOND
    queue = estimate.queue_ms / MILLISECONDS_PER_SECOND
    excess = max(queue - target_seconds, expected - max_wait_seconds)
    return Refusal(
        503,
        "overloaded",
        f"{estimate.upstream_id} would begin in {expected:.2f} s behind {queue:.2f} s of others; "
        f"the chance is {chance:.2f} to begin within {max_wait_seconds:.2f} s and "
        f"{queue_chance:.2f} that the others take {target_seconds:.2f} s",
        retry_after_seconds=max(least_retry_seconds, excess),
    )
