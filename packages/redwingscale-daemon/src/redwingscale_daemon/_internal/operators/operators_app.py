"""The operators' HTTP API, which has its own port and its own token."""

from typing import Any

import cherrypy
import msgspec
from redwingscale_common.network.exchange import json_response, read_json
from redwingscale_common.utils.digests import sha256_hex

from redwingscale_daemon._internal.exceptions import PlatformError, WriteUnknown
from redwingscale_daemon._internal.leases.ownership import Ownership
from redwingscale_daemon._internal.operators.configuration_api import ConfigurationApi
from redwingscale_daemon._internal.operators.drain_requests import DrainRequests
from redwingscale_daemon._internal.operators.state_view import StateView
from redwingscale_daemon._internal.placement.move_history import MoveHistory
from redwingscale_daemon._internal.telemetry.metrics import Metrics

MAX_BODY_BYTES = 16 << 20


class DrainBody(msgspec.Struct):
    """A request to drain ``instance``."""

    instance: str


class OperatorsApp:
    """Serves the operators' HTTP API; every path but ``/metrics`` needs the operators' token."""

    def __init__(
        self,
        token_sha256: str,
        configuration: ConfigurationApi,
        view: StateView,
        drains: DrainRequests,
        moves: MoveHistory,
        ownership: Ownership,
        metrics: Metrics,
    ) -> None:
        self._token_sha256 = token_sha256
        self._configuration = configuration
        self._view = view
        self._drains = drains
        self._moves = moves
        self._ownership = ownership
        self._metrics = metrics

    @cherrypy.expose
    def default(self, *segments: str, **query: Any) -> bytes:
        """Handle a request for the path ``segments``; CherryPy calls it for every path."""
        if segments == ("metrics",):
            cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
            return self._metrics.prometheus_page()
        self._authenticate()
        try:
            return self._dispatch(segments)
        except WriteUnknown as error:
            hint = "apply the same text on the same base again: a repeat is recognised"
            message = f"it is not known whether the write took effect: {error}; {hint}"
            return json_response({"error": message, "changed": None}, 503)
        except PlatformError as error:
            message = f"the platform did not answer, nothing was changed: {error}"
            return json_response({"error": message, "changed": False}, 503)

    def _authenticate(self) -> None:
        value = cherrypy.request.headers.get("Authorization", "")
        if sha256_hex(value.removeprefix("Bearer ").encode()) != self._token_sha256:
            raise cherrypy.HTTPError(401, "the operators' token is needed")

    def _dispatch(self, segments: tuple[str, ...]) -> bytes:
        match cherrypy.request.method, segments:
            case "GET", ("status",):
                return json_response(self._view.status())
            case "GET", ("models",):
                return json_response(self._view.models())
            case "GET", ("leases",):
                return json_response(self._ownership.rows())
            case "GET", ("moves",):
                return json_response([move._asdict() for move in self._moves.recent()])
            case "GET", ("upstreams",):
                return json_response(self._view.upstreams())
            case method, ("configuration", *rest):
                response = self._configuration.dispatch(method, tuple(rest))
                if response is not None:
                    return response
            case "POST", ("drain",):
                return self._drain()
        raise cherrypy.NotFound()

    def _drain(self) -> bytes:
        body = msgspec.convert(read_json(MAX_BODY_BYTES), DrainBody)
        known = self._drains.send(body.instance)
        return json_response({"instance": body.instance, "known": known}, 202 if known else 404)
