"""Records why an answer that has begun is ended before its end."""

import enum
import time
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import CallerLeft, Refusal
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests
from redwingscale_daemon._internal.lifecycle.stop_rule import STOPPING
from redwingscale_daemon._internal.utils.sockets import unsent_bytes


class EndReason(enum.StrEnum):
    """Why an answer is ended early; the values are labels of a metric."""

    DEADLINE = "deadline"
    CALLER_LEFT = "caller_left"
    UPSTREAM_BROKE = "upstream_broke"
    PROCESS_ENDS = "process_ends"


class AnswerEnds:
    """Logs and counts each answer that had begun and is ended early."""

    def __init__(
        self, open_requests: OpenRequests, on_cut: Callable[[EndReason], None] = lambda reason: None
    ) -> None:
        self._open_requests = open_requests
        self._on_cut = on_cut

    def note_cut(self, call: Call, error: Refusal | CallerLeft) -> None:
        """Note that the answer to ``call``, which has begun, ends early because of ``error``."""
        reason = _reason(error)
        attempts = call.attempts
        loss = attempts.last_loss
        self._on_cut(reason)
        log_event(
            "answer_cut",
            level="WARNING",
            request=call.terms.request_id,
            route=call.route.name,
            reason=reason,
            detail=error,
            stop_age=self._stop_age(),
            upstream=loss.upstream.id if loss else "-",
            connected=not loss.broken if loss else "-",
            last_byte_age=_age(attempts.last_read_at),
            last_event_age=_age(attempts.last_event_at),
            unwritten=call.reply.unwritten,
            unsent=unsent_bytes(call.request.socket),
            sendings=attempts.count,
            tried=";".join(attempts.history),
            left=round(call.watch.remaining(), 3),
        )

    def _stop_age(self) -> float | str:
        if not self._open_requests.draining:
            return "-"
        return round(time.monotonic() - self._open_requests.drained_since, 3)


def _reason(error: Refusal | CallerLeft) -> EndReason:
    match error:
        case CallerLeft():
            return EndReason.CALLER_LEFT
        case Refusal(code=code) if code == STOPPING:
            return EndReason.PROCESS_ENDS
        case Refusal(code="time_limit"):
            return EndReason.DEADLINE
    return EndReason.UPSTREAM_BROKE


def _age(at: float | None) -> float | str:
    return "-" if at is None else round(time.monotonic() - at, 3)
