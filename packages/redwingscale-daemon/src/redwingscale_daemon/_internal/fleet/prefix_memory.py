"""Which prompt parts upstreams have cached, from what this instance sent them lately."""

import threading
from collections import OrderedDict
from collections.abc import Iterator

from redwingscale_daemon._internal.fleet.prompt import Prompt

# An upstream caches a few thousand parts at most: its memory has room for about 140,000
# tokens and shared parts have some hundreds.
MAX_CHAINS_PER_UPSTREAM = 400


class PrefixMemory:
    """The latest chains of parts by upstream id; the least recently sent are evicted."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._chains_by_upstream: dict[str, OrderedDict[int, None]] = {}

    def sent(self, upstream_id: str, prompt: Prompt) -> None:
        """Note that ``prompt`` was sent to ``upstream_id``."""
        with self._lock:
            chains = self._chains_by_upstream.setdefault(upstream_id, OrderedDict())
            for chain, _ in _chains(prompt):
                chains[chain] = None
                chains.move_to_end(chain)
            while len(chains) > MAX_CHAINS_PER_UPSTREAM:
                chains.popitem(last=False)

    def cached_tokens(self, upstream_id: str, prompt: Prompt) -> int:
        """Return how many tokens of ``prompt`` the upstream has probably cached."""
        chains = self._chains_by_upstream.get(upstream_id)
        if not chains:
            return 0
        cached = 0
        for chain, tokens in _chains(prompt):
            if chain not in chains:
                break
            cached += tokens
        return cached

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._chains_by_upstream.pop(key, None)


def _chains(prompt: Prompt) -> Iterator[tuple[int, int]]:
    """Yield a hash of each prefix of the chain of parts, and the tokens of its last part.

    A part is cached only together with all parts before it, for one model and adapter.
    """
    chain = hash(prompt.unit)
    for part in prompt.parts:
        chain = hash((chain, part.id))
        yield chain, part.tokens
