"""The web application that serves callers."""

from collections.abc import Iterator
from typing import Any

import cherrypy
from opentelemetry.trace import Span
from redwingscale_common.configuration import Caller, Configuration, PlainService
from redwingscale_common.network.exchange import json_response, read_body
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.admission.arrival import Arrival
from redwingscale_daemon._internal.admission.gate import Gate
from redwingscale_daemon._internal.configuration.current import CurrentConfiguration
from redwingscale_daemon._internal.entry.authentication import authenticate
from redwingscale_daemon._internal.entry.generation_request import build_request, parse_body
from redwingscale_daemon._internal.entry.problem import body_refusal, problem_response
from redwingscale_daemon._internal.entry.request_headers import (
    REQUEST_ID,
    new_request_id,
    parse_headers,
)
from redwingscale_daemon._internal.entry.response_format import (
    Chat,
    Completion,
    ResponseFormat,
    stream_body,
    whole_body,
)
from redwingscale_daemon._internal.exceptions import Refusal, UpstreamError
from redwingscale_daemon._internal.idempotency.claim import ClaimKey, request_fingerprint
from redwingscale_daemon._internal.idempotency.once import Once
from redwingscale_daemon._internal.lifecycle.readiness import Readiness
from redwingscale_daemon._internal.models.generation import GenerationRequest, StreamEvent
from redwingscale_daemon._internal.relay.generation import GenerationRelay
from redwingscale_daemon._internal.relay.plain import PlainRelay, PlainRequest
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing, trace_headers

FORWARDED_HEADERS = ("Content-Type", "Accept", "Idempotency-Key")


