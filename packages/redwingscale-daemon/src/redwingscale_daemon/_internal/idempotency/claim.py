"""Claim rows of the platform's table, by which a non-idempotent request runs at most once."""

from typing import NamedTuple

import msgspec
from redwingscale_common.utils.digests import sha256_hex

from redwingscale_daemon._internal.idempotency.outcome import InObject, InRow

CLAIM_PREFIX = "claims/"


class Claimant(NamedTuple):
    """The process that wrote a claim; ``boot`` differs after each restart of the instance."""

    instance: str
    boot: int


class ClaimKey(NamedTuple):
    """The scope of an idempotency key: it is unique within one caller and service."""

    caller: str
    service: str
    idempotency_key: str

    @property
    def row(self) -> str:
        """The key of the claim's row, a digest that does not disclose the caller's key."""
        return CLAIM_PREFIX + sha256_hex(_length_prefixed(*self))


class _Claim(msgspec.Struct, frozen=True, tag_field="state"):
    """Fields of all claims: ``fingerprint`` digests the request, ``expires_at`` is in Unix seconds."""

    fingerprint: str
    holder: Claimant
    expires_at: int


class Open(_Claim, frozen=True, tag="open"):
    """The claim holder may have sent the request; only the claim holder updates the row."""


class Done(_Claim, frozen=True, tag="done"):
    """The request was run, and ``outcome`` is its answer."""

    outcome: InRow | InObject


class Unknown(_Claim, frozen=True, tag="unknown"):
    """The claim holder sent the request and cannot learn whether it was run."""


class Released(_Claim, frozen=True, tag="released"):
    """The request was not run; a repeat may claim the key again."""


Claim = Open | Done | Unknown | Released


def parse_claim(value: object) -> Claim:
    """Return the claim in a row's value; raises `msgspec.ValidationError`."""
    claim: Claim = msgspec.convert(value, Claim)
    return claim


def request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return the digest of all that a repeat must have in common with the first request."""
    return sha256_hex(_length_prefixed(method, path, sha256_hex(body)))


def _length_prefixed(*parts: str) -> bytes:
    # The lengths give ("ab", "c") and ("a", "bc") different digests.
    return "".join(f"{len(part)}:{part}" for part in parts).encode()
