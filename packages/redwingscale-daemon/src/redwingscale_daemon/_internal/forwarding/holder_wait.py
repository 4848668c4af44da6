"""Waits until an upstream holds what a request asks for."""

import time
from collections.abc import Callable
from typing import NamedTuple, Protocol

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.chooser import Candidate, Chooser
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.residency import Residency
from redwingscale_daemon._internal.fleet.send_gate import SendGate
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.final_refusal import final_refusal
from redwingscale_daemon._internal.forwarding.throttle_wait import ThrottleWait
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests

# How often a waiting request looks whether its caller is still there.
CALLER_CHECK_SECONDS = 0.05
# An order giver that is there answers a new need within some tens of milliseconds.
NO_UPDATES_WAIT_SECONDS = 0.6
# A load for a request whose holders reject it is told within this time, if there is one.
LOAD_ANNOUNCED_SECONDS = 0.3
# A request that waits must leave its upstream time to read the prompt.
MIN_SERVICE_SECONDS = 0.25
# Without news of a load there is none under way: coming back soon would only be
# refused again.
NO_HOLDER_RETRY_SECONDS = 2.0
OVERLOADED_RETRY_SECONDS = 1.0
# A request behind a queue of more latency targets than this is refused.
MAX_QUEUE_TARGETS = 2.0
MILLISECONDS_PER_SECOND = 1000.0
# Before the end of the process, for the answer to reach the caller.
STOP_MARGIN_SECONDS = 0.8
# Another instance takes the request at once.
STOPPING_RETRY_SECONDS = 0.05


class WaitSink(Protocol):
    """Takes what waiting requests need."""

    def begin_wait(self, service: str, unit: Unit, max_wait_seconds: float) -> None:
        """Note that a request waits for ``unit``."""

    def end_wait(self, service: str, unit: Unit) -> None:
        """Note that it waits no more."""

    def note_overload(self, service: str, unit: Unit) -> None:
        """Note a request whose holders were too busy for it."""


