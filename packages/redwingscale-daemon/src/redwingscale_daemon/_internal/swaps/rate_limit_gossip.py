"""Sends changed rate limits to other instances while there is no leader."""

import random
import threading
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.rate_limit_messages import RateLimitEntry
from redwingscale_daemon._internal.fleet.rate_limits import RateLimits

# The number of peers to which an instance sends a change; they forward it to others.
FANOUT = 4
# A change stays pending for this long, in case the leader was lost just before it and its
# silence is not detected yet.
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
    """Forwards changes of rate limits from instance to instance.

    A leader announces a change to all instances within a quarter of a second. Without a
    leader, each of a hundred instances would learn of a limit by a request of its own, and
    these requests alone would exceed the limit.
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
        # Changes that were not forwarded, by upstream id.
        self._pending_by_id: dict[str, _Pending] = {}
        # Not for secrets: it only spreads the messages.
        self._random = random.Random()
        self._thread = threading.Thread(target=self._run, name="rate-gossip", daemon=True)
        rates.on_change(self._wake.set)

    def start(self) -> None:
        """Start the thread that waits for changes."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped = True
        self._wake.set()
        self._thread.join(1.0)

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait(CHECK_SECONDS if self._pending_by_id else None)
            self._wake.clear()
            self.check(time.monotonic())

    def check(self, now: float) -> None:
        """Forward the recent changes if the leader is silent."""
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
