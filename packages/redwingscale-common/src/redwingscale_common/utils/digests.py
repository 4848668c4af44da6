"""Content digests and rendezvous hashing."""

import hashlib
from collections.abc import Iterable


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 of ``data`` in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def rendezvous_score(key: str, member: str) -> int:
    """Return the weight of ``member`` for ``key``; equal on every instance."""
    digest = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return ``members`` from the best to the worst for ``key``.

    Losing one member moves only the keys it held, so a failed instance does
    not reassign the upstreams of the others.
    """
    return sorted(members, key=lambda m: (rendezvous_score(key, m), m), reverse=True)
