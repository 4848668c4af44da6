"""Keeps a workspace's use within its limit at one instance of many."""

import math
import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

from redwingscale_daemon._internal.workspaces.use_account import Allowance, UseAccount, fraction_of
from redwingscale_daemon._internal.workspaces.use_messages import DrawnEntry, GrantEntry
from redwingscale_daemon._internal.workspaces.workspace import UseLimit, Workspace

# Grants come four times a second.
FRESH_SECONDS = 0.7
# Far from its limit, what one instance may let in of a workspace's burst before it hears
# the next news, and at least so many requests.
UNTIL_UPDATE_BURST_FRACTION = 0.03
MIN_REQUESTS_UNTIL_UPDATE = 2
# Of an even part: what an instance may let in of a workspace that it was not asked for
# while it last heard.
IDLE_SHARE_FRACTION = 0.3
# Of its part by what it is asked for, what an instance has that has told nothing yet.
UNANNOUNCED_SHARE_FRACTION = 0.5
# Of what may be let in beyond a limit, what the parts use; the rest is for late news.
SLACK_FRACTION = 0.1


class Drawn(NamedTuple):
    """Units that a request has drawn."""

    units: float


class LimitReached(NamedTuple):
    """No room for a request of ``units``: ``left`` is below zero and refills ``per_second``.

    The order giver was last heard ``update_age_seconds`` ago.
    """

    units: float
    left: float
    per_second: float
    update_age_seconds: float
    retry_after_seconds: float


class UseLimiter:
    """Lets a request in while the workspace's level here covers it.

    The level refills at this instance's part of the limit. While all instances use far
    less than the limit each may use all of it, and use that rises is told within some
    hundred milliseconds; near the limit, and without news, the parts of all instances
    add up to the limit.
    """

    def __init__(
        self,
        instances: Callable[[], int],
        slack: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
        random_source: random.Random | None = None,
    ) -> None:
        self._instances = instances
        # Units that all instances together may let in beyond a limit.
        self._slack = slack
        # Not for secrets: it only spreads small parts.
        self._random = random_source or random.Random()
        self._clock = clock
        self._lock = threading.Lock()
        self._accounts: dict[str, UseAccount] = {}
        self._received_at = float("-inf")

    def draw(self, workspace: Workspace, tokens: int | None) -> Drawn | LimitReached:
        """Draw what a request of ``tokens`` counts as, if there is room for it."""
        limit = workspace.limit
        if limit is None:
            return Drawn(0.0)
        cost = limit.cost(tokens)
        now = self._clock()
        with self._lock:
            account = self._account(workspace.name, now)
            account.reset_after_update(self._received_at)
            account.offered = account.offered.plus(cost, now)
            allowance = self._allowance(account, limit, now)
            left = account.refill(allowance, cost, now)
            if self._fits(account, cost, allowance):
                account.count_admitted(cost)
                return Drawn(cost)
            retry_after = account.schedule_retry(cost, allowance.per_second, now)
        return LimitReached(cost, left, allowance.per_second, now - self._received_at, retry_after)

    def refund(self, workspace: Workspace, cost: float) -> None:
        """Take back what was drawn for a request that has not run."""
        if not cost:
            return
        with self._lock:
            self._account(workspace.name, self._clock()).refund(cost)

    def updates(self, *, full: bool = False) -> list[DrawnEntry]:
        """Return the use that differs from what was told last, or ``full``."""
        now = self._clock()
        with self._lock:
            entries = [
                account.make_entry(name, now, always=full)
                for name, account in self._accounts.items()
            ]
        return [entry for entry in entries if entry is not None]

    def receive(self, grants: Iterable[GrantEntry]) -> None:
        """Take what the order giver grants; workspaces that it does not name stay as told."""
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
        """Return whether a request is let in, and take it off the level.

        A part may be less than one request. One that does not fit is let in as often as
        the level covers it, and uses up the level in either case: on average just the
        part is let in, where a request for each of many instances would be far more.
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
            return Allowance(grant.per_second * share, limit.burst * share, is_share=True, initial=0.0)
        until_update = limit.burst * max(UNTIL_UPDATE_BURST_FRACTION, account.share or 0.0)
        return Allowance(
            limit.per_second, limit.burst, is_share=False, initial=limit.burst, until_update=until_update
        )

    def _allowance_without_updates(self, account: UseAccount, limit: UseLimit) -> Allowance:
        # A process that has just begun knows nothing of what was used before.
        just_started = math.isinf(self._received_at)
        share = (1.0 if just_started else IDLE_SHARE_FRACTION) / max(1, self._instances())
        if account.share is not None:
            share = max(account.share, share)
        burst = (limit.burst + self._slack * SLACK_FRACTION) * share
        return Allowance(limit.per_second * share, burst, is_share=True, initial=0.0 if just_started else burst)

    def _unannounced_share(self, account: UseAccount, grant: GrantEntry, now: float) -> float:
        own = account.offered.now(now)
        return fraction_of(own, grant.offered + own) * UNANNOUNCED_SHARE_FRACTION
