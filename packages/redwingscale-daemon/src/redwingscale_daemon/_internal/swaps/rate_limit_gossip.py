"""Tells other instances of rate limits while nobody gives orders."""

import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.rate_limit_messages import RateLimitEntry
from redwingscale_daemon._internal.fleet.rate_limits import RateLimits

# Peers that each instance tells of what it has just learned; they tell others.
FANOUT = 4
# A change is kept for so long, in case the order giver has just been lost.
PENDING_SECONDS = 1.0
CHECK_SECONDS = 0.1

Push = Callable[[str, list[RateLimitEntry]], None]


class _Pending(NamedTuple):
    entry: RateLimitEntry
    since: float

    def as_of(self, now: float) -> RateLimitEntry:
        """Return the entry with its age at ``now``."""
        return msgspec.structs.replace(self.entry, age=self.entry.age + now - self.since)


class RateLimitGossip:
    """Passes changes on from instance to instance.

    The order giver tells all within a quarter of a second. Without one, each of a hundred
    instances would learn of a limit by a request of its own, and those alone are more than
    the limit.
    """

    def __init__(
        self,
        rates: RateLimits,
        peers: Callable[[], Sequence[str]],
        leader_silent: Callable[[], bool],
        push: Push,
    ) -> None:
        self._rates = rates
        self._peers = peers
        self._leader_silent = leader_silent
        self._push = push
        self._wake = threading.Event()
        self._stopped = False
        # What has changed and was not passed on yet, by upstream.
        self._pending_by_id: dict[str, _Pending] = {}
        # Not for secrets: it only spreads messages.
        self._random = random.Random()
        self._thread = threading.Thread(target=self._run, name="rate-gossip", daemon=True)
        rates.on_change(self._wake.set)

    def start(self) -> None:
        """Begin to wait for changes."""
        self._thread.start()

    def stop(self) -> None:
        """End it."""
        self._stopped = True
        self._wake.set()
        self._thread.join(1.0)

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait(CHECK_SECONDS if self._pending_by_id else None)
            self._wake.clear()
            self.check(time.monotonic())

    def check(self, now: float) -> None:
        """Pass on what has changed lately, if no order giver is heard."""
        changed = {entry.upstream: _Pending(entry, now) for entry in self._rates.drain_changed()}
        pending = self._pending_by_id | changed
        self._pending_by_id = {
            key: one for key, one in pending.items() if now - one.since < PENDING_SECONDS
        }
        if self._pending_by_id and self._leader_silent():
            self._forward([one.as_of(now) for one in self._pending_by_id.values()])
            self._pending_by_id = {}

    def _forward(self, changed: list[RateLimitEntry]) -> None:
        addresses = self._peers()
        targets = self._random.sample(addresses, min(FANOUT, len(addresses)))
        log_event(
            "rate_limits_passed_on",
            upstreams=",".join(entry.upstream for entry in changed),
            peers=len(targets),
        )
        for address in targets:
            self._push(address, changed)
