"""The grammar of HTTP/1.1 messages (RFC 9110, section 5; RFC 9112, sections 2 to 7).

Python's parsers accept more: signs, underscores and blanks in numbers, lines that are no
fields, and a carriage return as the end of a line. Two processes that read a message
differently take other bytes for its body. All functions raise ValueError.
"""

import re
from collections.abc import Sequence
from typing import NamedTuple

# RFC 9110, section 5.6.2.
FIELD_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_FIELD_VALUE = re.compile(_TEXT)
_STATUS_LINE = re.compile(
    rb"(?P<version>HTTP/1\.[0-9])[ \t]+(?P<status>[1-5][0-9]{2})(?:[ \t](?P<reason>%s))?" % _TEXT
)
# More digits than any size has are refused, however large a number they are.
_LENGTH = re.compile(rb"0*[0-9]{1,15}")
_CHUNK_SIZE_LINE = re.compile(rb"(0*[0-9A-Fa-f]{1,15})[ \t]*(?:;%s)?\r\n" % _TEXT)
_BLANKS = b" \t"


class StatusLine(NamedTuple):
    """The first line of a response."""

    version: bytes
    status: int
    reason: bytes


def parse_status_line(line: bytes) -> StatusLine:
    """Return the parts of a status line, given with its end."""
    if match := _STATUS_LINE.fullmatch(_without_end(line)):
        return StatusLine(match["version"], int(match["status"]), match["reason"] or b"")
    raise ValueError(f"{line[:80]!r} is no status line")


def parse_field(line: bytes) -> tuple[bytes, bytes]:
    """Return the name and the value of a field, given as its line with its end.

    A line that is folded is refused, which RFC 9112, section 5.2, allows.
    """
    name, colon, value = _without_end(line).partition(b":")
    if not (colon and FIELD_NAME.fullmatch(name)):
        raise ValueError(f"{line[:80]!r} is no field")
    value = value.strip(_BLANKS)
    if not _FIELD_VALUE.fullmatch(value):
        raise ValueError(f"the value of {name[:40]!r} holds a control byte")
    return name, value


def parse_chunk_size(line: bytes) -> int:
    """Return the size in the line before a chunk, given with its end."""
    if match := _CHUNK_SIZE_LINE.fullmatch(line):
        return int(match[1], 16)
    raise ValueError(f"{line[:80]!r} is no size of a chunk")


def check_framing(lengths: Sequence[bytes], codings: Sequence[bytes]) -> None:
    """Check the values of Content-Length and of Transfer-Encoding in one head.

    The same length may be given twice.
    """
    if lengths and codings:
        raise ValueError("both Content-Length and Transfer-Encoding")
    if len(set(lengths)) > 1:
        raise ValueError("Content-Length has two values")
    if not all(map(_LENGTH.fullmatch, lengths)):
        raise ValueError("Content-Length is not a number")
    if codings and [coding.lower() for coding in codings] != [b"chunked"]:
        raise ValueError("Transfer-Encoding is not chunked")


def _without_end(line: bytes) -> bytes:
    """Return a line without its end, which may lack its carriage return (section 2.2)."""
    return line.removesuffix(b"\n").removesuffix(b"\r")
