"""Records failed attempts in the log and in the health of upstreams."""

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.prompt import format_parts
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.fingerprint import fingerprint_of
from redwingscale_daemon._internal.forwarding.outcome import Lost, NotRun
from redwingscale_daemon._internal.forwarding.parts import RelayParts

# Statuses that count against the health of an upstream. 503 does not: the upstream was
# full; nor does 504: the request had no time left.
FAILURE_STATUSES = frozenset({500, 502})


def note_failure(
    parts: RelayParts, call: Call, outcome: NotRun | Lost, *, may_go_on: bool = False
) -> None:
    """Log the failed attempt and count it against the health of its upstream.

    ``may_go_on``: the upstream was only silent, and no other one has gone on in its place. It
    is avoided, but not counted as failed for other instances.
    """
    match outcome:
        case Lost():
            call.attempts.last_loss = outcome
            if outcome.broken:
                parts.sender.note_broken(outcome.upstream.id)
            if may_go_on:
                parts.health.note_silent(outcome.upstream.id)
            else:
                parts.health.note_failure(outcome.upstream.id)
        case NotRun(no_repeat=True) | NotRun(left=True):
            # It says nothing about the health of the upstream.
            pass
        case NotRun(reached=False, slow=False):
            parts.health.note_unreachable(outcome.upstream.id)
            if outcome.refused:
                parts.guard.note_refused(outcome.upstream)
        case NotRun(gone=True):
            parts.health.note_replaced(outcome.upstream.id)
        case NotRun(misdirected=True):
            # The answer is newer than what the leader believes is resident there.
            parts.health.note_misdirected(outcome.upstream.id)
    log_event(
        "sending_failed",
        request=call.terms.request_id,
        upstream=outcome.upstream.id,
        outcome=type(outcome).__name__,
        reason=outcome.reason,
        sending=call.attempts.count,
        answer_begun=call.reply.started,
        body=fingerprint_of(call),
        parts=format_parts(call.terms.prompt),
        broken=isinstance(outcome, Lost) and outcome.broken,
        head=call.attempts.current.head_received,
        events=call.attempts.current.events_received,
    )