class HolderWait(NamedTuple):
    """What a wait looks at."""

    chooser: Chooser
    changes: Changes
    residency: Residency
    demand: WaitSink
    open_requests: OpenRequests
    gate: SendGate
    # When to come back if this instance hears neither the order giver nor the list, None
    # while it hears one of them.
    caller_retry_seconds: Callable[[], float | None] = lambda: None

    def choose_holder(self, call: Call, prompt: Prompt) -> Candidate:
        """Return the best holder, waiting for one; raise `Refusal` or `CallerLeft`.

        A request that cannot be served in time is given up on at once, with when
        to come back: holding it would keep the caller from trying elsewhere.
        """
        found = self.chooser.choose_holder(call.service, prompt, call.attempts.tried)
        if found is not None:
            return self._choose_in_time(call, prompt, found)
        throttled = self.chooser.throttled_holders(call.service, prompt, call.attempts.tried)
        if throttled:
            self._check_queue(call, prompt, throttled)
        with self.gate.waiting(throttled):
            self.demand.begin_wait(call.service, prompt.unit, _max_wait_seconds(call))
            try:
                return self._wait(call, prompt)
            finally:
                self.demand.end_wait(call.service, prompt.unit)

    def _check_queue(self, call: Call, prompt: Prompt, throttled: list[str]) -> None:
        """Raise `Refusal` where neither the holders that take none now nor a load serve it in time."""
        ready_in = self.residency.ready_in(str(prompt.unit))
        if ready_in is not None and ready_in <= _max_wait_seconds(call):
            return
        if not self.gate.rate_limited(throttled):
            # The order giver may bring the unit to another upstream for this request.
            return
        try:
            ThrottleWait(self.gate, self.changes).check_queue(call, throttled, _max_wait_seconds(call))
        except Refusal:
            self.demand.note_overload(call.service, prompt.unit)
            raise

    def _choose_in_time(self, call: Call, prompt: Prompt, found: Candidate) -> Candidate:
        """Return a holder that answers in time, ``found`` if it does; raise `Refusal`.

        Not all holders were compared: one whose queue is long says nothing of those
        that were not drawn, and a request is refused only where the best is too late.
        """
        if _overload_refusal(call, found) is None:
            return found
        best = self.chooser.for_prompt(call.service, prompt, call.attempts.tried, compare_all=True)
        refusal = _overload_refusal(call, best or found)
        if refusal is None:
            return best or found
        self.demand.note_overload(call.service, prompt.unit)
        raise refusal

    def _wait(self, call: Call, prompt: Prompt) -> Candidate:
        started = time.monotonic()
        log_event(
            "waits_for_holder",
            request=call.terms.request_id,
            unit=prompt.unit,
            patience=round(_max_wait_seconds(call), 3),
            giver_heard=self.residency.fresh,
        )
        while True:
            seen = self.changes.count
            found = self.chooser.choose_holder(call.service, prompt, call.attempts.tried)
            if found is not None:
                return found
            self._refuse_if_not_in_time(call, prompt, time.monotonic() - started)
            self._refuse_if_stopping(call)
            self.changes.wait(seen, CALLER_CHECK_SECONDS)
            call.watch.check_caller()

    def _refuse_if_stopping(self, call: Call) -> None:
        # A planned stop must not cut a request that it has read: one that still
        # waits when the process is about to end would be closed without an answer.
        if self.open_requests.ends_at - time.monotonic() < STOP_MARGIN_SECONDS:
            raise final_refusal(call, "stopping", "the instance stops", STOPPING_RETRY_SECONDS)

    def _check_retry_times(
        self, call: Call, prompt: Prompt, throttled: list[str], ready_in: float | None
    ) -> None:
        """Raise `Refusal` where rejections name later times than the request can wait for."""
        retry_in = self.gate.retry_seconds(throttled)
        if not throttled or retry_in <= max(0.0, _max_wait_seconds(call)):
            return
        self.demand.note_overload(call.service, prompt.unit)
        detail = f"{','.join(throttled)} may be asked again in {retry_in:.2f} s"
        retry_seconds = min(retry_in, ready_in or NO_HOLDER_RETRY_SECONDS)
        raise final_refusal(call, "upstream_rejects", detail, retry_seconds)

    def _refuse_if_not_in_time(self, call: Call, prompt: Prompt, waited: float) -> None:
        if (retry_seconds := self.caller_retry_seconds()) is not None:
            # Nobody hears of the need from here: another instance may be better off.
            raise final_refusal(call, "cut_off", f"no news of {prompt.unit}", retry_seconds)
        left = _max_wait_seconds(call)
        ready_in = self.residency.ready_in(str(prompt.unit))
        throttled = self.chooser.throttled_holders(call.service, prompt, call.attempts.tried)
        if waited > LOAD_ANNOUNCED_SECONDS and (ready_in is None or ready_in > left):
            self._check_retry_times(call, prompt, throttled, ready_in)
        if ready_in is not None and not throttled:
            too_late = ready_in > left
        elif self.residency.fresh:
            too_late = left <= 0
        else:
            too_late = waited > NO_UPDATES_WAIT_SECONDS
        if not too_late:
            return
        detail = f"{prompt.unit} is ready in {ready_in} s, {left:.3f} s are left"
        raise final_refusal(call, "no_holder", detail, ready_in or NO_HOLDER_RETRY_SECONDS)


def _overload_refusal(call: Call, found: Candidate) -> Refusal | None:
    """Return the refusal where even the best holder would answer far too late.

    A request that waits behind more than fits into its time takes the time of
    those behind it as well, and all of them are late; refused, it costs nothing
    and comes back when the queue is shorter. The time to read its own prompt is
    no queue: counted, it would have the largest requests refused most often.
    """
    longest = call.route.latency_target_seconds * MAX_QUEUE_TARGETS
    queue, expected = found.queue_ms / MILLISECONDS_PER_SECOND, found.expected_ms / MILLISECONDS_PER_SECOND
    max_wait = _max_wait_seconds(call)
    excess = max(queue - longest, expected - max_wait)
    if excess <= 0 or call.attempts.count:
        return None
    return Refusal(
        503,
        "overloaded",
        f"{found.upstream.id} would begin in {expected:.2f} s behind {queue:.2f} s of others; "
        f"{longest:.2f} s of them and {max_wait:.2f} s in all are worth waiting",
        retry_after_seconds=max(OVERLOADED_RETRY_SECONDS, excess),
    )


def _max_wait_seconds(call: Call) -> float:
    """Return the seconds that a wait may still last: the upstream must have time left.

    Callers leave a stream long before their deadline when no event comes, counted
    from their request or from the last event that they got.
    """
    since = call.attempts.last_event_at or call.request.arrived_at
    next_event = since + call.route.first_event_seconds - time.monotonic()
    return min(call.watch.remaining(), next_event) - MIN_SERVICE_SECONDS
