"""Waits for a turn at upstreams with a rate limit."""

from collections.abc import Callable, Collection

from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.rate_limits import RateLimits
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.giving_up import given_up

# How often a waiting request looks whether its caller is still there.
LOOK_SECONDS = 0.05
LEAST_COME_BACK_SECONDS = 0.3


class RateLimitWait:
    """Holds a request while its turn comes in time, and refuses it at once where it does not."""

    def __init__(self, rates: RateLimits, changes: Changes) -> None:
        self._rates = rates
        self._changes = changes

    def check_queue(self, call: Call, limited: Collection[str], patience_seconds: float) -> None:
        """Raise `Refusal` where those that wait already take longer than a request can wait."""
        wait = self._rates.wait_seconds(limited)
        if wait > patience_seconds:
            raise given_up(
                call,
                "upstream_rate_limited",
                f"{','.join(limited)} would take it in {wait:.2f} s, {patience_seconds:.2f} s are left",
                max(LEAST_COME_BACK_SECONDS, wait),
            )

    def candidate(
        self,
        call: Call,
        limited: Collection[str],
        patience_seconds: Callable[[], float],
        choose: Callable[[], Candidate | None],
    ) -> Candidate:
        """Return what ``choose`` finds before patience ends; raise `Refusal`, `CallerLeft`."""
        self.check_queue(call, limited, patience_seconds())
        with self._rates.waiting(limited):
            while True:
                seen = self._changes.count
                if (found := choose()) is not None:
                    return found
                if patience_seconds() <= 0:
                    self.check_queue(call, limited, 0.0)
                self._changes.wait(seen, LOOK_SECONDS)
                call.watch.check_caller()
