"""Carries a generation request to an engine and its tokens back."""

import uuid
from collections.abc import Iterator
from itertools import chain

from opentelemetry.trace import Span

from redwingscale_daemon._internal.exceptions import Refusal, StreamBroken, UpstreamError
from redwingscale_daemon._internal.models.generation import (
    Attempt,
    EndEvent,
    GenerationRequest,
    StreamEvent,
    TokenEvent,
)
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.routing.router import Router
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing, trace_headers
from redwingscale_daemon._internal.upstreams.engine_client import EngineClient
from redwingscale_daemon._internal.upstreams.in_flight import InFlight

RETRY_AFTER_NO_ENGINE_SECONDS = 1.0


class GenerationRelay:
    """Runs one request at one engine."""

    def __init__(
        self,
        router: Router,
        client: EngineClient,
        in_flight: InFlight,
        tracing: Tracing,
        metrics: Metrics,
    ) -> None:
        self._router = router
        self._client = client
        self._in_flight = in_flight
        self._tracing = tracing
        self._metrics = metrics

    def run(self, request: GenerationRequest, span: Span) -> Iterator[StreamEvent]:
        """Return the tokens of ``request``; the first one has already arrived.

        Raises `Refusal` before the first token, `StreamBroken` after it.
        """
        events = self._attempt(request, span)
        try:
            first = next(events)
        except UpstreamError as error:
            raise Refusal(
                503, "upstream_failed", str(error), run=error.run, retry_after_seconds=1.0
            ) from error
        return chain([first], events)

    def _attempt(self, request: GenerationRequest, span: Span) -> Iterator[StreamEvent]:
        view = self._router.choose_engine(str(request.unit), ())
        if view is None:
            raise Refusal(
                503,
                "not_resident",
                f"{request.unit} is resident nowhere at the moment",
                retry_after_seconds=RETRY_AFTER_NO_ENGINE_SECONDS,
            )
        attempt = _new_attempt(request)
        engine = view.member
        with (
            self._in_flight.at(engine.id),
            self._tracing.hop_span("attempt", span, upstream=engine.id) as hop,
        ):
            self._metrics.attempts.add(1, {"upstream": engine.id})
            yield from self._checked(engine, attempt, trace_headers(hop))

    def _checked(
        self, engine: EngineMember, attempt: Attempt, headers: dict[str, str]
    ) -> Iterator[StreamEvent]:
        expected = attempt.skip
        for event in self._client.stream(engine, attempt, headers):
            match event:
                case TokenEvent(position=position) if position != expected:
                    detail = f"token {position} in place of {expected}"
                    raise StreamBroken(engine.id, detail, run=RunState.UNKNOWN)
                case TokenEvent():
                    expected += 1
                case EndEvent(total=total) if total != expected:
                    detail = f"ended with {total} tokens, {expected} arrived"
                    raise StreamBroken(engine.id, detail, run=RunState.UNKNOWN)
            yield event


def _new_attempt(request: GenerationRequest) -> Attempt:
    return Attempt(
        attempt_id=uuid.uuid4().hex,
        unit=str(request.unit),
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        priority=request.priority,
        skip=0,
        delivered="",
    )
