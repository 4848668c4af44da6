"""Prefix cache of one engine, with LRU eviction and cache events."""

import hashlib
import threading
from collections import OrderedDict, deque
from typing import NamedTuple

BLOCK_CHARACTERS = 64


class CacheEvent(NamedTuple):
    """Block ``prefix`` of ``unit`` was stored or evicted; ``sequence`` is assigned without gaps."""

    sequence: int
    stored: bool
    unit: str
    prefix: str


class PrefixCache:
    """Cached prompt blocks by chained digest; counts hits and misses."""

    def __init__(self, capacity_blocks: int) -> None:
        self._lock = threading.Lock()
        self._capacity = capacity_blocks
        self._blocks: OrderedDict[str, str] = OrderedDict()
        self._sequence = 0
        self.events: deque[CacheEvent] = deque(maxlen=4096)
        self.hits = 0
        self.misses = 0

    def admit(self, unit: str, prompt: str) -> int:
        """Store the blocks of ``prompt``; return how many were not cached before."""
        with self._lock:
            missing = 0
            for digest in prefix_digests(unit, prompt):
                if digest in self._blocks:
                    self._blocks.move_to_end(digest)
                    self.hits += 1
                else:
                    self._store(unit, digest)
                    missing += 1
            self.misses += missing
            return missing

    def _store(self, unit: str, digest: str) -> None:
        self._blocks[digest] = unit
        self._record(True, unit, digest)
        while len(self._blocks) > self._capacity:
            evicted, owner = self._blocks.popitem(last=False)
            self._record(False, owner, evicted)

    def _record(self, stored: bool, unit: str, digest: str) -> None:
        self._sequence += 1
        self.events.append(CacheEvent(self._sequence, stored, unit, digest))


def prefix_digests(unit: str, prompt: str) -> list[str]:
    """Return the digest of each whole block of ``prompt``, chained with those before it."""
    digests = []
    chain = unit.encode()
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS].encode()
        chain = hashlib.blake2b(chain + block, digest_size=8).digest()
        digests.append(chain.hex())
    return digests
