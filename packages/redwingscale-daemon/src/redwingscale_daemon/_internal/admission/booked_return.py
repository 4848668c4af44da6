"""A refused request that is expected to return, and how it is recognised."""

import hashlib
from base64 import urlsafe_b64encode
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.unit import Unit

# Eight characters in base 64: two of some hundred open returns share a digest once in 10^10.
DIGEST_BYTES = 6


class BookedReturn(NamedTuple):
    """A refused request that returns at the monotonic time ``due_at``.

    ``tokens`` are those of its prompt. The lower its ``rank``, the more urgent it is.
    """

    service: str
    unit: Unit
    digest: str
    due_at: float
    tokens: int
    rank: int


def return_digest(service: str, prompt: Prompt, key_digest: bytes | None) -> str:
    """Return what identifies a request at its return to any instance, under any request id.

    The caller's key is included, so that no other caller can use up the claim.
    """
    own = prompt.parts[-1].id if prompt.parts else f"{prompt.tokens_in},{prompt.most_tokens_out}"
    text = "\n".join((service, str(prompt.unit), own)).encode()
    digest = hashlib.blake2b(text + (key_digest or b""), digest_size=DIGEST_BYTES)
    return urlsafe_b64encode(digest.digest()).decode()
