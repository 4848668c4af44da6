"""An accepted version of the configuration text."""

from typing import NamedTuple

from redwingscale_common.configuration import Configuration


class Pointer(NamedTuple):
    """An accepted text, by its version, which only rises, and its digest."""

    version: int
    digest: str
    author: str
    at: str


class VersionedText(NamedTuple):
    """A version with its text, as received from the platform or a peer."""

    pointer: Pointer
    text: str


class Accepted(NamedTuple):
    """A version in force at this instance, with its text and its parsed form."""

    pointer: Pointer
    text: str
    configuration: Configuration
