"""HTTP interface of the platform stand-in."""

from typing import Any

import cherrypy
import msgspec
from redwingscale_common.network.exchange import json_response, read_body, read_json

from redwingscale_standins.platform.faults import PlatformFaults
from redwingscale_standins.platform.listing import Listing
from redwingscale_standins.platform.table import Table, Transaction
from redwingscale_standins.platform.weights import WeightStore

BODY_LIMIT = 64 << 20
SENDER_HEADER = "X-Sender"


class PlatformApi:
    """Routes ``/table``, ``/objects``, ``/members``, ``/weights`` and ``/admin``."""

    def __init__(self, weights: WeightStore) -> None:
        self._faults = PlatformFaults()
        self._table = Table()
        self._objects: dict[str, bytes] = {}
        self._listing = Listing()
        self._weights = weights

    @cherrypy.expose
    def default(self, *segments: str, **query: Any) -> bytes:
        """Dispatch a request to one of the platform's services or to the admin interface."""
        match segments:
            case ("admin", *rest):
                return self._admin(rest)
            case ("weights",):
                self._weights.read(int(query["size_bytes"]))
                return json_response({})
        self._faults.before(cherrypy.request.headers.get(SENDER_HEADER, ""))
        match cherrypy.request.method, segments:
            case "GET", ("table", "rows"):
                keys = query.get("key", [])
                return json_response(self._table.read([keys] if isinstance(keys, str) else keys))
            case "GET", ("table", "scan"):
                return json_response(self._table.scan(query["prefix"]))
            case "POST", ("table", "transactions"):
                return self._commit()
            case "PUT", ("objects", *path):
                return self._put_object("/".join(path))
            case "GET", ("objects", *path):
                return self._get_object("/".join(path))
            case "GET", ("members",):
                return json_response(self._listing.read(self._faults.list_lag_seconds))
        raise cherrypy.NotFound()

    def _commit(self) -> bytes:
        transaction = msgspec.convert(read_json(BODY_LIMIT), Transaction)
        done, rows = self._table.commit(transaction)
        if done:
            self._faults.after_write()
        return json_response(rows, 200 if done else 409)

    def _put_object(self, key: str) -> bytes:
        self._objects[key] = read_body(BODY_LIMIT)
        self._faults.after_write()
        return json_response({})

    def _get_object(self, key: str) -> bytes:
        if key not in self._objects:
            raise cherrypy.NotFound()
        return self._objects[key]

    def _admin(self, path: list[str]) -> bytes:
        match cherrypy.request.method, path:
            case "POST", ["faults"]:
                self._faults.update(read_json(BODY_LIMIT))
            case "PUT", ["members"]:
                self._listing.put(read_json(BODY_LIMIT))
            case "DELETE", ["members", member_id]:
                self._listing.remove(member_id)
            case "GET", ["counts"]:
                return json_response(
                    {
                        "reads": self._table.reads,
                        "writes": self._table.writes,
                        "loads": self._weights.loads,
                        "most_active_loads": self._weights.most_active,
                    }
                )
            case _:
                raise cherrypy.NotFound()
        return json_response({})
