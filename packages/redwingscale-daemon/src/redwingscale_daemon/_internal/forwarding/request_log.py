"""What is logged of each request from its arrival to its end."""

import time
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import CallerLeft, Refusal
from redwingscale_daemon._internal.fleet.prompt import format_parts
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.envelope import Envelope
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.ingress.ingress_request import IngressRequest
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests
from redwingscale_daemon._internal.routes.route import Route
from redwingscale_daemon._internal.telemetry.ingress_metrics import IngressMetrics
from redwingscale_daemon._internal.workspaces.workspace import Workspace

# Characters of an id that its caller may have made up.
MAX_LOGGED_ID = 64


class RequestLog(NamedTuple):
    """Logs the lines that `trace` shows of a request, and counts its end."""

    open_requests: OpenRequests
    metrics: IngressMetrics

    def received(self, request: IngressRequest, terms: Terms) -> None:
        """Log when a request came, if the instance is stopping."""
        if not self.open_requests.draining:
            return
        now = time.monotonic()
        log_event(
            "received_in_stop",
            request=terms.request_id,
            stop_age=round(now - self.open_requests.drained_since, 3),
            head_age=round(now - request.arrived_at, 3),
            connection_age=round(now - request.connection.accepted_at, 3),
            requests_before=request.connection.requests - 1,
        )

    def routed(
        self,
        terms: Terms,
        route: Route,
        workspace: Workspace | None,
        service: str,
        version: int,
        passed_on: Envelope | None,
        limit_seconds: float,
    ) -> None:
        """Log the service of a request, in this ``version`` of the configuration."""
        log_event(
            "routed",
            request=terms.request_id,
            route=route.name,
            workspace=workspace.name if workspace else "-",
            service=service,
            configuration=version,
            unit=terms.prompt.unit if terms.prompt else "-",
            tokens=_format_tokens(terms),
            parts=format_parts(terms.prompt),
            passed_on_by=passed_on.instance if passed_on else "-",
            limit=round(limit_seconds, 3),
            resumes=terms.resumed_request[:MAX_LOGGED_ID] if terms.resumed_request else "-",
            after_event="-" if terms.last_event is None else terms.last_event,
        )

    def left(
        self, request: IngressRequest, terms: Terms, call: Call | None, error: CallerLeft
    ) -> None:
        """Log and count a request whose caller has left."""
        self.metrics.record_request(request, "caller_left")
        log_event("caller_left", request=terms.request_id, route=_route_name(call), detail=error)

    def ended(
        self,
        request: IngressRequest,
        terms: Terms,
        call: Call | None,
        refusal: Refusal | None,
        status: int = 0,
    ) -> None:
        """Log and count a request that was answered or refused."""
        attempts = call.attempts if call else None
        if attempts is not None:
            self.metrics.record_resumptions(
                by_caller=terms.last_event is not None, software=attempts.software
            )
        seconds = self.metrics.record_request(request, refusal.code if refusal else "answered")
        log_event(
            "request_ended",
            request=terms.request_id,
            route=_route_name(call),
            status=refusal.status if refusal else status,
            outcome=refusal.code if refusal else "answered",
            run=refusal.run if refusal else "run",
            detail=refusal.detail if refusal else "",
            sendings=attempts.count if attempts else "-",
            history=";".join(attempts.history) if attempts else "",
            software=",".join(attempts.software) or "-" if attempts else "-",
            first_event=_format_seconds(attempts.first_event_seconds if attempts else None),
            longest_gap=_format_seconds(attempts.longest_gap_seconds if attempts else None),
            seconds=round(seconds, 4),
        )


def _format_seconds(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds:.4f}"


def _format_tokens(terms: Terms) -> str:
    prompt = terms.prompt
    return f"{prompt.tokens_in}+{prompt.most_tokens_out}" if prompt else "-"


def _route_name(call: Call | None) -> str:
    return call.route.name if call else "-"
