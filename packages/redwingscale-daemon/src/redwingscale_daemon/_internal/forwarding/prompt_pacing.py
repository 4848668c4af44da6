"""Holds a prompt that would break streams, while its latency target leaves room."""

import time
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.forwarding.call import Call

# How often a held prompt is compared with the load of its holders.
RECHECK_SECONDS = 0.03
# Streams that are expected to break, from which on a prompt is held.
MIN_BROKEN = 0.3
# Fraction of the latency target within which a prompt must be expected to begin: the
# expected time is wrong by a factor of two at times.
TARGET_FRACTION = 0.6
# The streams of the longest outputs end within some seconds, and others begin. A longer
# wait would help none of them, and uses a thread.
MAX_HOLD_SECONDS = 2.0
MILLISECONDS_PER_SECOND = 1000.0


def holds(chosen: Candidate, waited_seconds: float, target_seconds: float) -> bool:
    """Return whether a prompt should wait although ``chosen`` is the cheapest holder.

    It has waited for ``waited_seconds`` of its latency target. Waiting helps only if other
    prompts are unread there: one that breaks streams alone would break them later as well.
    Designed for prompts of up to 6,900 tokens on routes with latency targets of 0.8 to 10 s.
    """
    if chosen.pauses is None:
        return False
    if chosen.pauses.broken - chosen.pauses.broken_alone < MIN_BROKEN:
        return False
    expected_seconds = chosen.expected_ms / MILLISECONDS_PER_SECOND
    room = target_seconds * TARGET_FRACTION - waited_seconds - expected_seconds
    return min(room, MAX_HOLD_SECONDS - waited_seconds) > RECHECK_SECONDS


def hold(
    call: Call,
    found: Candidate,
    choose: Callable[[], Candidate | None],
    draining: Callable[[], bool],
    on_held: Callable[[], None],
) -> Candidate:
    """Return the holder for the request once it need not wait any longer, at first ``found``.

    Raises `CallerLeft`. The wait ends at once if the instance drains or no holder is left.
    """
    if call.attempts.count or not call.route.longest_gap_seconds:
        return found
    started, first = time.monotonic(), found
    target = min(call.route.latency_target_seconds, call.watch.remaining())
    while holds(found, time.monotonic() - call.request.arrived_at, target) and not draining():
        time.sleep(RECHECK_SECONDS)
        call.watch.check_caller()
        again = choose()
        if again is None:
            break
        found = again
    if time.monotonic() - started > RECHECK_SECONDS:
        on_held()
        log_event(
            "prompt_held",
            request=call.terms.request_id,
            upstream=found.upstream.id,
            seconds=round(time.monotonic() - started, 3),
            broken_before=_broken(first),
            broken=_broken(found),
        )
    return found


def _broken(candidate: Candidate) -> float:
    return round(candidate.pauses.broken, 2) if candidate.pauses else 0.0
