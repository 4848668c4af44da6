"""Identifies requests with the same content."""

import hashlib

from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.ingress.ingress_request import IngressRequest

DIGEST_BYTES = 12


def fingerprint_of(call: Call) -> str:
    """Return the digest of path, caller, model and body; the same for each repeat.

    The request id differs from repeat to repeat, and a resumed stream names its last event:
    neither counts. A caller is known by its key only, as repeats come on new connections.
    """
    if call.attempts.fingerprint is None:
        call.attempts.fingerprint = _digest(call.request, call.terms)
    return call.attempts.fingerprint


def _digest(request: IngressRequest, terms: Terms) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    head = (request.method, request.host, request.target, _unit(terms.prompt))
    for part in (*(text.encode() for text in head), terms.key_digest or b""):
        digest.update(len(part).to_bytes(4) + part)
    digest.update(request.body)
    return digest.hexdigest()


def _unit(prompt: Prompt | None) -> str:
    return str(prompt.unit) if prompt else ""
