"""Waits until a caller has taken the rest of its reply, up to the deadline of its request."""

from redwingscale_daemon._internal.exceptions import Refusal, TimeLimitReached
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.models.run_state import RunState


def finish(call: Call) -> None:
    """Write the end of the reply, and wait for the caller to take it; raises `Refusal`."""
    call.reply.end()
    try:
        call.watch.wait_until_written()
    except TimeLimitReached as error:
        raise Refusal(504, "time_limit", str(error), run=RunState.RUN) from None


def send_rest(call: Call) -> None:
    """Let the caller take what it was sent before a failure; raises `CallerLeft`."""
    try:
        call.watch.wait_until_written()
    except TimeLimitReached:
        call.reply.drop_unwritten()
