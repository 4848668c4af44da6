"""Rejects request heads whose framing two parsers could read differently."""

from typing import Any

from cheroot.server import HeaderReader
from redwingscale_common.network.grammar import FIELD_NAME, check_framing

_CONTENT_LENGTH = b"Content-Length"
_TRANSFER_ENCODING = b"Transfer-Encoding"
# If one of these came twice, this server and an upstream could use different values, and
# the upstream would run the rest of one request as a second one.
_ONLY_ONCE = frozenset({_CONTENT_LENGTH, _TRANSFER_ENCODING, b"Host"})


class _OnceOnly(dict[bytes, bytes]):
    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in _ONLY_ONCE and name in self:
            raise ValueError(f"{name.decode()} is sent twice")
        super().__setitem__(name, value)


class _UnfoldedLines:
    """Rejects continuation lines, which the server's reader takes as the whole value."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream

    def readline(self) -> bytes:
        line: bytes = self._stream.readline()
        if line[:1] in (b" ", b"\t"):
            raise ValueError("a header is folded over two lines")
        return line


class StrictHeaderReader(HeaderReader):
    """Raises ValueError, which the server answers with 400, for an ambiguous head.

    The server's own reader accepts a length together with chunks, a space before the
    colon, and a length with a sign. Each allows request smuggling: a caller hides a
    request in the body of another one.
    """

    def __call__(
        self, rfile: object, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        headers: dict[bytes, bytes] = _OnceOnly()
        super().__call__(_UnfoldedLines(rfile), headers)
        _check_framing(headers)
        if hdict is None:
            return headers
        hdict.update(headers)
        return hdict

    def _transform_key(self, key_name: bytes) -> bytes:
        if not FIELD_NAME.fullmatch(key_name):
            raise ValueError(f"{key_name[:40]!r} is not a header name")
        return bytes(key_name.title())


def _check_framing(headers: dict[bytes, bytes]) -> None:
    check_framing(
        [headers[_CONTENT_LENGTH]] if _CONTENT_LENGTH in headers else [],
        [headers[_TRANSFER_ENCODING]] if _TRANSFER_ENCODING in headers else [],
    )
