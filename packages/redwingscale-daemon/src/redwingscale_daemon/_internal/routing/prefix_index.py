"""Indexes which engines have which prefix blocks cached."""

import threading
from collections import OrderedDict
from collections.abc import Sequence

CAPACITY_BLOCKS = 32_768
MAX_ENGINES_PER_BLOCK = 8
"""Limits the engines stored per block; a prefix that all prompts share needs no more."""


class PrefixIndex:
    """A bounded map of blocks to engines that evicts the least recently used block.

    Entries come from routed requests and are corrected by cache events. A wrong entry
    costs a prefill but never a wrong response, so entries may be dropped at any time.
    """

    def __init__(self, capacity_blocks: int = CAPACITY_BLOCKS) -> None:
        self._lock = threading.Lock()
        self._capacity = capacity_blocks
        self._seen_at_by_engine: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._forgotten_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._seen_at_by_engine)

    def matches(self, digests: Sequence[str]) -> dict[str, int]:
        """Return the number of leading blocks by engine, without engines that have none."""
        found: dict[str, int] = {}
        with self._lock:
            for count, digest in enumerate(digests, start=1):
                engines = self._seen_at_by_engine.get(digest, {})
                longer = [e for e, at in engines.items() if self._is_current(e, at)]
                longer = [e for e in longer if found.get(e, 0) == count - 1]
                if not longer:
                    break
                found |= dict.fromkeys(longer, count)
        return found

    def add(self, engine: str, digests: Sequence[str], now: float) -> None:
        """Store that ``engine`` has these blocks at ``now``, a monotonic time."""
        with self._lock:
            for digest in digests:
                engines = self._seen_at_by_engine.setdefault(digest, {})
                engines.pop(engine, None)
                engines[engine] = now
                if len(engines) > MAX_ENGINES_PER_BLOCK:
                    engines.pop(next(iter(engines)))
                self._seen_at_by_engine.move_to_end(digest)
            while len(self._seen_at_by_engine) > self._capacity:
                self._seen_at_by_engine.popitem(last=False)

    def discard(self, engine: str, digest: str, before: float) -> None:
        """Drop a block of ``engine`` that was last added before ``before``."""
        with self._lock:
            engines = self._seen_at_by_engine.get(digest, {})
            if engine in engines and engines[engine] < before:
                del engines[engine]

    def forget(self, engine: str, before: float) -> None:
        """Drop all blocks of ``engine`` added before ``before``, in constant time."""
        with self._lock:
            self._forgotten_at[engine] = before

    def _is_current(self, engine: str, at: float) -> bool:
        return at >= self._forgotten_at.get(engine, 0.0)
