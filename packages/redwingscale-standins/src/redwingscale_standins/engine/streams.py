"""Token streams of one engine: slowed down by the batch's load, resumable by index."""

import os
import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

from redwingscale_standins.engine.batch import Batch
from redwingscale_standins.engine.cache import PrefixCache
from redwingscale_standins.engine.generation import token_text
from redwingscale_standins.engine.profile import EngineFaults, Profile

CRASH_MARK = "CRASH-THE-ENGINE"
SILENCE_POLL_SECONDS = 0.05
MAX_KEPT_STREAMS = 10_000


class Work(NamedTuple):
    """The request of one attempt; the caller already has the first ``skip`` tokens."""

    attempt: str
    unit: str
    prompt: str
    max_tokens: int
    priority: int
    skip: int


class Token(NamedTuple):
    """Token ``position`` of the answer of ``attempt``."""

    attempt: str
    position: int
    text: str


class Truncated(Exception):
    """The stream ends early: by a fault, a cancellation or a newer run."""


class Streams:
    """Runs attempts and keeps them by id, so that a broken stream can be resumed."""

    def __init__(self, profile: Profile, faults: EngineFaults) -> None:
        self._lock = threading.Lock()
        self._profile = profile
        self._faults = faults
        self._work_by_attempt: dict[str, Work] = {}
        self._cancelled: set[str] = set()
        self._run_by_attempt: dict[str, int] = {}
        self.batch = Batch(profile.slots)
        self.cache = PrefixCache(profile.cache_blocks)
        self.started = 0
        self.resumed = 0
        self.cancelled = 0
        self.finished = 0

    def start(self, work: Work) -> Iterator[Token]:
        """Yield the tokens of new ``work``."""
        with self._lock:
            if len(self._work_by_attempt) >= MAX_KEPT_STREAMS:
                self._work_by_attempt.pop(next(iter(self._work_by_attempt)))
            self._work_by_attempt[work.attempt] = work
            self.started += 1
        return self._run(work)

    def resume(self, attempt: str, start: int) -> Iterator[Token] | None:
        """Yield the tokens of ``attempt`` from ``start``; None if it is unknown or cancelled."""
        with self._lock:
            work = self._work_by_attempt.get(attempt)
        if work is None or attempt in self._cancelled:
            return None
        self.resumed += 1
        return self._run(work._replace(skip=start))

    def cancel(self, attempt: str) -> None:
        """End the work of ``attempt`` at its next token."""
        with self._lock:
            self._cancelled.add(attempt)
            self.cancelled += 1

    def _run(self, work: Work) -> Iterator[Token]:
        with self.batch.slot(work.priority):
            if CRASH_MARK in work.prompt:
                time.sleep(0.05)
                os._exit(137)
            missing = self.cache.admit(work.unit, work.prompt)
            time.sleep(missing * self._profile.block_prefill_seconds)
            yield from self._tokens(work)
        self.finished += 1

    def _tokens(self, work: Work) -> Iterator[Token]:
        run = self._new_run(work.attempt)
        disturbed = self._faults.take_disturbance()
        for sent, index in enumerate(range(work.skip, work.max_tokens)):
            if self._is_ended(work.attempt, run):
                raise Truncated
            time.sleep(self._gap_seconds())
            if not disturbed:
                yield Token(work.attempt, index, token_text(work.unit, work.prompt, index))
                continue
            self._disturb(sent, work.attempt, run)
            attempt = "another" if self._faults.wrong_attempt else work.attempt
            shown = index + 1 if self._faults.swap_token == sent else index
            token = Token(attempt, shown, token_text(work.unit, work.prompt, shown))
            yield token
            if self._faults.double_token == sent:
                yield token

    def _new_run(self, attempt: str) -> int:
        """Return a new run number for ``attempt``, which ends its previous run."""
        with self._lock:
            self._run_by_attempt[attempt] = self._run_by_attempt.get(attempt, 0) + 1
            return self._run_by_attempt[attempt]

    def _is_ended(self, attempt: str, run: int) -> bool:
        return attempt in self._cancelled or self._run_by_attempt[attempt] != run

    def _gap_seconds(self) -> float:
        load = self.batch.running / self._profile.slots
        factor = 1.0 + self._profile.batch_slowdown * load
        return self._profile.token_gap_seconds * factor * self._faults.slow_factor

    def _disturb(self, sent: int, attempt: str, run: int) -> None:
        if self._faults.silent_after_tokens == sent:
            self._be_silent(attempt, run)
        if self._faults.reset_after_tokens == sent:
            raise ConnectionResetError
        if self._faults.truncate_after_tokens == sent:
            raise Truncated

    def _be_silent(self, attempt: str, run: int) -> None:
        while self._faults.silent_after_tokens >= 0 and not self._is_ended(attempt, run):
            time.sleep(SILENCE_POLL_SECONDS)
        raise Truncated
