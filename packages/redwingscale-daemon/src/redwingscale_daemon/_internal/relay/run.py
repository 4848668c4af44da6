"""Runs one generation request, from its first attempt to its last token."""

import time
import uuid
from collections.abc import Callable, Generator
from functools import partial

from opentelemetry.trace import Span
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import (
    AttemptUnknown,
    Refusal,
    ReportInvalid,
    StreamBroken,
    UpstreamCrashed,
    UpstreamError,
    UpstreamUnreachable,
)
from redwingscale_daemon._internal.models.generation import (
    Attempt,
    EndEvent,
    GenerationRequest,
    StreamEvent,
)
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.quarantine.quarantine import CLEARING_TOKENS
from redwingscale_daemon._internal.quarantine.record import Crash, Turn
from redwingscale_daemon._internal.relay.progress import Progress
from redwingscale_daemon._internal.relay.resumption import RETRY_PAUSE_SECONDS, Resumption
from redwingscale_daemon._internal.relay.run_parts import RunParts
from redwingscale_daemon._internal.telemetry.tracing import trace_headers
from redwingscale_daemon._internal.upstreams.engine_client import is_connection_refused
from redwingscale_daemon._internal.upstreams.engine_stream import EngineStream

Events = Generator[StreamEvent, None, None]

RETRY_AFTER_SECONDS = 1.0
MAX_ATTEMPTS = 8
MAX_LOST_ENGINES_WITHOUT_BUDGET = 2
TURN_PRIORITY = 0
ENGINE_POLL_SECONDS = 0.1
TOKENS_PER_TIMEOUT_UPDATE = 16
# Weight of the latest gap between tokens in the moving mean.
GAP_WEIGHT = 0.2


