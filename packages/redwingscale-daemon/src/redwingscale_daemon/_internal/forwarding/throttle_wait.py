"""Waits until a throttled upstream accepts a request."""

from collections.abc import Callable, Collection

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.send_gate import SendGate
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.final_refusal import final_refusal

# How often a waiting request checks that its caller is still connected.
CALLER_CHECK_SECONDS = 0.05
MIN_RETRY_SECONDS = 0.3


class ThrottleWait:
    """Delays a request until it may be sent, or refuses it at once if that is too late."""

    def __init__(self, gate: SendGate, changes: Changes) -> None:
        self._gate = gate
        self._changes = changes

    def check_queue(self, call: Call, throttled: Collection[str], max_wait_seconds: float) -> None:
        """Raise `Refusal` if no upstream accepts the request within ``max_wait_seconds``."""
        if self._gate.wait_seconds(throttled) > max_wait_seconds:
            raise self._refusal(call, throttled, max_wait_seconds)

    def wait_for_candidate(
        self,
        call: Call,
        throttled: Collection[str],
        max_wait_seconds: Callable[[], float],
        choose: Callable[[], Candidate | None],
    ) -> Candidate:
        """Return the first candidate that ``choose`` finds; raises `Refusal`, `CallerLeft`.

        Refuses once the remaining ``max_wait_seconds`` are over or too short.
        """
        self.check_queue(call, throttled, max_wait_seconds())
        with self._gate.waiting(throttled):
            while True:
                seen = self._changes.count
                if (found := choose()) is not None:
                    return found
                # An upstream may have named a later retry time in the meantime.
                seconds_left = max(0.0, max_wait_seconds())
                if not seconds_left or self._gate.retry_seconds(throttled) > seconds_left:
                    raise self._refusal(call, throttled, seconds_left)
                self._changes.wait(seen, CALLER_CHECK_SECONDS)
                call.watch.check_caller()

    def _refusal(self, call: Call, throttled: Collection[str], max_wait_seconds: float) -> Refusal:
        wait = self._gate.wait_seconds(throttled)
        limited = self._gate.rate_limited(throttled)
        return final_refusal(
            call,
            "upstream_rate_limited" if limited else "upstream_rejects",
            f"{','.join(throttled)} would take it in {wait:.2f} s, "
            f"{max_wait_seconds:.2f} s are left",
            max(MIN_RETRY_SECONDS, wait),
        )
