"""Claims idempotency keys before requests are sent, and records how the requests ended.

A repeat is a later request of the caller with the same idempotency key.
"""

import threading
import time
from collections import OrderedDict
from typing import NamedTuple

import msgspec
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import PlatformError, Refusal
from redwingscale_daemon._internal.idempotency.claim import (
    Claim,
    Claimant,
    ClaimKey,
    Done,
    Open,
    Released,
    Unknown,
    parse_claim,
)
from redwingscale_daemon._internal.idempotency.committer import Committer
from redwingscale_daemon._internal.idempotency.outcome import Answer, OutcomeStore
from redwingscale_daemon._internal.idempotency.retention import Retention
from redwingscale_daemon._internal.idempotency.row_write import (
    Failed,
    RowWrite,
    WriteConflict,
    Written,
)
from redwingscale_daemon._internal.idempotency.settler import Ending, Settler
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.store.row import ABSENT, Row
from redwingscale_daemon._internal.telemetry.metrics import Metrics

MAX_CLAIM_TRIES = 4
END_TIMEOUT_SECONDS = 0.25
RETRY_AFTER_PLATFORM_SECONDS = 1.0
RETRY_AFTER_UNFINISHED_SECONDS = 1.0
RETRY_AFTER_UNKNOWN_SECONDS = 30.0
MAX_REMEMBERED_ROWS = 4096


class Claimed(NamedTuple):
    """An open claim of this instance, which alone may send the request, and only once."""

    row: str
    version: int
    fingerprint: str


