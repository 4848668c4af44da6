"""Which parts of prompts upstreams have read lately, from what this instance sent."""

import threading
from collections import OrderedDict
from collections.abc import Iterator

from redwingscale_daemon._internal.fleet.prompt import Prompt

# Parts that an upstream keeps are a few thousand at most: its memory holds about
# 140,000 tokens and shared parts have some hundreds.
MAX_CHAINS_PER_UPSTREAM = 400


class PrefixMemory:
    """The newest chains of parts by upstream id; the least recently sent yield."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._chains_by_upstream: dict[str, OrderedDict[int, None]] = {}

    def sent(self, upstream_id: str, prompt: Prompt) -> None:
        """Note that ``upstream_id`` reads ``prompt``."""
        with self._lock:
            chains = self._chains_by_upstream.setdefault(upstream_id, OrderedDict())
            for chain, _ in _chains(prompt):
                chains[chain] = None
                chains.move_to_end(chain)
            while len(chains) > MAX_CHAINS_PER_UPSTREAM:
                chains.popitem(last=False)

    def kept_tokens(self, upstream_id: str, prompt: Prompt) -> int:
        """Return how many tokens of ``prompt`` the upstream need not read again."""
        chains = self._chains_by_upstream.get(upstream_id)
        if not chains:
            return 0
        kept = 0
        for chain, tokens in _chains(prompt):
            if chain not in chains:
                break
            kept += tokens
        return kept

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        with self._lock:
            for key in upstream_ids:
                self._chains_by_upstream.pop(key, None)


def _chains(prompt: Prompt) -> Iterator[tuple[int, int]]:
    """Yield a hash of each beginning of the chain, and the tokens of its last part.

    A part is kept only where all before it are, for the same model and adapter.
    """
    chain = hash(prompt.unit)
    for part in prompt.parts:
        chain = hash((chain, part.id))
        yield chain, part.tokens
