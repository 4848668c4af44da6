"""How long a request may wait for a holder, and whether the queue at one is too long."""

import math
import time

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.late_refusal import late_refusal

# Time that a waiting request leaves its upstream to read the prompt.
MIN_SERVICE_SECONDS = 0.25
OVERLOADED_RETRY_SECONDS = 1.0
# A request is refused if the queue before it exceeds this many latency targets.
MAX_QUEUE_TARGETS = 2.0
MILLISECONDS_PER_SECOND = 1000.0


def overload_refusal(call: Call, found: Candidate) -> Refusal | None:
    """Return a refusal if ``found`` would send the first event too late, else None.

    A request that waits behind a queue too long for its time limit also delays those
    behind it, and all of them are late; refused, it costs nothing and is retried when
    the queue is shorter. The time to read its own prompt does not count as queue:
    otherwise the largest requests would be refused most often. A request that was
    already sent to an upstream is not refused here.
    """
    begun = call.attempts.binding.begun
    longest = math.inf if begun else call.route.latency_target_seconds * MAX_QUEUE_TARGETS
    queue, expected = (
        found.queue_ms / MILLISECONDS_PER_SECOND,
        found.expected_ms / MILLISECONDS_PER_SECOND,
    )
    max_wait = max_wait_seconds(call)
    if found.estimate is not None and not call.attempts.count:
        # A returning request has waited already, and a stream that is taken up has begun: they
        # are refused only if their caller would leave.
        waits = call.attempts.returning or call.attempts.binding.begun
        target = math.inf if waits else call.route.latency_target_seconds
        return late_refusal(found.estimate, max_wait, target, OVERLOADED_RETRY_SECONDS)
    excess = max(queue - longest, expected - max_wait)
    if excess <= 0 or call.attempts.count:
        return None
    return Refusal(
        503,
        "overloaded",
        f"{found.upstream.id} would begin in {expected:.2f} s behind {queue:.2f} s of others; "
        f"{longest:.2f} s of them and {max_wait:.2f} s in all are worth waiting",
        retry_after_seconds=max(OVERLOADED_RETRY_SECONDS, excess),
    )


def max_wait_seconds(call: Call) -> float:
    """Return the seconds that the request can still wait for an upstream.

    Leaves the upstream `MIN_SERVICE_SECONDS`. Callers of a stream disconnect long
    before their deadline if no event arrives; this is counted from the arrival of the
    request or from the last event.
    """
    since = call.attempts.last_event_at or call.request.arrived_at
    next_event = since + call.route.first_event_seconds - time.monotonic()
    return min(call.watch.remaining(), next_event) - MIN_SERVICE_SECONDS
