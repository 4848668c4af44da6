"""A caller's description of the prompt of a generation."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.unit import Unit


class PromptPart(NamedTuple):
    """A part of the prompt that other requests may share."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """The requested unit, the input tokens, the output limit and the parts in order.

    Upstreams first take requests of the lowest ``priority``.
    """

    unit: Unit
    tokens_in: int
    most_tokens_out: int
    parts: tuple[PromptPart, ...]
    priority: int = 0


def format_parts(prompt: Prompt | None) -> str:
    """Return the identities of the parts for a log line, ``-`` without any."""
    return ",".join(part.id for part in prompt.parts) or "-" if prompt else "-"
