"""Content digests and rendezvous hashing."""

import hashlib
from collections.abc import Iterable


def sha256_hex(data: bytes) -> str:
    """Return the SHA-256 of ``data`` in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def rendezvous_score(key: str, member: str) -> int:
    """Return the score of ``member`` for ``key``, which is the same on every instance."""
    digest = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_order(key: str, members: Iterable[str]) -> list[str]:
    """Return ``members`` by descending score for ``key``.

    Removing a member reassigns only the keys for which it came first, so the upstreams of
    other instances stay where they are when an instance fails.
    """
    return sorted(members, key=lambda m: (rendezvous_score(key, m), m), reverse=True)
