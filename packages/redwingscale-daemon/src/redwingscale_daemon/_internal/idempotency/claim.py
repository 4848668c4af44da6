"""Rows of the platform's table that make a non-idempotent request run at most once."""

from typing import NamedTuple

import msgspec
from redwingscale_common.utils.digests import sha256_hex

from redwingscale_daemon._internal.idempotency.outcome import InObject, InRow

CLAIM_PREFIX = "claims/"


class Claimant(NamedTuple):
    """The process that wrote a claim; a restarted instance has another ``boot``."""

    instance: str
    boot: int


class ClaimKey(NamedTuple):
    """What a caller's idempotency key is unique in."""

    caller: str
    service: str
    idempotency_key: str

    @property
    def row(self) -> str:
        """The key of the claim's row; it gives the caller's key away to nobody."""
        return CLAIM_PREFIX + sha256_hex(_length_prefixed(*self))


class _Claim(msgspec.Struct, frozen=True, tag_field="state"):
    """``fingerprint`` digests the request; ``expires_at`` is in Unix seconds."""

    fingerprint: str
    holder: Claimant
    expires_at: int


class Open(_Claim, frozen=True, tag="open"):
    """The holder may have sent the request; only the holder writes the row again."""


class Done(_Claim, frozen=True, tag="done"):
    """The request was run and this is its answer."""

    outcome: InRow | InObject


class Unknown(_Claim, frozen=True, tag="unknown"):
    """The holder sent the request and will never learn whether it was run."""


class Released(_Claim, frozen=True, tag="released"):
    """The request was not run; a repeat may take the claim."""


Claim = Open | Done | Unknown | Released


def parse_claim(value: object) -> Claim:
    """Return the claim in a row's value; raise `msgspec.ValidationError`."""
    claim: Claim = msgspec.convert(value, Claim)
    return claim


def request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Digest what a repeat must have in common with the first sending."""
    return sha256_hex(_length_prefixed(method, path, sha256_hex(body)))


def _length_prefixed(*parts: str) -> bytes:
    # Lengths keep ("ab", "c") and ("a", "bc") apart.
    return "".join(f"{len(part)}:{part}" for part in parts).encode()
