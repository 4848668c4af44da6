"""Refuses at once what cannot be served, and serves returning requests in order."""

import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.admission.booked_return import BookedReturn, return_digest
from redwingscale_daemon._internal.admission.return_book import ReturnBook
from redwingscale_daemon._internal.admission.return_time import return_time
from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.holder_work import (
    PROMPT_TOKENS_PER_SECOND,
    HolderWork,
)
from redwingscale_daemon._internal.forwarding.load_outlook import LoadOutlook
from redwingscale_daemon._internal.forwarding.return_order import OverloadRule
from redwingscale_daemon._internal.models.run_state import RunState

MILLISECONDS_PER_SECOND = 1000.0
# How many latency targets a returning request may spend in the queue of a holder. In the
# simulated bursts (docs/design/99-ordered-return.md), fewer leave holders idle after a burst,
# and with more, most of the returning requests are late.
QUEUE_TARGETS = 1.5
# Fraction of the time in which a load could still be planned for a waiting request that a new
# request waits for the plan. It returns later than one that is refused at once, but finds its
# model resident more often: workers are busy with a swap for some seconds.
PLANNING_FRACTION = 0.25
# Refusals of an instance that stops or is cut off: another instance can serve the request
# at once, and the leader would not learn of a booking. A workspace beyond its share gets no
# places before the requests of others.
_NOT_BOOKED = frozenset({"stopping", "cut_off", "beyond_share"})


class RefusedSink(Protocol):
    """Counts refused requests as demand."""

    def note_refused(self, service: str, unit: Unit, max_wait_seconds: float) -> None:
        """Count a request refused for want of a holder, which could have waited so long."""


