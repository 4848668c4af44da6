"""One simulated engine, independent of its HTTP dialect."""

import time
from typing import Any, NamedTuple

import urllib3

from redwingscale_standins.engine.memory import Memory
from redwingscale_standins.engine.orders import Orders
from redwingscale_standins.engine.profile import EngineFaults, Profile
from redwingscale_standins.engine.streams import Streams


class Load(NamedTuple):
    """Reported load, which lags behind the actual load."""

    running: int
    waiting: int


class Engine:
    """Memory, orders and streams of one stand-in, and its delayed load report."""

    def __init__(self, profile: Profile, weights_url: str, *, checks_fencing: bool) -> None:
        self._pool = urllib3.PoolManager(retries=False)
        self._weights_url = weights_url
        self._report_at = 0.0
        self._report = Load(0, 0)
        self.profile = profile
        self.faults = EngineFaults()
        self.memory = Memory(profile.memory_bytes)
        self.streams = Streams(profile, self.faults)
        self.orders = Orders(
            self.memory, self.faults, self._read_weights, checks_fencing=checks_fencing
        )

    def load(self) -> Load:
        """Return the load, sampled at most once per ``report_lag_seconds``."""
        now = time.monotonic()
        if now - self._report_at >= self.profile.report_lag_seconds:
            self._report_at = now
            self._report = Load(self.streams.batch.running, self.streams.batch.waiting)
        return self._report

    def record(self) -> dict[str, Any]:
        """Return what tests check: peak memory, overcommits, orders, streams and cache use."""
        return {
            "capacity_bytes": self.memory.capacity_bytes,
            "peak_bytes": self.memory.peak_bytes,
            "overcommits": self.memory.overcommits,
            "loads": self.orders.loads,
            "unloads": self.orders.unloads,
            "accepted": [order._asdict() for order in self.orders.accepted],
            "started": self.streams.started,
            "resumed": self.streams.resumed,
            "cancelled": self.streams.cancelled,
            "finished": self.streams.finished,
            "cache_hits": self.streams.cache.hits,
            "cache_misses": self.streams.cache.misses,
        }

    def _read_weights(self, size_bytes: int) -> None:
        if self._weights_url:
            self._pool.request("GET", f"{self._weights_url}?size_bytes={size_bytes}")
