"""Carries a call to a plain service and its whole answer back."""

import time
import uuid
from typing import NamedTuple

from opentelemetry.trace import Span

from redwingscale_daemon._internal.exceptions import Refusal, UpstreamError
from redwingscale_daemon._internal.routing.router import Router
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing, trace_headers
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_daemon._internal.upstreams.plain_client import (
    PlainAnswer,
    PlainCall,
    PlainClient,
)

RETRY_AFTER_NO_UPSTREAM_SECONDS = 1.0


class PlainRequest(NamedTuple):
    """A checked call; ``deadline_at`` is on the monotonic clock."""

    request_id: str
    caller: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotent: bool
    idempotency_key: str
    deadline_at: float


class PlainRelay:
    """Runs one call at one upstream."""

    def __init__(
        self,
        router: Router,
        client: PlainClient,
        in_flight: InFlight,
        tracing: Tracing,
        metrics: Metrics,
    ) -> None:
        self._router = router
        self._client = client
        self._in_flight = in_flight
        self._tracing = tracing
        self._metrics = metrics

    def run(self, request: PlainRequest, span: Span) -> PlainAnswer:
        """Return the whole answer; raise `Refusal`."""
        member = self._router.choose_plain(request.service, ())
        if member is None:
            raise Refusal(
                503,
                "no_upstream",
                f"service {request.service} has no upstream at the moment",
                retry_after_seconds=RETRY_AFTER_NO_UPSTREAM_SECONDS,
            )
        remaining = request.deadline_at - time.monotonic()
        with (
            self._in_flight.at(member.id),
            self._tracing.hop_span("attempt", span, upstream=member.id) as hop,
        ):
            self._metrics.attempts.add(1, {"upstream": member.id})
            call = PlainCall(
                attempt_id=uuid.uuid4().hex,
                method=request.method,
                path=request.path,
                headers=request.headers | trace_headers(hop),
                body=request.body,
            )
            try:
                return self._client.call(member, call, remaining)
            except UpstreamError as error:
                raise Refusal(
                    503, "upstream_failed", str(error), run=error.run, retry_after_seconds=1.0
                ) from error