class OrderedReturn(NamedTuple):
    """The `ReturnOrder` of services with the feature on.

    ``spread`` returns a number from 0 to 1 that differs between callers; ``record`` counts
    a result for the metrics.
    """

    is_on: Callable[[str], bool]
    book: ReturnBook
    work: HolderWork
    outlook: LoadOutlook
    demand: RefusedSink
    spread: Callable[[], float]
    record: Callable[[str], None]
    clock: Callable[[], float] = time.monotonic

    def note_arrival(self, call: Call, prompt: Prompt) -> None:
        """Claim the booking of a request that returns as announced, neither early nor late."""
        if call.attempts.count or call.attempts.returning or not self.is_on(call.service):
            return
        booked, late_seconds = self.book.claim(_digest(call, prompt))
        if booked is None and not late_seconds:
            return
        call.attempts.returning = booked is not None
        self.record("claimed" if booked else "early")
        log_event(
            "return_claimed" if booked else "return_early",
            request=call.terms.request_id,
            unit=prompt.unit,
            late=round(late_seconds, 3),
        )

    def ready_in(self, call: Call, prompt: Prompt, announced: float | None) -> float | None:
        """Return the seconds until the unit is resident, None if no load is in progress."""
        if not self.is_on(call.service):
            return announced
        return self.outlook.ready_in(call.service, prompt.unit)

    def is_unplanned(
        self, call: Call, prompt: Prompt, waited_seconds: float, left_seconds: float
    ) -> bool:
        """Return whether a request waits for a load that will probably not come in time.

        It is refused as soon as no load that is planned from now on would end within the
        ``left_seconds`` that it can wait, and before that once no load has been planned for
        a part of this time: workers become free for another load meanwhile. A request that
        has returned, or may have run such as a stream to resume, does not return again: it
        waits as long as it can.
        """
        if not self.is_on(call.service) or not call.attempts.certainly_not_run:
            return False
        if not self.outlook.is_unplanned(prompt.unit, waited_seconds):
            return False
        spare = left_seconds - self.outlook.earliest_seconds(call.service, prompt.unit)
        if spare <= 0:
            return True
        longest = (waited_seconds + spare) * PLANNING_FRACTION
        return not call.attempts.returning and waited_seconds > longest

    def overload_refusal(
        self, call: Call, prompt: Prompt, found: Candidate, rule: OverloadRule
    ) -> Refusal | None:
        """Return the refusal of a request that comes too late at ``found``, by ``rule``.

        A returning request has waited already: it is refused only if it cannot be in time,
        not for a long queue. A new one is refused as well while the returns that are due
        before it, and are at least as urgent, fill the free room of the holders.
        """
        if not self.is_on(call.service):
            return rule(call, found)
        if call.attempts.returning:
            return rule(call, found._replace(queue_ms=0.0))
        return rule(call, found) or self._refusal_behind_returns(call, prompt, found)

    def _refusal_behind_returns(
        self, call: Call, prompt: Prompt, found: Candidate
    ) -> Refusal | None:
        """Return a refusal if the holders have room only for the returns that are due.

        The room of a holder is what it reads within `QUEUE_TARGETS`. Returns are due if
        their time comes before the new request would begin.
        """
        begins_in = found.queue_ms / MILLISECONDS_PER_SECOND
        due = self.book.tokens_by_unit(call.service, call.urgency.rank, begins_in)
        if call.attempts.count or prompt.unit not in due:
            return None
        place_in = self.work.place_seconds(call.service, prompt.unit, due)
        if place_in is None or place_in <= _queue_seconds(call):
            return None
        detail = (
            f"{due[prompt.unit]} tokens of returns are due, a place is free in {place_in:.2f} s"
        )
        return Refusal(503, "overloaded", detail, retry_after_seconds=place_in)

    def note_refusal(
        self, call: Call, prompt: Prompt, refusal: Refusal, max_wait_seconds: float
    ) -> None:
        """Set the retry time of a refusal, and book the return if the caller waits so long."""
        if not self.is_on(call.service) or refusal.run is not RunState.NOT_RUN:
            return
        if refusal.retry_after_seconds is None or refusal.code in _NOT_BOOKED:
            return
        if refusal.code == "no_holder":
            self.demand.note_refused(call.service, prompt.unit, max(0.0, max_wait_seconds))
        place_in = self._place_seconds(call, prompt, refusal)
        remaining = call.watch.remaining()
        seconds, in_reach = return_time(place_in, remaining, _queue_seconds(call), self.spread())
        refusal.retry_after_seconds = seconds
        # A caller returns once.
        booked = in_reach and not call.attempts.returning
        if booked:
            self.book.book(_booked_return(call, prompt, self.clock() + seconds))
        self.record(_result(call, booked=booked))
        log_event(
            "return_announced",
            request=call.terms.request_id,
            unit=prompt.unit,
            refusal=refusal.code,
            seconds=round(seconds, 3),
            place_in=round(place_in, 3),
            left=round(remaining, 3),
            booked=booked,
            returning=call.attempts.returning,
        )

    def _place_seconds(self, call: Call, prompt: Prompt, refusal: Refusal) -> float:
        """Return when a place is free for a refused request, behind the booked returns."""
        unit = prompt.unit
        booked = self.book.tokens_by_unit(call.service, call.urgency.rank)
        place_in = self.work.place_seconds(call.service, unit, booked)
        if refusal.code == "no_holder" or place_in is None:
            ready_in = self.outlook.ready_in(call.service, unit)
            if ready_in is None:
                ready_in = self.outlook.earliest_seconds(call.service, unit)
            return ready_in + booked.get(unit, 0) / PROMPT_TOKENS_PER_SECOND
        if refusal.code == "overloaded":
            return place_in
        return max(place_in, refusal.retry_after_seconds or 0.0)


def _queue_seconds(call: Call) -> float:
    return call.route.latency_target_seconds * QUEUE_TARGETS


def _digest(call: Call, prompt: Prompt) -> str:
    return return_digest(call.service, prompt, call.terms.key_digest)


def _booked_return(call: Call, prompt: Prompt, due_at: float) -> BookedReturn:
    return BookedReturn(
        call.service,
        prompt.unit,
        _digest(call, prompt),
        due_at,
        prompt.tokens_in,
        call.urgency.rank,
    )


def _result(call: Call, *, booked: bool) -> str:
    if call.attempts.returning:
        return "refused_again"
    return "booked" if booked else "too_late"
