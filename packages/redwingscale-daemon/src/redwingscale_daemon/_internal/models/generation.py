"""A checked request for generated text."""

from typing import NamedTuple

from redwingscale_common.configuration import Unit


class GenerationRequest(NamedTuple):
    """What a caller asked for; ``deadline_at`` is on the monotonic clock."""

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
    """One try of a request at one upstream; ``skip`` tokens are already delivered."""

    attempt_id: str
    unit: str
    prompt: str
    max_tokens: int
    priority: int
    skip: int
    delivered: str


class TokenEvent(NamedTuple):
    """Token ``position`` of the whole answer, as the attempt's upstream sent it."""

    position: int
    text: str


class EndEvent(NamedTuple):
    """The stream's terminator: the whole answer has ``total`` tokens."""

    total: int


StreamEvent = TokenEvent | EndEvent
