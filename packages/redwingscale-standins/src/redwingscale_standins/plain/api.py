"""HTTP interface of the plain service: echoes and records each call."""

import os
import threading
import time
from typing import Any

import cherrypy
from redwingscale_common.network.exchange import json_response, read_body, read_json

from redwingscale_standins.hang import drop_connection

BODY_LIMIT = 8 << 20


class PlainApi:
    """Runs calls to any path; ``/admin/record`` lists them, ``/admin/faults`` sets switches.

    ``refuse`` answers 503 without running the call, ``slow_seconds`` delays the answer
    after the run, ``lose_reply`` drops the connection and ``crash_after_run`` ends the
    process instead of answering, ``padding_bytes`` enlarges the answer, and ``phase`` is
    the phase that ``/state`` reports.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._lock = threading.Lock()
        self._runs: list[dict[str, str]] = []
        self._faults: dict[str, Any] = {}

    @cherrypy.expose
    def default(self, *segments: str, **query: Any) -> bytes:
        """Run a call, or serve ``/admin`` and ``/state``."""
        match segments:
            case ("admin", "record"):
                return json_response(self._runs)
            case ("admin", "faults"):
                self._faults = read_json(BODY_LIMIT)
                return json_response({})
            case ("state",):
                return json_response({"phase": self._faults.get("phase", "serving")})
        return self._run("/".join(segments), read_body(BODY_LIMIT))

    def _run(self, path: str, body: bytes) -> bytes:
        if self._faults.get("refuse"):
            # By Retry-After this service states that it did not run the call.
            cherrypy.response.headers["Retry-After"] = "1"
            return json_response({"refused": True}, 503)
        headers = cherrypy.request.headers
        run = {
            "key": headers.get("Idempotency-Key", ""),
            "attempt": headers.get("X-Attempt-Id", ""),
            "path": path,
            "body": body.decode("utf-8", "replace"),
        }
        with self._lock:
            self._runs.append(run)
            number = len(self._runs)
        time.sleep(self._faults.get("slow_seconds", 0.0))
        if self._faults.get("crash_after_run"):
            os._exit(1)
        if self._faults.get("lose_reply"):
            drop_connection()
        cherrypy.response.headers["X-Attempt-Id"] = run["attempt"]
        padding = "x" * self._faults.get("padding_bytes", 0)
        return json_response(
            {"service": self._name, "number": number, "echo": run["body"], "padding": padding}
        )
