"""Enforces the limits of workspaces' use at one of many instances."""

import math
import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingscale_daemon._internal.workspaces.use_account import Allowance, UseAccount, fraction_of
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry, GrantEntry
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, Workspace

# The leader's updates come every 0.25 s. Without one for this long, an instance admits only
# its share.
FRESH_SECONDS = 0.7
# Far from the limit, one instance admits at most this fraction of a workspace's burst until
# the next update, but at least this many requests.
UNTIL_UPDATE_BURST_FRACTION = 0.03
MIN_REQUESTS_UNTIL_UPDATE = 2
# Without updates, the fraction of an even share that an instance may admit for a workspace
# that it had no requests of when the last update came.
IDLE_SHARE_FRACTION = 0.3
# The fraction of the share by its own demand that an instance may use before its demand
# has been announced.
UNANNOUNCED_SHARE_FRACTION = 0.5
# The fraction of the slack beyond a limit that shares may use; the rest is for late updates.
SLACK_FRACTION = 0.1


class Drawn(NamedTuple):
    """The request was admitted and has drawn ``units``."""

    units: float


class LimitReached(NamedTuple):
    """The request of ``units`` was refused: only ``left`` units are available.

    ``left`` may be negative and refills by ``per_second``. The last update of the leader
    came ``update_age_seconds`` ago.
    """

    units: float
    left: float
    per_second: float
    update_age_seconds: float
    retry_after_seconds: float


class UseLimiter:
    """Admits a request if the workspace's level at this instance covers its cost.

    Far from the limit, the level of each instance refills at the whole limit: rising use is
    announced to all instances within some hundred milliseconds. Near the limit, and without
    updates, it refills at the instance's share, and the shares of all instances add up to
    the limit.
    """

    def __init__(
        self,
        instances: Callable[[], int],
        slack: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
        random_source: random.Random | None = None,
    ) -> None:
        self._instances = instances
        # Units that all instances together may admit beyond a limit.
        self._slack = slack
        # Not for secrets: it only decides on requests that are larger than a share.
        self._random = random_source or random.Random()
        self._clock = clock
        self._lock = threading.Lock()
        self._accounts: dict[str, UseAccount] = {}
        self._received_at = float("-inf")

    def draw(self, workspace: Workspace, tokens: int | None) -> Drawn | LimitReached:
        """Draw the cost of a request of ``tokens`` if the level covers it."""
        limit = workspace.limit
        if limit is None:
            return Drawn(0.0)
        cost = limit.cost(tokens)
        now = self._clock()
        with self._lock:
            account = self._account(workspace.name, now)
            account.reset_after_update(self._received_at)
            account.offered = account.offered.with_events(cost, now)
            allowance = self._allowance(account, limit, now)
            left = account.refill(allowance, cost, now)
            if self._fits(account, cost, allowance):
                account.count_admitted(cost)
                return Drawn(cost)
            retry_after = account.schedule_retry(cost, allowance.per_second, now)
        return LimitReached(cost, left, allowance.per_second, now - self._received_at, retry_after)

    def refund(self, workspace: Workspace, cost: float) -> None:
        """Refund the units of a request that has not run."""
        if not cost:
            return
        with self._lock:
            self._account(workspace.name, self._clock()).refund(cost)

    def updates(self, *, full: bool = False) -> list[DrawnEntry]:
        """Return the entries of workspaces with use or demand, or of all if ``full``."""
        now = self._clock()
        with self._lock:
            entries = [
                account.make_entry(name, now, always=full)
                for name, account in self._accounts.items()
            ]
        return [entry for entry in entries if entry is not None]

    def receive(self, grants: Iterable[GrantEntry]) -> None:
        """Store the grants of an update; workspaces that it lacks keep their last grant."""
        now = self._clock()
        with self._lock:
            self._received_at = now
            for grant in grants:
                self._account(grant.workspace, now).take_grant(grant)

    def _account(self, name: str, now: float) -> UseAccount:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = UseAccount(now)
        return account

    def _fits(self, account: UseAccount, cost: float, allowance: Allowance) -> bool:
        """Return whether a request is admitted, and subtract its cost from the level.

        A share may be smaller than one request. A request that costs more than the level is
        admitted with the probability level / cost, and uses up the level in either case.
        On average just the share is admitted; one request for each of many instances
        would be far more.
        """
        left = account.level or 0.0
        if not allowance.is_share:
            most = max(allowance.until_update, cost * MIN_REQUESTS_UNTIL_UPDATE)
            fits = left >= 0 and account.admitted_since_update < most
            account.level = left - cost * fits
            return fits
        if 0 < left < cost:
            account.level = 0.0
            return self._random.random() < left / cost
        fits = left >= cost
        account.level = left - cost * fits
        return fits

    def _allowance(self, account: UseAccount, limit: UseLimit, now: float) -> Allowance:
        if now - self._received_at > FRESH_SECONDS:
            return self._allowance_without_updates(account, limit)
        grant = account.grant
        if grant is not None and grant.near_limit:
            share = account.share or self._unannounced_share(account, grant, now)
            return Allowance(
                grant.per_second * share, limit.burst * share, is_share=True, initial=0.0
            )
        until_update = limit.burst * max(UNTIL_UPDATE_BURST_FRACTION, account.share or 0.0)
        return Allowance(
            limit.per_second,
            limit.burst,
            is_share=False,
            initial=limit.burst,
            until_update=until_update,
        )

    def _allowance_without_updates(self, account: UseAccount, limit: UseLimit) -> Allowance:
        # A process that has just started does not know what was used before.
        just_started = math.isinf(self._received_at)
        share = (1.0 if just_started else IDLE_SHARE_FRACTION) / max(1, self._instances())
        if account.share is not None:
            share = max(account.share, share)
        burst = (limit.burst + self._slack * SLACK_FRACTION) * share
        return Allowance(
            limit.per_second * share, burst, is_share=True, initial=0.0 if just_started else burst
        )

    def _unannounced_share(self, account: UseAccount, grant: GrantEntry, now: float) -> float:
        own = account.offered.now(now)
        return fraction_of(own, grant.offered + own) * UNANNOUNCED_SHARE_FRACTION
