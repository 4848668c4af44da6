"""Answers in valid and in broken forms, as bytes (RFC 9110, section 5; RFC 9112)."""

from collections.abc import Callable
from typing import NamedTuple

# Frames a body.
Framing = Callable[[bytes], bytes]
_TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~09AZaz"


def plain(body: bytes) -> bytes:
    """Return a body that is not framed."""
    return body


def chunks(size: str = "{size:x}", end: str = "\r\n", last: str = "0\r\n\r\n") -> Framing:
    """Return a framing in one chunk: its ``size`` line, its ``end`` and the ``last`` chunk."""

    def frame(body: bytes) -> bytes:
        begin = size.format(size=len(body)) + "\r\n"
        return begin.encode("latin-1") + body + (end + last).encode("latin-1")

    return frame


CHUNKED = "Transfer-Encoding: chunked"
LENGTH = "Content-Length: {length}"


class AnswerForm(NamedTuple):
    """The lines that frame an answer, and how its body is written.

    ``lines`` follow the request's id and the seal; ``interim`` comes before the head.
    """

    lines: tuple[str, ...] = (LENGTH,)
    framing: Framing = plain
    status_line: str = "HTTP/1.1 200 OK"
    interim: str = ""

    def write(self, request_id: str, body: bytes, *more: str) -> bytes:
        """Return the answer to a request, with ``more`` lines in its head."""
        head = (
            self.status_line,
            f"X-Redwingscale-Request-Id: {request_id}",
            "X-Redwingscale-Response-Seal: seal",
            *more,
            *(line.format(length=len(body)) for line in self.lines),
        )
        text = self.interim + "".join(f"{line}\r\n" for line in (*head, ""))
        return text.encode("latin-1") + self.framing(body)


def _lines(*lines: str) -> AnswerForm:
    return AnswerForm(lines)


def _chunked(*lines: str) -> AnswerForm:
    return AnswerForm(lines or (CHUNKED,), chunks())


