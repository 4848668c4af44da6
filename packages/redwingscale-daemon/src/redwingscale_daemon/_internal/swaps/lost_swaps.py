"""What is known of a swap that may have to be given up, and of the worker's state."""

import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.swaps.reach import Reach

# For this long after an order or a repeated report, a request's 421 answer causes no report: the
# request was sent before, and reports are some hundred milliseconds old.
REREAD_SECONDS = 0.5
NO_ANSWER = "no_answer"
SLOW_UNLOAD = "slow_unload"


class LostSwapRule(NamedTuple):
    """Whether swaps are given up; ``on_given_up`` is called with the reason for each."""

    is_on: Callable[[], bool] = lambda: False
    on_given_up: Callable[[str], None] = lambda _: None


class SwapWatch:
    """Decides when the swap of one worker no longer counts, and when a report must be read.

    Designed for swaps that began just before their failure domain was cut off, and for unloads
    that wait for long streams: a model that counts as being loaded is loaded nowhere else, and its
    requests wait in vain. A swap that is given up goes on, or is never carried out: the worker
    stays occupied by it until its report shows what is resident.
    """

    def __init__(self, upstream_id: str, rule: LostSwapRule) -> None:
        self._upstream_id = upstream_id
        self._rule = rule
        self.reach = Reach()
        self._model = ""
        self._began_at = 0.0
        self.given_up = ""
        # Whether the first attempt to read a report has ended.
        self.report_tried = False
        # Whether a report must be read although the state is known.
        self.recheck = False
        self._reread_at = float("-inf")
        self._hurry = threading.Event()

    @property
    def is_on(self) -> bool:
        """Whether swaps are given up at this worker's service."""
        return self._rule.is_on()

    @property
    def in_doubt(self) -> bool:
        """Whether no order may be sent before the next report."""
        return self.is_on and (self.recheck or self.reach.doubtful)

    def begin(self, model: str) -> None:
        """Note the start of a task, of a swap if ``model`` is not empty."""
        self._model, self.given_up, self._began_at = model, "", time.monotonic()

    def note_report(self) -> None:
        """Note that a report was taken over as the worker's state."""
        self.recheck = False

    def note_call(self, *, answered: bool) -> None:
        """Record whether a call was answered, and give up the swap if the worker is lost."""
        if not self.is_on:
            return
        if answered:
            if self.reach.note_answer():
                log_event("worker_reached", upstream=self._upstream_id)
        elif self.reach.note_no_answer():
            self._note_lost()

    def _note_lost(self) -> None:
        log_event("worker_lost", level="WARNING", upstream=self._upstream_id)
        self.give_up(NO_ANSWER)

    def give_up(self, reason: str) -> None:
        """Let the model of the running swap be loaded elsewhere; no effect the second time."""
        if not self.is_on or not self._model or self.given_up:
            return
        self.given_up = reason
        log_event(
            "swap_given_up",
            level="WARNING",
            upstream=self._upstream_id,
            model=self._model,
            reason=reason,
            after=round(time.monotonic() - self._began_at, 3),
        )
        self._rule.on_given_up(reason)

    def resume_load(self) -> bool:
        """Count the accepted load again, once its worker answers; return whether it was lost."""
        if not self.given_up or self.reach.doubtful:
            return False
        self.given_up = ""
        log_event("swap_resumed", upstream=self._upstream_id, model=self._model)
        return True

    def suspect(self) -> None:
        """Check at once that the worker answers: others do not reach it or its neighbours."""
        if not self.is_on:
            return
        was_lost = self.reach.lost
        if self.reach.suspect():
            self.recheck = True
            self._hurry.set()
            if self.reach.lost and not was_lost:
                self._note_lost()

    def request_report(self) -> None:
        """Read a report before the next order: the worker has contradicted the ledger."""
        now = time.monotonic()
        if self.is_on and now - self._reread_at >= REREAD_SECONDS:
            self._reread_at = now
            self.recheck = True

    def note_order(self) -> None:
        """Note that an order was sent: requests in flight may be refused because of it."""
        self._reread_at = time.monotonic()

    def pause(self, seconds: float) -> None:
        """Wait for ``seconds``, or until the worker is suspected."""
        self._hurry.wait(seconds)
        self._hurry.clear()
