"""A row store with reads, long polls for changes, and conditional writes."""

import base64
import threading
import time
from collections import deque
from typing import Any, NamedTuple

import cherrypy
import msgspec
from redwingscale_common.network.exchange import json_response, read_json

from redwingscale_standins.hosted.row_copies import OutsideWrite, RowCopies, RowKey, RowState

BODY_LIMIT_BYTES = 1 << 20
MAX_WAIT_SECONDS = 30.0
_KEY_FIELDS = ("Table", "part", "Key")
ERA_HEADER = "Store-Era"
FIRST_ERA = 0
# Changes since a version before these writes get 410.
KEPT_WRITES = 20_000


class _Write(NamedTuple):
    """One row that transaction ``version`` wrote, encoded; ``value`` is None if it dropped it."""

    version: int
    key: RowKey
    value: str | None


class RowsApi:
    """Stores rows by table, partition and key; ``down`` makes every request fail with 503.

    Each answer to a read comes ``read_seconds`` late, with the rows as of its begin. The changes
    since a version are all writes after it, in order. `restore` brings it back from an older copy,
    which begins a new ``era``.
    """

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._rows: dict[RowKey, tuple[int, str]] = {}
        self._deleted: dict[RowKey, int] = {}
        self._writes: deque[_Write] = deque(maxlen=KEPT_WRITES)
        # Changes since an earlier version are no longer known.
        self._kept_after = 0
        self._version = 0
        self._copies = RowCopies()
        self._copies.keep(RowState({}, {}, 0))
        self.era = FIRST_ERA
        self.down = False
        self.read_seconds = 0.0

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row unconditionally, as the platform does."""
        encoded = base64.b64encode(msgspec.json.encode(value)).decode()
        with self._condition:
            self._version += 1
            self._rows[(table, "", key)] = (self._version, encoded)
            self._keep_write((table, "", key), encoded)
            self._copies.note_write((table, "", key), value)
            self._note_change()

    def remove(self, table: str, key: str) -> None:
        """Delete a row unconditionally, as the platform does."""
        with self._condition:
            self._version += 1
            self._rows.pop((table, "", key), None)
            self._deleted[(table, "", key)] = self._version
            self._keep_write((table, "", key), None)
            self._copies.note_write((table, "", key), None)
            self._note_change()

    def restore(self, seconds: float) -> list[OutsideWrite]:
        """Go back to the state of ``seconds`` ago, and give its later versions out again.

        Returns what the operator and upstreams have written since then, for `write_again`.
        """
        since = time.monotonic() - seconds
        with self._condition:
            lost = self._copies.writes_since(since)
            self._rows, self._deleted, self._version = self._copies.state_at(since)
            kept = [write for write in self._writes if write.version <= self._version]
            self._writes = deque(kept, maxlen=KEPT_WRITES)
            self.era += 1
            self._note_change()
        return lost

    def write_again(self, lost: list[OutsideWrite]) -> None:
        """Make the last one of the ``lost`` writes to each row again, in their order.

        Rows that were written since are left as they are.
        """
        for write in lost:
            with self._condition:
                if not self._copies.is_last(write):
                    continue
            table, _, key = write.key
            if write.value is None:
                self.remove(table, key)
            else:
                self.put(table, key, write.value)

    def value(self, table: str, key: str) -> Any:
        """Return the decoded value of a row, or None if there is no such row."""
        row = self._rows.get((table, "", key))
        return None if row is None else msgspec.json.decode(base64.b64decode(row[1]))

    @cherrypy.expose
    def default(self, *segments: str, **query: str) -> bytes:
        """Dispatch one request."""
        cherrypy.response.headers[ERA_HEADER] = str(self.era)
        if self.down:
            raise cherrypy.HTTPError(503)
        match cherrypy.request.method, segments:
            case "GET", ("api", "rows-get"):
                answer = self._get(query["Table"], query.get("part", ""))
                time.sleep(self.read_seconds)
                return answer
            case "GET", ("api", "rows-feed"):
                return self._feed(query["Table"], int(query["after"]), int(query["WaitMs"]))
            case "POST", ("api", "rows-tx"):
                return self._write(read_json(BODY_LIMIT_BYTES))
        raise cherrypy.NotFound()

    def _get(self, table: str, part: str) -> bytes:
        with self._condition:
            keys = [key for key in sorted(self._rows) if key[:2] == (table, part)]
            return self._respond([self._row(key) for key in keys])

    def _feed(self, table: str, after: int, wait_ms: int) -> bytes:
        deadline = time.monotonic() + min(MAX_WAIT_SECONDS, wait_ms / 1000)
        with self._condition:
            while not (changed := self._changed(table, after)):
                remaining = deadline - time.monotonic()
                if remaining <= 0 or not self._has_history(after):
                    break
                self._condition.wait(remaining)
            if not self._has_history(after):
                cherrypy.response.status = 410
            return self._respond(changed)

    def _has_history(self, after: int) -> bool:
        return self._kept_after <= after <= self._version

    def _changed(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            self._written_row(write)
            for write in self._writes
            if write.version > after and write.key[0] == table
        ]

    def _keep_write(self, key: RowKey, value: str | None) -> None:
        if len(self._writes) == KEPT_WRITES:
            self._kept_after = self._writes[0].version
        self._writes.append(_Write(self._version, key, value))

    def _write(self, body: dict[str, Any]) -> bytes:
        with self._condition:
            for expected in body["Expect"]:
                if self._rows.get(_row_key(expected), (0, ""))[0] != expected["RowVersion"]:
                    cherrypy.response.status = 412
                    return self._respond([])
            self._version += 1
            for put in body["Puts"]:
                self._rows[_row_key(put)] = (self._version, put["Value"])
                self._keep_write(_row_key(put), put["Value"])
            self._note_change()
            return self._respond([])

    def _note_change(self) -> None:
        self._copies.keep(RowState(self._rows, self._deleted, self._version))
        self._condition.notify_all()

    def _row(self, key: RowKey) -> dict[str, Any]:
        version, value = self._rows[key]
        return self._written_row(_Write(version, key, value))

    @staticmethod
    def _written_row(write: _Write) -> dict[str, Any]:
        key_fields = dict(zip(_KEY_FIELDS, write.key, strict=True))
        if write.value is None:
            return {**key_fields, "Deleted": True, "RowVersion": write.version}
        return {**key_fields, "Value": write.value, "RowVersion": write.version}

    def _respond(self, rows: list[dict[str, Any]]) -> bytes:
        status = cherrypy.response.status or 200
        # A long poll may have begun in an earlier era.
        cherrypy.response.headers[ERA_HEADER] = str(self.era)
        page = {"Rows": rows, "Truncated": False, "RowVersion": self._version, "NowMs": 0}
        return json_response(page, int(status))


def _row_key(row: dict[str, Any]) -> RowKey:
    return (row["Table"], row.get("part", ""), row["Key"])