BROKEN_LENGTHS = {
    "sign": _lines("Content-Length: +{length}"),
    "minus": _lines("Content-Length: -{length}"),
    "underscore": _lines("Content-Length: 0_{length}"),
    "fraction": _lines("Content-Length: {length}.0"),
    "word": _lines("Content-Length: word"),
    "empty": _lines("Content-Length:"),
    "list": _lines("Content-Length: {length}, {length}"),
    "control-byte": _lines("Content-Length: \x0b{length}"),
    "two-lengths": _lines("Content-Length: 1", LENGTH),
    "length-and-chunks": _chunked(LENGTH, CHUNKED),
}
BROKEN_CODINGS = {
    "unknown": _chunked("Transfer-Encoding: xchunked"),
    "identity": _chunked("Transfer-Encoding: identity"),
    "list": _chunked("Transfer-Encoding: gzip, chunked"),
    "chunked-twice": _chunked("Transfer-Encoding: chunked, chunked"),
    "two-fields": _chunked("Transfer-Encoding: gzip", CHUNKED),
    "empty": _lines("Transfer-Encoding:"),
    "old-version": AnswerForm((CHUNKED,), chunks(), "HTTP/1.0 200 OK"),
}
BROKEN_LINES = {
    "no-field-before-chunks": _chunked("spoilt", CHUNKED),
    "no-field-before-a-length": _lines("spoilt", LENGTH),
    "no-name": _lines(": value", LENGTH),
    "folded": _lines(" X-Note: folded", LENGTH),
    "control-byte-in-a-value": _lines("X-Note: a\x01b", LENGTH),
    "nul-in-a-value": _lines("X-Note: a\0b", LENGTH),
    "form-feed-in-a-value": _lines("X-Note: a\x0cb", LENGTH),
    "delete-in-a-value": _lines("X-Note: a\x7fb", LENGTH),
    "length-after-a-carriage-return": _lines("X-Note: a\rContent-Length: 1"),
}
BROKEN_NAMES = {
    "blank-at-the-end": _chunked("Transfer-Encoding : chunked"),
    "tab-at-the-end": _chunked("Transfer-Encoding\t: chunked"),
    "blank-at-the-begin": _chunked(" Transfer-Encoding: chunked"),
    "blank-inside": _lines("X Odd: 1", LENGTH),
    "control-byte": _chunked("Transfer-\x01Encoding: chunked"),
    "nul": _lines("X-\0Odd: 1", LENGTH),
    "parentheses": _lines("X(Odd): 1", LENGTH),
    "brackets": _lines("X@Odd[]: 1", LENGTH),
    "not-ascii": _lines("X-\xe9: 1", LENGTH),
}
BROKEN_STATUSES = {
    text: AnswerForm(status_line=f"HTTP/1.1 {text}")
    for text in ("000 OK", "099 OK", "1000 OK", "abc OK", "600 OK", "+200 OK", "2_00 OK", "101 OK")
} | {
    "version": AnswerForm(status_line="HTTP/1.x 200 OK"),
    "control-byte": AnswerForm(status_line="HTTP/1.1 200 O\x01K"),
    "carriage-return": AnswerForm(status_line="HTTP/1.1 200 OK\rX-Note: 1"),
    "broken-interim": AnswerForm(interim="HTTP/1.1 103 Early Hints\r\nspoilt\r\n\r\n"),
}
BROKEN_CHUNKS = {
    "underscore": AnswerForm((CHUNKED,), chunks("0_{size:x}")),
    "sign": AnswerForm((CHUNKED,), chunks("+{size:x}")),
    "prefix": AnswerForm((CHUNKED,), chunks("0x{size:x}")),
    "minus": AnswerForm((CHUNKED,), chunks("-{size:x}")),
    "control-byte": AnswerForm((CHUNKED,), chunks("\x0b{size:x}")),
    "extension": AnswerForm((CHUNKED,), chunks("{size:x};a=\0")),
    "no-size": AnswerForm((CHUNKED,), chunks("")),
    "other-end": AnswerForm((CHUNKED,), chunks(end="xx")),
    "trailer": AnswerForm((CHUNKED,), chunks(last="0\r\nspoilt\r\n\r\n")),
}
BROKEN = {
    f"{kind}-{name}": form
    for kind, forms in {
        "length": BROKEN_LENGTHS,
        "coding": BROKEN_CODINGS,
        "line": BROKEN_LINES,
        "name": BROKEN_NAMES,
        "status": BROKEN_STATUSES,
        "chunk": BROKEN_CHUNKS,
    }.items()
    for name, form in forms.items()
}
_HINTS = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
VALID = {
    "length": AnswerForm(),
    "length-with-zeros": _lines("Content-Length: 000{length}"),
    "length-with-blanks": _lines("Content-Length: \t {length} \t"),
    "chunks": _chunked(),
    "chunks-in-other-letters": _chunked("tRANSFER-eNCODING: Chunked"),
    "chunks-with-blanks": _chunked("Transfer-Encoding:\tchunked "),
    "chunk-extension": AnswerForm((CHUNKED,), chunks('{size:X};a=b;c="d e"')),
    "chunk-size-with-zeros": AnswerForm((CHUNKED,), chunks("000{size:x}", last="000\r\n\r\n")),
    "trailer": AnswerForm((CHUNKED,), chunks(last="0\r\nX-Note: 1\r\nX-Empty:\r\n\r\n")),
    "end-of-the-connection": _lines(),
    "old-version": AnswerForm((), plain, "HTTP/1.0 200 OK"),
    "no-reason": AnswerForm(status_line="HTTP/1.1 200"),
    "no-reason-after-a-blank": AnswerForm(status_line="HTTP/1.1 200 "),
    "reason-with-high-bytes": AnswerForm(status_line="HTTP/1.1 200 \xe9t\xe9"),
    "values": _lines(
        "X-Empty:", "X-Blank: \t", "X-Note: \ta b\tc ", "X-High: \x80\x85\xff", LENGTH
    ),
    "all-characters-of-a-name": _lines(f"{_TOKEN_CHARACTERS}: 1", LENGTH),
    "interim-100": AnswerForm(interim="HTTP/1.1 100 Continue\r\n\r\n"),
    "interim-102-103": AnswerForm(interim="HTTP/1.1 102 Processing\r\n\r\n" + _HINTS + _HINTS),
}
