"""Deterministic text generation: a unit and prompt always give the same answer."""

import hashlib

_SYLLABLES = (
    "ba",
    "de",
    "ki",
    "lo",
    "mu",
    "na",
    "ri",
    "so",
    "ta",
    "ve",
    "zu",
    "ha",
    "pe",
    "wi",
    "go",
    "ya",
)


def token_text(unit: str, prompt: str, index: int) -> str:
    """Return token ``index`` of the answer of ``unit`` to ``prompt``."""
    digest = hashlib.blake2b(f"{unit}\0{prompt}\0{index}".encode(), digest_size=3).digest()
    return "".join(_SYLLABLES[byte % len(_SYLLABLES)] for byte in digest) + " "


def answer_text(unit: str, prompt: str, count: int) -> str:
    """Return the whole answer of ``count`` tokens, as streamed without faults."""
    return "".join(token_text(unit, prompt, index) for index in range(count))
