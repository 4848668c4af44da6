"""Relays generation requests to engines and their tokens to callers."""

import threading
import time
from collections.abc import Generator, Iterator

from opentelemetry.trace import Span
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.models.generation import GenerationRequest, StreamEvent
from redwingscale_daemon._internal.relay.run import GenerationRun
from redwingscale_daemon._internal.relay.run_parts import RunParts

Events = Generator[StreamEvent, None, None]


class GenerationRelay:
    """Starts a run for each request and handles callers that disconnect."""

    def __init__(self, parts: RunParts) -> None:
        self._parts = parts

    def note_arrival(self, request: GenerationRequest) -> None:
        """Count ``request`` as demand, before it is admitted or refused."""
        self._parts.router.note_arrival(request.unit.model)

    def run(self, request: GenerationRequest, span: Span) -> Iterator[StreamEvent]:
        """Return the events of ``request``, once the first one has arrived.

        Raises `Refusal`, also from the iterator when no engine can continue the answer.
        Close the iterator when the caller disconnects: the engine's work is then
        cancelled, or runs to its end if the request must not run a second time.
        """
        started = time.monotonic()
        events = GenerationRun(request, span, self._parts).events()
        first = next(events)
        self._parts.metrics.first_token.record(time.monotonic() - started)
        return _relay_until_disconnect(request, first, events)


def _relay_until_disconnect(
    request: GenerationRequest, first: StreamEvent, events: Events
) -> Events:
    # No `yield from`: closing this generator would also close ``events``, but a request
    # that must not run twice has to run to its end.
    try:
        yield first
        for event in events:  # noqa: UP028 - see above
            yield event
    except Refusal as refusal:
        log_event("answer_cut", level="WARNING", request=request.request_id, code=refusal.code)
        raise
    except GeneratorExit:
        log_event("caller_left", request=request.request_id, idempotent=request.idempotent)
        _handle_disconnect(request, events)
        raise


def _handle_disconnect(request: GenerationRequest, events: Events) -> None:
    if request.idempotent:
        events.close()
        return
    # Not a daemon thread: a planned stop must wait for this work too.
    threading.Thread(target=_drain, args=(request, events), name="drain").start()


def _drain(request: GenerationRequest, events: Events) -> None:
    try:
        for _ in events:
            pass
    except Refusal as refusal:
        log_event("drain_failed", level="WARNING", request=request.request_id, code=refusal.code)
