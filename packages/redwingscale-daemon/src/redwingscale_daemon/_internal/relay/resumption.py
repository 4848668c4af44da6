"""Decides whether a broken stream is resumed on a new connection to the same engine."""

import time

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import (
    StreamSilent,
    UpstreamCrashed,
    UpstreamError,
    UpstreamUnreachable,
)
from redwingscale_daemon._internal.models.generation import GenerationRequest
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.relay.run_parts import RunParts
from redwingscale_daemon._internal.upstreams.probe import Probe

MAX_RESUMES = 32
MAX_STALLED_RESUMES = 3
RETRY_PAUSE_SECONDS = 0.05
# How often an engine that does not answer is asked again for an answer that only it can finish.
PROBE_AGAIN_SECONDS = 0.3


class Resumption:
    """Counts the broken connections of one attempt at ``engine``; used by one thread.

    A request that may not be repeated has no other way than its attempt, which may go on
    behind a lost path or after a pause. No silence ends it: it is kept until its deadline,
    or until the engine is known to have lost it.
    """

    def __init__(self, engine: EngineMember, request: GenerationRequest, parts: RunParts) -> None:
        self._engine = engine
        self._request = request
        self._parts = parts
        self._resumes = 0
        # Resumes in a row without a token, but for silences through which the answer is kept.
        self._stalled = 0
        self._is_kept = False

    def check(self, error: UpstreamError, position: int, before: int) -> None:
        """Raise `UpstreamError` unless the attempt may be resumed now.

        Its last connection brought the answer from token ``before`` to ``position`` and ended
        with ``error``. A resume is taken from the retry budget only if the connection
        delivered no token and did not end by going silent.
        """
        log_event(
            "stream_broken",
            level="WARNING",
            request=self._request.request_id,
            upstream=self._engine.id,
            position=position,
            error=error,
        )
        if self._is_past_deadline():
            raise error
        silent = isinstance(error, StreamSilent)
        if not self._request.idempotent and (silent or isinstance(error, UpstreamUnreachable)):
            self._wait_for_engine(error)
        elif isinstance(error, UpstreamUnreachable):
            raise error
        else:
            self._stalled = 0 if position > before else self._stalled + 1
            self._check_bounds(error, silent=silent)
        self._parts.metrics.resumes.add(1, {"upstream": self._engine.id})

    def _check_bounds(self, error: UpstreamError, *, silent: bool) -> None:
        self._resumes += 1
        if self._stalled > MAX_STALLED_RESUMES or self._resumes >= MAX_RESUMES:
            raise error
        if (self._stalled or silent) and not self._engine_answers(error):
            raise UpstreamUnreachable(self._engine.id, error.detail, run=RunState.UNKNOWN)
        if self._stalled and not silent:
            if not self._parts.budget.take():
                raise error
            time.sleep(RETRY_PAUSE_SECONDS)

    def _wait_for_engine(self, error: UpstreamError) -> None:
        """Return once the engine answers; raises at the deadline, and if its process has ended."""
        while not self._engine_answers(error):
            self._note_kept(error)
            self._parts.reachability.note_unreachable(self._engine.id)
            time.sleep(PROBE_AGAIN_SECONDS)
            if self._is_past_deadline():
                raise error
        time.sleep(RETRY_PAUSE_SECONDS)

    def _note_kept(self, error: UpstreamError) -> None:
        if not self._is_kept:
            self._is_kept = True
            log_event(
                "answer_kept",
                request=self._request.request_id,
                upstream=self._engine.id,
                left=round(self._request.deadline_at - time.monotonic(), 3),
                error=error,
            )

    def _engine_answers(self, error: UpstreamError) -> bool:
        """Return whether a new connection works; raises if it shows that the engine has crashed."""
        match self._parts.client.probe(self._engine):
            case Probe.REFUSED:
                raise UpstreamCrashed(self._engine.id, error.detail, run=RunState.UNKNOWN)
            case Probe.NO_ANSWER:
                return False
        return True

    def _is_past_deadline(self) -> bool:
        return time.monotonic() >= self._request.deadline_at