class Claims:
    """Opens claims, answers repeats and writes how claims ended."""

    def __init__(
        self,
        committer: Committer,
        settler: Settler,
        outcomes: OutcomeStore,
        claimant: Claimant,
        retention: Retention,
        retention_seconds: int,
        metrics: Metrics,
    ) -> None:
        self._committer = committer
        self._settler = settler
        self._outcomes = outcomes
        self._claimant = claimant
        self._retention = retention
        self._retention_seconds = retention_seconds
        self._metrics = metrics
        self._lock = threading.Lock()
        self._claimed_rows: OrderedDict[str, None] = OrderedDict()
        committer.on_orphaned(self._withdraw)

    def open(self, key: ClaimKey, fingerprint: str, timeout_seconds: float) -> Claimed | Answer:
        """Return the new claim, or the answer stored for ``key``; raises `Refusal`.

        Must be called before any part of the request is sent: a refusal because the
        table does not answer says that the request was not run, unless this instance
        has claimed the key before.
        """
        version = ABSENT
        deadline = time.monotonic() + timeout_seconds
        for _ in range(MAX_CLAIM_TRIES):
            write = RowWrite(key.row, version, self._open_claim(fingerprint))
            self._committer.submit(write)
            match write.wait(max(0.0, deadline - time.monotonic())):
                case Written(version=taken):
                    return self._note_claimed(Claimed(key.row, taken, fingerprint))
                case WriteConflict(row=None):
                    version = ABSENT
                case WriteConflict(row=Row() as row):
                    claim = _require_same_request(self._parse(row), fingerprint)
                    if not isinstance(claim, Released):
                        return self._answer_repeat(claim)
                    version = row.version
                case Failed() | None:
                    raise self._make_unavailable_refusal(key.row)
        raise self._make_refusal(
            409, "claim_unfinished", "other sendings of this key are under way"
        )

    def complete(self, claimed: Claimed, answer: Answer) -> None:
        """Store ``answer`` for repeats, now or as soon as the platform accepts the write."""
        self._end(Ending(claimed.row, claimed.version, lambda: self._done_claim(claimed, answer)))

    def mark_unknown(self, claimed: Claimed) -> None:
        """Record that it cannot be known whether the request was run."""
        claim = Unknown(claimed.fingerprint, self._claimant, self._expires_at())
        self._end(Ending(claimed.row, claimed.version, lambda: claim))

    def release(self, claimed: Claimed) -> None:
        """Release the claim: the request was not run, and a repeat may run it."""
        with self._lock:
            self._claimed_rows.pop(claimed.row, None)
        claim = Released(claimed.fingerprint, self._claimant, self._expires_at())
        self._end(Ending(claimed.row, claimed.version, lambda: claim))

    def _end(self, ending: Ending) -> None:
        # The caller's answer must not wait for a platform that is slow or down: the
        # settler retries what could not be written within the timeout.
        try:
            write = RowWrite(ending.row, ending.version, ending.claim())
        except PlatformError:
            self._settler.add(ending)
            return
        self._committer.submit(write)
        if not isinstance(write.wait(END_TIMEOUT_SECONDS), Written):
            self._settler.add(ending)

    def _done_claim(self, claimed: Claimed, answer: Answer) -> Done:
        stored = self._outcomes.put(answer)
        return Done(claimed.fingerprint, self._claimant, self._expires_at(), stored)

    def _withdraw(self, write: RowWrite) -> None:
        # The request of an open claim that nobody waits for was refused without being
        # sent. Unless the claim is withdrawn, every repeat is refused as unfinished.
        if isinstance(write.value, Open):
            claim = Released(write.value.fingerprint, self._claimant, self._expires_at())
            self._settler.withdraw(write, claim)

    def _parse(self, row: Row) -> Claim:
        try:
            return parse_claim(row.value)
        except msgspec.ValidationError as error:
            raise self._make_refusal(
                409, "claim_unfinished", f"unreadable claim: {error}"
            ) from error

    def _note_claimed(self, claimed: Claimed) -> Claimed:
        with self._lock:
            self._claimed_rows[claimed.row] = None
            if len(self._claimed_rows) > MAX_REMEMBERED_ROWS:
                self._claimed_rows.popitem(last=False)
        self._retention.note(claimed.row, self._expires_at())
        self._metrics.claims.add(1, {"result": "claimed"})
        return claimed

    def _answer_repeat(self, claim: Done | Open | Unknown) -> Answer:
        match claim:
            case Done(outcome=outcome):
                try:
                    answer = self._outcomes.get(outcome)
                except PlatformError as error:
                    raise self._make_refusal(
                        503, "outcome_unavailable", str(error), run=RunState.RUN
                    ) from error
                self._metrics.claims.add(1, {"result": "replayed"})
                return answer
            case Unknown():
                raise self._make_refusal(
                    409,
                    "outcome_unknown",
                    "an earlier sending with this key may have run; its outcome is lost",
                    retry_after_seconds=RETRY_AFTER_UNKNOWN_SECONDS,
                )
            case Open(holder=holder):
                # The claim holder may have crashed before or after it sent the request.
                # The two cannot be told apart, so the request is not sent again.
                raise self._make_refusal(
                    409,
                    "claim_unfinished",
                    f"an earlier sending is open at {holder.instance}",
                )

    def _make_unavailable_refusal(self, row: str) -> Refusal:
        with self._lock:
            sent_here = row in self._claimed_rows
        if sent_here:
            return self._make_refusal(
                503, "claims_unavailable", "an earlier sending with this key may have run"
            )
        return self._make_refusal(
            503,
            "claims_unavailable",
            "the platform's table does not answer, this sending was not run",
            run=RunState.NOT_RUN,
            retry_after_seconds=RETRY_AFTER_PLATFORM_SECONDS,
        )

    def _make_refusal(
        self,
        status: int,
        code: str,
        detail: str,
        *,
        run: RunState = RunState.UNKNOWN,
        retry_after_seconds: float = RETRY_AFTER_UNFINISHED_SECONDS,
    ) -> Refusal:
        self._metrics.claims.add(1, {"result": code})
        log_event("claim_refused", code=code, run=run, detail=detail)
        return Refusal(status, code, detail, run=run, retry_after_seconds=retry_after_seconds)

    def _open_claim(self, fingerprint: str) -> Open:
        return Open(fingerprint, self._claimant, self._expires_at())

    def _expires_at(self) -> int:
        return int(time.time()) + self._retention_seconds


def _require_same_request(claim: Claim, fingerprint: str) -> Claim:
    if claim.fingerprint != fingerprint:
        raise Refusal(422, "idempotency_key_reused", "the key was first used with another request")
    return claim
