"""The row store: reads, waiting reads of changes, conditional writes."""

import base64
import threading
import time
from typing import Any

import cherrypy
import msgspec
from redwingscale_common.network.exchange import json_response, read_json

BODY_LIMIT = 1 << 20
MOST_WAIT_SECONDS = 30.0
_HEAD_FIELDS = ("Table", "part", "Key")

Place = tuple[str, str, str]


class RowsApi:
    """Rows by table, partition and key; ``down`` makes every call fail with 503."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._rows: dict[Place, tuple[int, str]] = {}
        self._dropped: dict[Place, int] = {}
        self._version = 0
        self.down = False

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the platform itself does."""
        encoded = base64.b64encode(msgspec.json.encode(value)).decode()
        with self._condition:
            self._version += 1
            self._rows[(table, "", key)] = (self._version, encoded)
            self._condition.notify_all()

    def remove(self, table: str, key: str) -> None:
        """Drop a row as the platform itself does."""
        with self._condition:
            self._version += 1
            self._rows.pop((table, "", key), None)
            self._dropped[(table, "", key)] = self._version
            self._condition.notify_all()

    def value(self, table: str, key: str) -> Any:
        """Return a row's value, None without one."""
        row = self._rows.get((table, "", key))
        return None if row is None else msgspec.json.decode(base64.b64decode(row[1]))

    @cherrypy.expose
    def default(self, *segments: str, **query: str) -> bytes:
        """Dispatch one call."""
        if self.down:
            raise cherrypy.HTTPError(503)
        match cherrypy.request.method, segments:
            case "GET", ("api", "rows-get"):
                return self._get(query["Table"], query.get("part", ""))
            case "GET", ("api", "rows-feed"):
                return self._feed(query["Table"], int(query["after"]), int(query["WaitMs"]))
            case "POST", ("api", "rows-tx"):
                return self._write(read_json(BODY_LIMIT))
        raise cherrypy.NotFound()

    def _get(self, table: str, part: str) -> bytes:
        with self._condition:
            found = [place for place in sorted(self._rows) if place[:2] == (table, part)]
            return self._page([self._row(place) for place in found])

    def _feed(self, table: str, after: int, wait_ms: int) -> bytes:
        deadline = time.monotonic() + min(MOST_WAIT_SECONDS, wait_ms / 1000)
        with self._condition:
            while not (changed := self._changed(table, after)):
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                self._condition.wait(left)
            return self._page(changed)

    def _changed(self, table: str, after: int) -> list[dict[str, Any]]:
        written = [p for p, (version, _) in self._rows.items() if version > after]
        gone = [p for p, version in self._dropped.items() if version > after]
        rows = [self._row(p) for p in written if p[0] == table]
        rows += [
            {**dict(zip(_HEAD_FIELDS, p, strict=True)), "Deleted": True}
            for p in gone
            if p[0] == table
        ]
        return rows

    def _write(self, body: dict[str, Any]) -> bytes:
        with self._condition:
            for expected in body["Expect"]:
                if self._rows.get(_place(expected), (0, ""))[0] != expected["RowVersion"]:
                    cherrypy.response.status = 412
                    return self._page([])
            self._version += 1
            for put in body["Puts"]:
                self._rows[_place(put)] = (self._version, put["Value"])
            self._condition.notify_all()
            return self._page([])

    def _row(self, place: Place) -> dict[str, Any]:
        version, value = self._rows[place]
        head = dict(zip(_HEAD_FIELDS, place, strict=True))
        return {**head, "Value": value, "RowVersion": version}

    def _page(self, rows: list[dict[str, Any]]) -> bytes:
        status = cherrypy.response.status or 200
        page = {"Rows": rows, "Truncated": False, "RowVersion": self._version, "NowMs": 0}
        return json_response(page, int(status))


def _place(row: dict[str, Any]) -> Place:
    return (row["Table"], row.get("part", ""), row["Key"])