class CallersApp:
    """Serves ``/v1/...``, ``/services/...``, ``/readyz`` and ``/healthz``."""

    def __init__(
        self,
        current: CurrentConfiguration,
        generation: GenerationRelay,
        plain: PlainRelay,
        once: Once,
        gate: Gate,
        readiness: Readiness,
        tracing: Tracing,
        metrics: Metrics,
        body_limit: int,
    ) -> None:
        self._current = current
        self._generation = generation
        self._plain = plain
        self._once = once
        self._gate = gate
        self._readiness = readiness
        self._tracing = tracing
        self._metrics = metrics
        self._body_limit = body_limit

    @cherrypy.expose
    def default(self, /, *segments: str, **query: Any) -> bytes | Iterator[bytes]:
        match segments:
            case ("healthz",):
                return json_response({"status": "up"})
            case ("readyz",):
                return self._readiness_response()
        headers = cherrypy.request.headers
        request_id = new_request_id(headers)
        cherrypy.response.headers[REQUEST_ID] = request_id
        if self._readiness.draining:
            # A persistent connection could carry the next request just as the port closes.
            cherrypy.response.headers["Connection"] = "close"
        with self._tracing.entry_span("request", headers) as span:
            cherrypy.response.headers.update(trace_headers(span))
            self._metrics.requests.add(1)
            return self._respond(segments, request_id, span)

    def _readiness_response(self) -> bytes:
        reason = self._readiness.reason()
        return json_response({"ready": not reason, "reason": reason}, 503 if reason else 200)

    def _respond(
        self, segments: tuple[str, ...], request_id: str, span: Span
    ) -> bytes | Iterator[bytes]:
        self._readiness.begin_request()
        try:
            response = self._dispatch(segments, request_id, span)
        except Refusal as refusal:
            self._finish(span)
            return self._refuse(refusal, request_id)
        except cherrypy.HTTPError as error:
            self._finish(span)
            return self._refuse(body_refusal(error), request_id)
        except BaseException:
            self._finish(span)
            raise
        if isinstance(response, bytes):
            self._finish(span)
            return response
        cherrypy.response.stream = True
        return self._stream_to_end(response, request_id, span)

    def _stream_to_end(self, body: Iterator[bytes], request_id: str, span: Span) -> Iterator[bytes]:
        # An error raised in mid-stream leaves the chunked body without its terminator, so
        # the caller sees a truncated response and never a short one that looks complete.
        try:
            yield from body
        except UpstreamError as error:
            log_event("stream_cut", level="WARNING", request=request_id, error=error)
            raise
        finally:
            self._finish(span)

    def _finish(self, span: Span) -> None:
        span.end()
        self._readiness.end_request()

    def _refuse(self, refusal: Refusal, request_id: str) -> bytes:
        self._metrics.refusals.add(1, {"code": refusal.code})
        log_event("refused", request=request_id, code=refusal.code, run=refusal.run)
        return problem_response(refusal, request_id)

    def _dispatch(
        self, segments: tuple[str, ...], request_id: str, span: Span
    ) -> bytes | Iterator[bytes]:
        accepted = self._current.get()
        if accepted is None:
            raise Refusal(503, "no_configuration", "none is known yet", retry_after_seconds=1.0)
        configuration = accepted.configuration
        caller = authenticate(configuration, cherrypy.request.headers)
        match cherrypy.request.method, segments:
            case "GET", ("v1", "models"):
                return _list_models(configuration, caller)
            case "POST", ("v1", "chat", "completions"):
                return self._complete(Chat(), configuration, caller, request_id, span)
            case "POST", ("v1", "completions"):
                return self._complete(Completion(), configuration, caller, request_id, span)
            case _, ("services", name, *path):
                return self._call_service(configuration, caller, name, path, request_id, span)
        raise Refusal(404, "path_unknown", "/".join(("", *segments)))

    def _complete(
        self,
        response_format: ResponseFormat,
        configuration: Configuration,
        caller: Caller,
        request_id: str,
        span: Span,
    ) -> bytes | Iterator[bytes]:
        headers = cherrypy.request.headers
        raw = read_body(self._body_limit)
        body = parse_body(raw, chat=isinstance(response_format, Chat))
        request = build_request(body, configuration, caller, headers, request_id)
        self._generation.note_arrival(request)
        events = self._admit(_arrival(request, caller), request, raw, span)
        if body.stream:
            cherrypy.response.headers["Content-Type"] = "text/event-stream"
            return stream_body(response_format, request, events)
        cherrypy.response.headers["Content-Type"] = "application/json"
        return self._collect(response_format, request, events)

    def _admit(
        self, arrival: Arrival, request: GenerationRequest, raw: bytes, span: Span
    ) -> Iterator[StreamEvent]:
        ticket = self._gate.enter(arrival)
        try:
            events = self._run_once(request, raw, span)
        except BaseException:
            self._gate.leave(ticket)
            raise
        return self._gate.leave_after(ticket, events)

    def _run_once(
        self, request: GenerationRequest, raw: bytes, span: Span
    ) -> Iterator[StreamEvent]:
        if request.idempotent or not request.idempotency_key:
            return self._generation.run(request, span)
        return self._once.stream(
            ClaimKey(request.caller, request.service, request.idempotency_key),
            request_fingerprint("POST", cherrypy.request.path_info, raw),
            request.deadline_at,
            lambda: self._generation.run(request, span),
        )

    def _collect(
        self, response_format: ResponseFormat, request: Any, events: Iterator[Any]
    ) -> bytes:
        try:
            return whole_body(response_format, request, events)
        except UpstreamError as error:
            raise Refusal(
                502, "upstream_failed", str(error), run=error.run, retry_after_seconds=1.0
            ) from error

    def _call_service(
        self,
        configuration: Configuration,
        caller: Caller,
        name: str,
        path: list[str],
        request_id: str,
        span: Span,
    ) -> bytes:
        service = configuration.services_by_name.get(name)
        if not isinstance(service, PlainService) or caller.name not in service.callers:
            raise Refusal(404, "service_unknown", f"no service {name!r}")
        headers = cherrypy.request.headers
        deadline = min(service.deadline_seconds, caller.deadline_seconds)
        control = parse_headers(headers, request_id, deadline, idempotent=service.idempotent)
        request = PlainRequest(
            request_id=request_id,
            caller=caller.name,
            service=name,
            method=cherrypy.request.method,
            path=_target(path),
            headers={key: headers[key] for key in FORWARDED_HEADERS if key in headers},
            body=read_body(self._body_limit),
            idempotent=control.idempotent,
            idempotency_key=control.idempotency_key,
            deadline_at=control.deadline_at,
        )
        arrival = Arrival(caller.name, caller.share, service.priority, "", 1, request.deadline_at)
        with self._gate.admitted(arrival):
            response = self._plain.run(request, span)
        cherrypy.response.status = response.status
        cherrypy.response.headers["Content-Type"] = response.content_type
        return response.body


def _arrival(request: GenerationRequest, caller: Caller) -> Arrival:
    return Arrival(
        caller=caller.name,
        share=caller.share,
        priority=request.priority,
        unit=str(request.unit),
        max_tokens=request.max_tokens,
        deadline_at=request.deadline_at,
    )


def _list_models(configuration: Configuration, caller: Caller) -> bytes:
    listed = [
        {"id": name, "object": "model", "owned_by": configuration.deployment}
        for name in configuration.models_by_name
        if configuration.model_services(caller.name, name)
    ]
    return json_response({"object": "list", "data": listed})


def _target(segments: list[str]) -> str:
    query = cherrypy.request.query_string
    return "/" + "/".join(segments) + (f"?{query}" if query else "")
