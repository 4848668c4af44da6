"""The operators' HTTP interface, on its own port with its own token."""

from typing import Any

import cherrypy
import msgspec
from redwingscale_common.configuration import check_text
from redwingscale_common.network.exchange import json_response, read_json
from redwingscale_common.utils.digests import sha256_hex

from redwingscale_daemon._internal.configuration.accepted import Pointer
from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.configuration.store import ConfigurationStore, Lost
from redwingscale_daemon._internal.exceptions import PlatformError
from redwingscale_daemon._internal.operators.drain_requests import DrainRequests
from redwingscale_daemon._internal.operators.state_view import StateView
from redwingscale_daemon._internal.telemetry.metrics import Metrics

BODY_LIMIT = 16 << 20


class ApplyBody(msgspec.Struct):
    """A text to put in force in place of ``base_version``."""

    text: str
    base_version: int
    author: str = ""


class DrainBody(msgspec.Struct):
    """The instance that is to end."""

    instance: str


class OperatorsApp:
    """``/status``, ``/configuration``, ``/models``, ``/upstreams``, ``/metrics``."""

    def __init__(
        self,
        token_sha256: str,
        store: ConfigurationStore,
        current: CurrentConfiguration,
        view: StateView,
        drains: DrainRequests,
        metrics: Metrics,
    ) -> None:
        self._token_sha256 = token_sha256
        self._store = store
        self._current = current
        self._view = view
        self._drains = drains
        self._metrics = metrics

    @cherrypy.expose
    def default(self, *segments: str, **query: Any) -> bytes:
        if segments == ("metrics",):
            cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
            return self._metrics.prometheus_page()
        self._authenticate()
        try:
            return self._dispatch(segments)
        except PlatformError as error:
            return json_response({"error": f"the platform did not answer: {error}"}, 503)

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
            case "GET", ("upstreams",):
                return json_response(self._view.upstreams())
            case "GET", ("configuration",):
                return self._show()
            case "GET", ("configuration", "history"):
                return json_response([p._asdict() for p in self._store.history()])
            case "GET", ("configuration", "texts", digest):
                return json_response({"text": self._store.text(digest)})
            case "POST", ("configuration",):
                return self._apply()
            case "POST", ("drain",):
                return self._drain()
        raise cherrypy.NotFound()

    def _drain(self) -> bytes:
        body = msgspec.convert(read_json(BODY_LIMIT), DrainBody)
        known = self._drains.send(body.instance)
        return json_response({"instance": body.instance, "known": known}, 202 if known else 404)

    def _show(self) -> bytes:
        pointer = self._store.pointer()
        if pointer is None:
            return json_response({"version": 0, "text": ""})
        return json_response(pointer._asdict() | {"text": self._store.text(pointer.digest)})

    def _apply(self) -> bytes:
        body = msgspec.convert(read_json(BODY_LIMIT), ApplyBody)
        findings = check_text("configuration", body.text)
        if findings:
            return json_response({"findings": [f._asdict() for f in findings]}, 422)
        outcome = self._store.apply(body.text, body.base_version, body.author)
        match outcome:
            case Pointer():
                self._current.refresh()
                return json_response(outcome._asdict())
            case Lost(current=current):
                text = self._store.text(current.digest)
                return json_response(current._asdict() | {"text": text}, 409)
