"""An accepted version of the operators' text."""

from typing import NamedTuple

from redwingscale_common.configuration import Configuration


class Pointer(NamedTuple):
    """Which text is in force: its version, which only rises, and its digest."""

    version: int
    digest: str
    author: str
    at: str


class VersionedText(NamedTuple):
    """A version with its text, as the platform or a peer gave it."""

    pointer: Pointer
    text: str


class Accepted(NamedTuple):
    """A version in force at this instance, with its text and typed form."""

    pointer: Pointer
    text: str
    configuration: Configuration
