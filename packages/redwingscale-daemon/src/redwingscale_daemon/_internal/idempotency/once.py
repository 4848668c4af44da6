"""Runs a request at most once for each idempotency key."""

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.idempotency.claim import ClaimKey
from redwingscale_daemon._internal.idempotency.claims import Claimed, Claims
from redwingscale_daemon._internal.idempotency.outcome import Answer
from redwingscale_daemon._internal.models.generation import EndEvent, StreamEvent, TokenEvent
from redwingscale_daemon._internal.models.run_state import RunState

OK = 200
TOKENS_TYPE = "application/json"
RETRY_AFTER_DEADLINE_SECONDS = 1.0

Send = Callable[[], Answer]
Start = Callable[[], Iterator[StreamEvent]]


class Once:
    """Claims the key, sends the request once and stores its outcome.

    A request that was sent is not cancelled when its deadline passes or its caller
    disconnects: only the outcome shows whether it was run, and repeats return it.
    """

    def __init__(self, claims: Claims, claim_timeout_seconds: float) -> None:
        self._claims = claims
        self._claim_timeout_seconds = claim_timeout_seconds
        self._condition = threading.Condition()
        self._running = 0

    def call(self, key: ClaimKey, fingerprint: str, deadline_at: float, send: Send) -> Answer:
        """Return the answer of ``send`` or the stored one; raises `Refusal`.

        ``send`` may raise `Refusal`, whose ``run`` decides how the claim ends.
        """
        claimed = self._claim(key, fingerprint, deadline_at)
        if isinstance(claimed, Answer):
            return claimed
        future: Future[Answer] = Future()
        self._spawn(lambda: self._send(claimed, send, future))
        try:
            return future.result(max(0.0, deadline_at - time.monotonic()))
        except TimeoutError:
            raise Refusal(
                504,
                "deadline_exceeded",
                "the call was sent and goes on; a repeat with its key gets the outcome",
                run=RunState.UNKNOWN,
                retry_after_seconds=RETRY_AFTER_DEADLINE_SECONDS,
            ) from None

    def stream(
        self, key: ClaimKey, fingerprint: str, deadline_at: float, start: Start
    ) -> Iterator[StreamEvent]:
        """Return the events of ``start`` or the stored ones; raises `Refusal`."""
        claimed = self._claim(key, fingerprint, deadline_at)
        if isinstance(claimed, Answer):
            return _replay_events(claimed)
        try:
            events = start()
        except BaseException as error:
            self._end_failed(claimed, error)
            raise
        return self._record_events(claimed, events)

    def wait_until_idle(self, timeout_seconds: float) -> None:
        """Wait until no request is running in the background, at most ``timeout_seconds``."""
        with self._condition:
            self._condition.wait_for(lambda: self._running == 0, timeout_seconds)
            if self._running:
                log_event("sends_left_running", level="WARNING", count=self._running)

    def _claim(self, key: ClaimKey, fingerprint: str, deadline_at: float) -> Claimed | Answer:
        remaining = deadline_at - time.monotonic()
        timeout = min(remaining, self._claim_timeout_seconds)
        claimed = self._claims.open(key, fingerprint, timeout)
        if isinstance(claimed, Claimed) and time.monotonic() >= deadline_at:
            self._claims.release(claimed)
            raise Refusal(504, "deadline_past", "the deadline passed before it could be sent")
        return claimed

    def _send(self, claimed: Claimed, send: Send, future: Future[Answer]) -> None:
        try:
            answer = send()
        except BaseException as error:
            self._end_failed(claimed, error)
            future.set_exception(error)
            return
        # Stored before it is returned: if the answer does not reach the caller, a
        # repeat must find it.
        self._claims.complete(claimed, answer)
        future.set_result(answer)

    def _record_events(
        self, claimed: Claimed, events: Iterator[StreamEvent]
    ) -> Iterator[StreamEvent]:
        texts: list[str] = []
        try:
            for event in events:
                self._record(claimed, texts, event)
                yield event
        except GeneratorExit:
            # The caller disconnected; the generation is finished in the background.
            self._spawn(lambda: self._finish(claimed, texts, events))
            raise
        except BaseException as error:
            self._end_failed(claimed, error)
            raise

    def _finish(self, claimed: Claimed, texts: list[str], events: Iterator[StreamEvent]) -> None:
        try:
            for event in events:
                self._record(claimed, texts, event)
        except BaseException as error:
            self._end_failed(claimed, error)

    def _record(self, claimed: Claimed, texts: list[str], event: StreamEvent) -> None:
        match event:
            case TokenEvent(text=text):
                texts.append(text)
            case EndEvent():
                self._claims.complete(claimed, Answer(OK, TOKENS_TYPE, msgspec.json.encode(texts)))

    def _end_failed(self, claimed: Claimed, error: BaseException) -> None:
        if isinstance(error, Refusal) and error.run is RunState.NOT_RUN:
            self._claims.release(claimed)
        else:
            self._claims.mark_unknown(claimed)

    def _spawn(self, work: Callable[[], None]) -> None:
        with self._condition:
            self._running += 1
        threading.Thread(target=self._run_counted, args=(work,), name="once", daemon=True).start()

    def _run_counted(self, work: Callable[[], None]) -> None:
        try:
            work()
        finally:
            with self._condition:
                self._running -= 1
                self._condition.notify_all()


def _replay_events(answer: Answer) -> Iterator[StreamEvent]:
    texts = msgspec.json.decode(answer.body, type=list[str])
    for position, text in enumerate(texts):
        yield TokenEvent(position, text)
    yield EndEvent(len(texts))
