"""Computes the digests by which engines identify the blocks of their prefix caches."""

import hashlib

BLOCK_CHARACTERS = 64
MAX_BLOCKS = 64
DIGEST_BYTES = 8


def block_digests(unit: str, prompt: str) -> list[str]:
    """Return the chained digest of each whole block, the longest prefix last.

    Blocks beyond `MAX_BLOCKS` are omitted: a prefix of this length already decides the route.
    """
    end = min(len(prompt) - BLOCK_CHARACTERS + 1, MAX_BLOCKS * BLOCK_CHARACTERS)
    digests = []
    chain = unit.encode()
    for start in range(0, end, BLOCK_CHARACTERS):
        block = prompt[start : start + BLOCK_CHARACTERS].encode()
        chain = hashlib.blake2b(chain + block, digest_size=DIGEST_BYTES).digest()
        digests.append(chain.hex())
    return digests
