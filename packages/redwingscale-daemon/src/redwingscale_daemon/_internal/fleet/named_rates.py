"""The request rates that upstreams in need have named."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event


class NamedRate(NamedTuple):
    """``per_second`` requests, from all instances together, as of ``seen_at``, monotonic."""

    per_second: float
    seen_at: float


class NamedRates:
    """Keeps, by upstream id, the rate that an upstream takes for as long as it names it."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._by_id: dict[str, NamedRate] = {}

    def get(self, upstream_id: str) -> NamedRate | None:
        """Return the rate that ``upstream_id`` has named, None where it takes any."""
        return self._by_id.get(upstream_id)

    def named(self, upstream_id: str, per_second: float, source: str) -> None:
        """Take the rate that an answer of ``upstream_id`` names."""
        with self._lock:
            before = self._by_id.get(upstream_id)
            self._by_id[upstream_id] = NamedRate(per_second, self._clock())
        if before is None or before.per_second != per_second:
            self._log(upstream_id, before, per_second, source)

    def unnamed(self, upstream_id: str, sent_at: float, source: str) -> None:
        """Take an answer without a rate, to a request that was sent at ``sent_at``.

        An answer may have been on its way while the upstream began to name its rate: only
        one to a request that was sent afterwards tells that the need has ended.
        """
        with self._lock:
            before = self._by_id.get(upstream_id)
            if before is None or sent_at <= before.seen_at:
                return
            del self._by_id[upstream_id]
        self._log(upstream_id, before, None, source)

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._by_id.pop(key, None)

    def _log(
        self, upstream_id: str, before: NamedRate | None, per_second: float | None, source: str
    ) -> None:
        log_event(
            "upstream_rate_named",
            upstream=upstream_id,
            per_second="-" if per_second is None else per_second,
            before=before.per_second if before else "-",
            age=round(self._clock() - before.seen_at, 3) if before else "-",
            source=source,
        )
