"""Requests for generated text, and the events of their streams."""

from typing import NamedTuple

from redwingscale_common.configuration import Unit


class GenerationRequest(NamedTuple):
    """A validated request of a caller; ``deadline_at`` is monotonic time."""

    request_id: str
    caller: str
    service: str
    unit: Unit
    prompt: str
    max_tokens: int
    priority: int
    idempotent: bool
    idempotency_key: str
    deadline_at: float
    fingerprint: str


class Attempt(NamedTuple):
    """One try of a request at one upstream.

    The first ``skip`` tokens, with the text ``delivered``, have been delivered already.
    """

    attempt_id: str
    unit: str
    prompt: str
    max_tokens: int
    priority: int
    skip: int
    delivered: str


class TokenEvent(NamedTuple):
    """The token at ``position`` in the whole answer, as sent by the upstream."""

    position: int
    text: str


class EndEvent(NamedTuple):
    """The stream's terminator: the whole answer has ``total`` tokens."""

    total: int


StreamEvent = TokenEvent | EndEvent
