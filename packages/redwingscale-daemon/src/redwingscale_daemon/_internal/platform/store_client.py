"""HTTP client of the platform's row store."""

import base64
import binascii
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec
import urllib3
from redwingscale_common.utils.logs import log_event
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from redwingscale_daemon._internal.exceptions import (
    EraChanged,
    HistoryGone,
    PlatformUnavailable,
    WriteUnknown,
)
from redwingscale_daemon._internal.store.rows import RowKey, Snapshot, StoredRow
from redwingscale_daemon._internal.store.store_eras import UNTOLD_ERA, StoreEras
from redwingscale_daemon._internal.store.store_version import StoreVersion
from redwingscale_daemon._internal.utils.bounded_answers import StoreAnswerPool
from redwingscale_daemon._internal.utils.documents import Integer, decode_json
from redwingscale_daemon._internal.utils.numbers import parse_number

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_ERA_HEADER = "Store-Era"
_ERA_SOURCE = "store"
# Statuses of requests that the store refused without any effect.
_REFUSED = frozenset({403, 429, 503, 507})
# An answer usually takes 4 to 9 ms; a silent connection times out after this.
ANSWER_SECONDS = 0.8
CONNECT_SECONDS = 0.5
# How much longer than the requested wait the answer to a long poll may take.
FEED_MARGIN_SECONDS = 0.5
_MAX_PAGES = 20


class _Row(msgspec.Struct, rename="pascal"):
    table: str = ""
    # The only lower-case names among the row's fields.
    part: str = msgspec.field(default="", name="part")
    key: str = ""
    value: str = ""
    row_version: Integer = 0
    deleted: bool = False


class _Rows(msgspec.Struct, rename="pascal"):
    rows: list[_Row] = []
    truncated: bool = False
    row_version: Integer = 0


class _Answer(NamedTuple):
    status: int
    body: bytes
    era: int


class StoreClient:
    """Implements `RowStore`; connections are reused, and no request is retried.

    An answer without an end is given up, and counts as one that did not come.
    An answer from before the newest era in ``eras`` counts as none.
    """

    def __init__(
        self,
        host: str,
        port: int,
        eras: StoreEras | None = None,
        answer_seconds: float = ANSWER_SECONDS,
    ) -> None:
        self._eras = eras or StoreEras()
        self._timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=answer_seconds)
        self._pool = StoreAnswerPool(
            host,
            port,
            maxsize=4,
            retries=False,
        )

    def read(self, table: str, partition: str) -> Snapshot:
        """See `RowStore.read`."""
        found: list[StoredRow] = []
        start = ""
        # The version of the first page: rows written between two pages may be missing.
        version: StoreVersion | None = None
        for _ in range(_MAX_PAGES):
            page, era = self._page(table, partition, start)
            found.extend(_stored_row(row, era) for row in page.rows)
            version = StoreVersion(era, page.row_version) if version is None else version
            if version.era != era:
                raise EraChanged(f"table {table!r} was read in eras {version.era} and {era}")
            if not page.truncated or not page.rows:
                return Snapshot(tuple(found), version)
            # The range includes its first key: continue at the next possible one.
            start = page.rows[-1].key + "\x00"
        raise PlatformUnavailable(f"table {table!r} has more than {_MAX_PAGES} pages")

    def changes(self, table: str, after: StoreVersion, wait_seconds: float) -> Snapshot:
        """See `RowStore.changes`."""
        query = {"Table": table, "after": after.number, "WaitMs": int(wait_seconds * 1000)}
        timeout = urllib3.Timeout(connect=CONNECT_SECONDS, read=wait_seconds + FEED_MARGIN_SECONDS)
        body, era = self._get(f"/api/rows-feed?{urlencode(query)}", timeout)
        page = _decode(body)
        if era != after.era:
            # Rows may have been written under numbers up to this one that are new there.
            raise EraChanged(f"changes since {after} were asked for in era {era}")
        rows = tuple(_stored_row(row, era) for row in page.rows)
        return Snapshot(rows, StoreVersion(era, page.row_version))

    def write(self, key: RowKey, value: bytes, expected: StoreVersion) -> StoreVersion | None:
        """See `RowStore.write`."""
        row_key = {"Table": key.table, "part": key.partition, "Key": key.key}
        body = {
            "Expect": [{**row_key, "RowVersion": expected.number}],
            "Puts": [{**row_key, "Value": base64.b64encode(value).decode()}],
            "Remove": [],
        }
        answer = self._send("POST", "/api/rows-tx", msgspec.json.encode(body), None)
        if answer.status not in (_OK, _PRECONDITION_FAILED):
            raise _failure(answer)
        if answer.era != expected.era:
            # The number of the condition may have been given out again, to another's write.
            raise EraChanged(f"{expected} was expected in era {answer.era}")
        if answer.status == _PRECONDITION_FAILED:
            return None
        return StoreVersion(answer.era, _decode(answer.body).row_version)

    def _page(self, table: str, partition: str, start: str) -> tuple[_Rows, int]:
        query = {"Table": table, "part": partition} | ({"From": start} if start else {})
        body, era = self._get(f"/api/rows-get?{urlencode(query)}", None)
        return _decode(body), era

    def _get(self, target: str, timeout: urllib3.Timeout | None) -> tuple[bytes, int]:
        try:
            answer = self._send("GET", target, b"", timeout)
        except WriteUnknown as error:
            raise PlatformUnavailable(str(error)) from error
        if answer.status == _GONE:
            raise HistoryGone(target)
        if answer.status != _OK:
            raise PlatformUnavailable(f"unexpected status {answer.status}")
        return answer.body, answer.era

    def _send(
        self, method: str, target: str, body: bytes, timeout: urllib3.Timeout | None
    ) -> _Answer:
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            response = self._pool.request(
                method,
                target,
                body=body or None,
                headers=headers,
                redirect=False,
                timeout=timeout or self._timeout,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise PlatformUnavailable(repr(error)) from error
        except HTTPError as error:
            raise WriteUnknown(repr(error)) from error
        answer = _Answer(response.status, response.data, _era(response))
        self._eras.note(answer.era, _ERA_SOURCE)
        if answer.era < self._eras.newest:
            log_event(
                "store_answer_outdated",
                level="WARNING",
                call=target.partition("?")[0],
                era=answer.era,
                known=self._eras.newest,
            )
            raise WriteUnknown(f"an answer of era {answer.era}")
        return answer


def _era(response: urllib3.BaseHTTPResponse) -> int:
    era = parse_number(response.headers.get(_ERA_HEADER, ""))
    return UNTOLD_ERA if era is None else era


def _failure(answer: _Answer) -> PlatformUnavailable | WriteUnknown:
    detail = f"status {answer.status}: {answer.body[:200]!r}"
    return PlatformUnavailable(detail) if answer.status in _REFUSED else WriteUnknown(detail)


def _decode(body: bytes) -> _Rows:
    try:
        return decode_json(body, _Rows)
    except msgspec.DecodeError as error:
        raise PlatformUnavailable(f"the answer does not contain rows: {error}") from error


def _stored_row(row: _Row, era: int) -> StoredRow:
    key = RowKey(row.table, row.part, row.key)
    version = StoreVersion(era, row.row_version)
    if row.deleted:
        return StoredRow(key, version, None)
    try:
        return StoredRow(key, version, base64.b64decode(row.value, validate=True))
    except binascii.Error:
        # An empty value: its decoder reports the error, and the other rows stay usable.
        return StoredRow(key, version, b"")
