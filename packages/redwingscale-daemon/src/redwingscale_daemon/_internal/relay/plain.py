"""Relays calls to plain services."""

import time
import uuid
from typing import NamedTuple

from opentelemetry.trace import Span

from redwingscale_daemon._internal.exceptions import Refusal, UpstreamError
from redwingscale_daemon._internal.idempotency.claim import ClaimKey, request_fingerprint
from redwingscale_daemon._internal.idempotency.once import Once
from redwingscale_daemon._internal.idempotency.outcome import Answer
from redwingscale_daemon._internal.models.member import PlainMember
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.relay.retry_budget import RetryBudget
from redwingscale_daemon._internal.routing.router import Router
from redwingscale_daemon._internal.telemetry.metrics import Metrics
from redwingscale_daemon._internal.telemetry.tracing import Tracing, trace_headers
from redwingscale_daemon._internal.upstreams.in_flight import InFlight
from redwingscale_daemon._internal.upstreams.plain_client import (
    PlainAnswer,
    PlainCall,
    PlainClient,
)
from redwingscale_daemon._internal.upstreams.plain_state import PlainStates

RETRY_AFTER_NO_UPSTREAM_SECONDS = 1.0
RETRY_AFTER_FAILURE_SECONDS = 1.0
MAX_ATTEMPTS = 3
# How long a claimed call may run past its caller's deadline, so that a repeat can get
# its outcome.
CLAIMED_GRACE_SECONDS = 60.0


class PlainRequest(NamedTuple):
    """A validated call; ``deadline_at`` is on the monotonic clock."""

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
    """Relays calls; one that must not run twice is not sent again once it may have run."""

    def __init__(
        self,
        router: Router,
        client: PlainClient,
        in_flight: InFlight,
        states: PlainStates,
        once: Once,
        budget: RetryBudget,
        tracing: Tracing,
        metrics: Metrics,
    ) -> None:
        self._router = router
        self._client = client
        self._in_flight = in_flight
        self._states = states
        self._once = once
        self._budget = budget
        self._tracing = tracing
        self._metrics = metrics

    def run(self, request: PlainRequest, span: Span) -> PlainAnswer:
        """Return the complete answer; raises `Refusal`."""
        if request.idempotent or not request.idempotency_key:
            return self._send(request, span, grace_seconds=0.0)
        # Without an upstream no claim is made, as it would be released at once.
        if self._choose(request, []) is None:
            raise _no_upstream_refusal(request)
        key = ClaimKey(request.caller, request.service, request.idempotency_key)
        fingerprint = request_fingerprint(request.method, request.path, request.body)
        answer = self._once.call(
            key, fingerprint, request.deadline_at, lambda: self._answer(request, span)
        )
        return PlainAnswer(*answer)

    def _answer(self, request: PlainRequest, span: Span) -> Answer:
        return Answer(*self._send(request, span, grace_seconds=CLAIMED_GRACE_SECONDS))

    def _send(self, request: PlainRequest, span: Span, *, grace_seconds: float) -> PlainAnswer:
        """Send to one upstream after another until one answers or no retry is allowed."""
        failures: list[UpstreamError] = []
        while (member := self._next_member(request, failures)) is not None:
            try:
                answer = self._attempt(member, request, span, grace_seconds)
            except UpstreamError as error:
                failures.append(error)
                continue
            self._budget.note_success()
            return answer
        raise _failure_refusal(request, failures) if failures else _no_upstream_refusal(request)

    def _next_member(
        self, request: PlainRequest, failures: list[UpstreamError]
    ) -> PlainMember | None:
        repeatable = request.idempotent or _combined_run_state(failures) is RunState.NOT_RUN
        late = bool(failures) and time.monotonic() >= request.deadline_at
        if not repeatable or late or len(failures) >= MAX_ATTEMPTS:
            return None
        member = self._choose(request, failures)
        # The budget is taken last: a call that cannot be retried must not use it up.
        if member is None or (failures and not self._budget.take()):
            return None
        return member

    def _choose(self, request: PlainRequest, failures: list[UpstreamError]) -> PlainMember | None:
        excluded = {e.upstream for e in failures}.union(self._states.leaving(request.service))
        return self._router.choose_plain(request.service, excluded)

    def _attempt(
        self, member: PlainMember, request: PlainRequest, span: Span, grace_seconds: float
    ) -> PlainAnswer:
        remaining = request.deadline_at - time.monotonic() + grace_seconds
        with (
            self._in_flight.track(member.id),
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
            return self._client.call(member, call, remaining)


def _combined_run_state(failures: list[UpstreamError]) -> RunState:
    """Return NOT_RUN if no failed attempt can have run the call, else UNKNOWN."""
    certain = all(error.run is RunState.NOT_RUN for error in failures)
    return RunState.NOT_RUN if certain else RunState.UNKNOWN


def _failure_refusal(request: PlainRequest, failures: list[UpstreamError]) -> Refusal:
    run = _combined_run_state(failures)
    # If the call may have run, a caller that retries could run it twice.
    repeatable = request.idempotent or run is RunState.NOT_RUN
    return Refusal(
        503,
        "upstream_failed",
        "; ".join(str(error) for error in failures),
        run=run,
        retry_after_seconds=RETRY_AFTER_FAILURE_SECONDS if repeatable else None,
    )


def _no_upstream_refusal(request: PlainRequest) -> Refusal:
    return Refusal(
        503,
        "no_upstream",
        f"service {request.service} has no upstream at the moment",
        retry_after_seconds=RETRY_AFTER_NO_UPSTREAM_SECONDS,
    )
