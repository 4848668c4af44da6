"""Refuses requests that cannot end before the instance stops."""

from typing import NamedTuple

from redwingscale_daemon._internal.exceptions import ProcessEnds, Refusal
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.final_refusal import final_refusal
from redwingscale_daemon._internal.lifecycle.stop_rule import (
    STOPPING,
    STOPPING_DETAIL,
    STOPPING_RETRY_SECONDS,
    StopRule,
    unread_refusal,
)
from redwingscale_daemon._internal.routes.route import Route


class StopCheck(NamedTuple):
    """Applies the `StopRule` when a request is read, while it waits and before each sending."""

    rule: StopRule

    def check(self, call: Call) -> None:
        """Raise the final `Refusal` of a request that cannot end in time."""
        if not self.rule.can_end(call.route, call.watch.remaining()):
            raise _refusal(call, STOPPING_DETAIL)

    def check_head(self, route: Route, limit_seconds: float) -> None:
        """Raise the `Refusal` of a request whose body need not be read."""
        if not self.rule.can_end(route, limit_seconds):
            raise unread_refusal()


def end_refusal(call: Call, error: ProcessEnds) -> Refusal:
    """Return the answer to a request that is open as the process ends."""
    if call.attempts.arrivals.possible_from_here:
        # An attempt that is open is not counted yet.
        call.attempts.possible_runs += 1
    return _refusal(call, str(error))


def _refusal(call: Call, detail: str) -> Refusal:
    refusal = final_refusal(call, STOPPING, detail, STOPPING_RETRY_SECONDS)
    refusal.code = STOPPING
    return refusal
