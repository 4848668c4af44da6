"""What a sending without an answer says about its upstream."""

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.outcome import Lost, NotRun
from redwingscale_daemon._internal.forwarding.parts import RelayParts

# Answers by which an upstream says that it has failed: one of 503 was full, one of 504
# had no time left.
FAILURE_STATUSES = frozenset({500, 502})


def note_failure(parts: RelayParts, call: Call, outcome: NotRun | Lost) -> None:
    """Log the failed sending, and let the health of its upstream count it."""
    match outcome:
        case Lost():
            parts.health.note_failure(outcome.upstream.id)
        case NotRun(reached=False):
            parts.health.note_unreachable(outcome.upstream.id)
        case NotRun(gone=True):
            parts.health.note_replaced(outcome.upstream.id)
    log_event(
        "sending_failed",
        request=call.terms.request_id,
        upstream=outcome.upstream.id,
        outcome=type(outcome).__name__,
        reason=outcome.reason,
        sending=call.attempts.count,
        answer_begun=call.reply.started,
    )
