"""The grammar of HTTP/1.1 messages (RFC 9110, section 5; RFC 9112, sections 5 and 6).

Python's parsers accept more: signs, underscores and blanks in numbers, lines that are no
fields, and a carriage return as the end of a line. Two processes that read a message
differently take other bytes for its body. All functions raise ValueError.
"""

import re
from collections.abc import Sequence

# RFC 9110, section 5.6.2.
FIELD_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_FIELD_VALUE = re.compile(_TEXT)
# More digits than any size has are refused, however large a number they are.
_LENGTH = re.compile(rb"0*[0-9]{1,15}")
_BLANKS = b" \t"


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
