"""Answers stored for repeats: small ones in the claim's row, large ones as objects."""

from typing import NamedTuple

import msgspec
from redwingscale_common.utils.digests import sha256_hex

from redwingscale_daemon._internal.store.objects import Objects

MAX_IN_ROW_BYTES = 2048
OBJECT_PREFIX = "outcomes/"


class Answer(NamedTuple):
    """A complete answer of an upstream."""

    status: int
    content_type: str
    body: bytes


class InRow(msgspec.Struct, frozen=True, tag="row"):
    """An answer stored in the claim's row."""

    status: int
    content_type: str
    body: bytes


class InObject(msgspec.Struct, frozen=True, tag="object"):
    """An answer whose body is stored as the object ``object_key``."""

    status: int
    content_type: str
    object_key: str


class OutcomeStore:
    """Stores answers by size and reads them back."""

    def __init__(self, objects: Objects) -> None:
        self._objects = objects

    def put(self, answer: Answer) -> InRow | InObject:
        """Store ``answer`` and return what belongs in the row.

        Raises `PlatformUnavailable` or `WriteUnknown`. An object is keyed by the digest
        of its content, so writing it again after a lost reply changes nothing.
        """
        if len(answer.body) <= MAX_IN_ROW_BYTES:
            return InRow(*answer)
        key = OBJECT_PREFIX + sha256_hex(answer.body)
        self._objects.put(key, answer.body)
        return InObject(answer.status, answer.content_type, key)

    def get(self, stored: InRow | InObject) -> Answer:
        """Return the answer; raises `PlatformUnavailable`."""
        match stored:
            case InRow():
                return Answer(stored.status, stored.content_type, stored.body)
            case InObject():
                body = self._objects.get(stored.object_key)
                return Answer(stored.status, stored.content_type, body)
