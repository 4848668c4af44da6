"""Authenticates callers by bearer token."""

from collections.abc import Mapping

from redwingscale_common.configuration import Caller, Configuration
from redwingscale_common.utils.digests import sha256_hex

from redwingscale_daemon._internal.exceptions import Refusal

BEARER_PREFIX = "Bearer "


def authenticate(configuration: Configuration, headers: Mapping[str, str]) -> Caller:
    """Return the caller that the bearer token belongs to; raises `Refusal` 401."""
    value = headers.get("Authorization", "")
    if not value.startswith(BEARER_PREFIX):
        raise Refusal(401, "token_missing", "a bearer token is needed")
    # Tokens are looked up by digest, so neither the stored text nor the timing of a
    # comparison can reveal one.
    caller = configuration.callers_by_token.get(sha256_hex(value[len(BEARER_PREFIX) :].encode()))
    if caller is None:
        raise Refusal(401, "token_unknown", "the token belongs to no listed caller")
    return caller
