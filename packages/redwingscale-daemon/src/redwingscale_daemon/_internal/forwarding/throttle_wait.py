"""Waits until upstreams that hold requests back take one."""

from collections.abc import Callable, Collection

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.send_gate import SendGate
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.final_refusal import final_refusal

# How often a waiting request looks whether its caller is still there.
CALLER_CHECK_SECONDS = 0.05
MIN_RETRY_SECONDS = 0.3


class ThrottleWait:
    """Holds a request while its turn comes in time, and refuses it at once where it does not."""

    def __init__(self, gate: SendGate, changes: Changes) -> None:
        self._gate = gate
        self._changes = changes

    def check_queue(self, call: Call, throttled: Collection[str], max_wait_seconds: float) -> None:
        """Raise `Refusal` where no upstream takes the request as long as it can wait."""
        if self._gate.wait_seconds(throttled) > max_wait_seconds:
            raise self._refusal(call, throttled, max_wait_seconds)

    def wait_for_candidate(
        self,
        call: Call,
        throttled: Collection[str],
        max_wait_seconds: Callable[[], float],
        choose: Callable[[], Candidate | None],
    ) -> Candidate:
        """Return what ``choose`` finds before seconds_left ends; raise `Refusal`, `CallerLeft`."""
        self.check_queue(call, throttled, max_wait_seconds())
        with self._gate.waiting(throttled):
            while True:
                seen = self._changes.count
                if (found := choose()) is not None:
                    return found
                # A rejection may have come meanwhile that names a later time.
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
            f"{','.join(throttled)} would take it in {wait:.2f} s, {max_wait_seconds:.2f} s are left",
            max(MIN_RETRY_SECONDS, wait),
        )