class GenerationRun:
    """Makes attempts until the answer is complete; used by one thread at a time."""

    def __init__(self, request: GenerationRequest, span: Span, parts: RunParts) -> None:
        self._request = request
        self._span = span
        self._parts = parts
        self._progress = Progress()
        self._attempts = 0
        self._lost_engines = 0
        self._unit = request.unit
        self._failed: set[str] = set()
        self._state = RunState.NOT_RUN
        self._turn: Turn | None = None
        # Tokens that the caller had at the begin of the current attempt.
        self._attempt_position = 0

    def events(self) -> Events:
        """Yield the complete answer; raises `Refusal` when no engine can continue it."""
        self._parts.quarantine.check(self._request.fingerprint)
        while True:
            engine = self._acquire_engine()
            try:
                yield from self._attempt(engine)
            except UpstreamError as error:
                self._handle_failure(engine, error)
            else:
                self._parts.budget.note_success()
                self._parts.metrics.tokens.add(self._progress.position)
                return
            finally:
                self._release_turn()

    def _acquire_engine(self) -> EngineMember:
        """Return the engine of the next attempt; a suspect first waits for its turn there."""
        request, parts = self._request, self._parts
        while True:
            engine = self._choose_engine()
            self._turn = parts.quarantine.wait_for_turn(
                request.fingerprint, engine.id, self._progress.position, request.deadline_at
            )
            if self._turn is None or engine.id not in parts.reachability.unreachable():
                return engine
            # The engine failed during the wait for the turn.
            self._release_turn()

    def _release_turn(self) -> None:
        turn, self._turn = self._turn, None
        if turn is not None:
            self._parts.quarantine.release(turn)

    def _clear_turn(self) -> None:
        turn, self._turn = self._turn, None
        if turn is not None:
            self._parts.quarantine.clear(turn)

    def _choose_engine(self) -> EngineMember:
        engine = self._choose_untried_first()
        # A caller cannot request the rest of a cut answer, so an answer that has begun
        # waits for an engine. One that has not begun is refused at once.
        while engine is None and self._progress.position and not self._is_past_deadline():
            time.sleep(ENGINE_POLL_SECONDS)
            engine = self._choose_untried_first()
        if engine is None:
            raise self._new_refusal("not_resident", f"no engine can run {self._request.unit} now")
        return engine

    def _choose_untried_first(self) -> EngineMember | None:
        """Return the best engine; prefer those that have not failed this request."""
        shunned = self._parts.reachability.unreachable()
        engine = self._route(self._failed | shunned)
        return engine or (self._route(shunned) if self._failed else None)

    def _route(self, excluded: set[str]) -> EngineMember | None:
        router, request = self._parts.router, self._request
        if self._progress.position:
            # Only the model version that began an answer can continue it.
            view = router.choose_engine(str(self._unit), excluded)
            return view.member if view else None
        route = router.route(request.unit, request.prompt, excluded)
        if route is None:
            return None
        self._unit = route.unit
        return route.view.member

    def _attempt(self, engine: EngineMember) -> Events:
        parts = self._parts
        attempt = self._new_attempt()
        self._attempt_position = self._progress.position
        self._attempts += 1
        with (
            parts.in_flight.track(engine.id, str(self._unit)),
            parts.tracing.hop_span("attempt", self._span, upstream=engine.id) as hop,
        ):
            parts.metrics.attempts.add(1, {"upstream": engine.id})
            try:
                yield from self._attempt_with_resumes(engine, attempt, trace_headers(hop))
            except GeneratorExit:
                self._cancel(engine, attempt)
                raise

    def _attempt_with_resumes(
        self, engine: EngineMember, attempt: Attempt, headers: dict[str, str]
    ) -> Events:
        """Yield the events of one attempt, and resume it on new connections when one breaks."""
        connect: Callable[[], EngineStream] = partial(self._start, engine, attempt, headers)
        resumption = Resumption(engine, self._request, self._parts)
        while True:
            before = self._progress.position
            try:
                yield from self._relay_stream(connect())
                return
            except (StreamBroken, UpstreamUnreachable) as error:
                resumption.check(error, self._progress.position, before)
            except AttemptUnknown as unknown:
                raise self._classify_unknown_attempt(unknown, engine) from unknown
            connect = partial(self._resume, engine, attempt.attempt_id, headers)

    def _start(
        self, engine: EngineMember, attempt: Attempt, headers: dict[str, str]
    ) -> EngineStream:
        return self._parts.client.start(engine, attempt, headers, self._first_token_timeout())

    def _resume(
        self, engine: EngineMember, attempt_id: str, headers: dict[str, str]
    ) -> EngineStream:
        position = self._progress.position
        wait = self._parts.silence.max_seconds if position else self._first_token_timeout()
        return self._parts.client.resume(engine, attempt_id, position, headers, wait)

    def _relay_stream(self, stream: EngineStream) -> Events:
        """Yield the events of one connection, and adapt its timeout to the gap between tokens."""
        progress, silence = self._progress, self._parts.silence
        mean_gap, until_update, last_at = 0.0, 1, 0.0
        clear_at = self._turn.clear_at if self._turn else -1
        for event in stream.events(progress.position):
            if isinstance(event, EndEvent):
                self._clear_turn()
                self._note_survival(float("inf"))
                yield event
                return
            progress.texts.append(event.text)
            progress.position += 1
            now = time.monotonic()
            mean_gap += GAP_WEIGHT * (now - last_at - mean_gap) if last_at else 0.0
            last_at = now
            until_update -= 1
            if not until_update:
                until_update = TOKENS_PER_TIMEOUT_UPDATE
                stream.set_timeout(
                    silence.token_timeout(mean_gap) if mean_gap else silence.max_seconds
                )
            if progress.position == clear_at:
                self._clear_turn()
            if progress.position == self._attempt_position + CLEARING_TOKENS:
                self._note_survival(progress.position)
            yield event

    def _note_survival(self, position: float) -> None:
        if self._parts.quarantine.active:
            self._parts.quarantine.note_survival(self._request.fingerprint, position)

    def _classify_unknown_attempt(
        self, error: AttemptUnknown, engine: EngineMember
    ) -> UpstreamError:
        """Return `UpstreamCrashed` if the engine has restarted, else ``error``.

        In an engine that merely did not receive the attempt, the model is still
        resident; one that has just started has no resident model yet.
        """
        try:
            residents = self._parts.control.report(engine).residents
        except (UpstreamError, ReportInvalid):
            return error
        if any(r.ready and r.unit == str(self._unit) for r in residents):
            return error
        return UpstreamCrashed(engine.id, "was started anew", run=RunState.UNKNOWN)

    def _handle_failure(self, engine: EngineMember, error: UpstreamError) -> None:
        """Record a failed attempt; raises the final `Refusal` if no retry is allowed."""
        self._failed.add(engine.id)
        if error.run is not RunState.NOT_RUN:
            self._state = error.run
        if isinstance(error, UpstreamCrashed | UpstreamUnreachable) or is_connection_refused(error):
            self._parts.reachability.note_unreachable(engine.id)
        if isinstance(error, UpstreamCrashed):
            turn, self._turn = self._turn, None
            position = self._progress.position
            began = position - self._attempt_position < CLEARING_TOKENS
            crash = Crash(engine.id, "refused or restarted", began, position)
            self._parts.quarantine.note_crash(self._request.fingerprint, crash, turn)
        again = self._may_retry(error)
        log_event(
            "attempt_failed",
            level="WARNING",
            request=self._request.request_id,
            upstream=engine.id,
            position=self._progress.position,
            again=again,
            error=error,
        )
        if not again:
            raise self._new_refusal("upstream_failed", str(error)) from error
        self._parts.metrics.retries.add(1)

    def _may_retry(self, error: UpstreamError) -> bool:
        if self._state is not RunState.NOT_RUN and not self._request.idempotent:
            return False
        if self._is_past_deadline() or self._attempts >= MAX_ATTEMPTS:
            return False
        # The loss of one engine breaks many healthy answers at once, and each may
        # continue. This cannot cause a retry storm: a request meets a lost engine once.
        lost = isinstance(error, UpstreamCrashed | UpstreamUnreachable)
        if lost and self._lost_engines < MAX_LOST_ENGINES_WITHOUT_BUDGET:
            self._lost_engines += 1
            return True
        if self._progress.position and error.run is RunState.NOT_RUN:
            time.sleep(RETRY_PAUSE_SECONDS * self._attempts)
            return True
        return self._parts.budget.take()

    def _cancel(self, engine: EngineMember, attempt: Attempt) -> None:
        try:
            self._parts.client.cancel(engine, attempt.attempt_id)
        except UpstreamError as error:
            log_event("cancel_failed", level="WARNING", upstream=engine.id, error=error)

    def _new_attempt(self) -> Attempt:
        request, progress = self._request, self._progress
        return Attempt(
            attempt_id=uuid.uuid4().hex,
            unit=str(self._unit),
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            # A turn delays other suspects, so it does not queue behind other requests.
            priority=TURN_PRIORITY if self._turn else request.priority,
            skip=progress.position,
            delivered=progress.delivered,
        )

    def _first_token_timeout(self) -> float:
        return self._parts.silence.first_token_timeout(self._request.deadline_at)

    def _is_past_deadline(self) -> bool:
        return time.monotonic() >= self._request.deadline_at

    def _new_refusal(self, code: str, detail: str) -> Refusal:
        return Refusal(503, code, detail, run=self._state, retry_after_seconds=RETRY_AFTER_SECONDS)
