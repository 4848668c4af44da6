"""Waits until the model or adapter of a request is resident at an upstream."""

import math
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import Refusal
from redwingscale_daemon._internal.fleet.changes import Changes
from redwingscale_daemon._internal.fleet.chooser import Candidate, Chooser
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.residency import Residency
from redwingscale_daemon._internal.fleet.send_gate import SendGate
from redwingscale_daemon._internal.fleet.unit import Unit
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.final_refusal import final_refusal
from redwingscale_daemon._internal.forwarding.peer_offers import Peer
from redwingscale_daemon._internal.forwarding.place_rule import (
    FIRST_COME_FIRST_SERVED,
    Holders,
    PlaceRule,
)
from redwingscale_daemon._internal.forwarding.prompt_pacing import hold
from redwingscale_daemon._internal.forwarding.return_order import UNORDERED, ReturnOrder
from redwingscale_daemon._internal.forwarding.stream_binding import BEGIN_ANEW_SECONDS
from redwingscale_daemon._internal.forwarding.throttle_wait import ThrottleWait
from redwingscale_daemon._internal.forwarding.wait_bounds import (
    max_wait_seconds,
    overload_refusal,
)
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests

# How often a waiting request checks that its caller is still connected.
CALLER_CHECK_SECONDS = 0.05
# A live leader announces a load for new demand within some tens of milliseconds. Without
# updates from a leader, a request waits no longer than this.
NO_UPDATES_WAIT_SECONDS = 0.6
# If the leader loads the unit elsewhere for a request whose holders reject it, the load
# is announced within this time, and by the second update of the leader: the first one may
# have been planned before the request was counted.
LOAD_ANNOUNCED_SECONDS = 0.3
LOAD_ANNOUNCED_UPDATES = 2
# If no load is announced, none is in progress, and an earlier retry would be refused
# again.
NO_HOLDER_RETRY_SECONDS = 2.0


class WaitSink(Protocol):
    """Counts the demand of waiting requests."""

    def begin_wait(
        self, service: str, unit: Unit, max_wait_seconds: float, software: str | None = None
    ) -> None:
        """Count a request that waits for ``unit`` for up to ``max_wait_seconds``.

        ``software`` is the version that a begun stream waits for, None for any version.
        """

    def end_wait(self, service: str, unit: Unit, software: str | None = None) -> None:
        """Remove a request that no longer waits for ``unit``; ``software`` as in `begin_wait`."""

    def note_overload(self, service: str, unit: Unit) -> None:
        """Count a request whose holders were too busy to serve it in time."""


class _Wait(NamedTuple):
    """When a wait began, monotonic, and how many updates of leaders had come by then."""

    began_at: float
    updates: int

    @property
    def seconds(self) -> float:
        """How long the wait has lasted."""
        return time.monotonic() - self.began_at


LoadSeconds = Callable[[str, Unit, Upstream], float]
FindPeer = Callable[[Call, Callable[[], Sequence[str]]], Peer | None]


class HolderWait(NamedTuple):
    """Chooses the holder of a request's unit, waiting for one if there is none."""

    chooser: Chooser
    changes: Changes
    residency: Residency
    demand: WaitSink
    open_requests: OpenRequests
    gate: SendGate
    # Seconds after which a refused caller should retry while this instance is isolated:
    # it reaches neither the leader nor the list, or only its own failure domain. None
    # while it is not isolated.
    caller_retry_seconds: Callable[[], float | None] = lambda: None
    order: ReturnOrder = UNORDERED
    # Counts a prompt that was held because it would have broken streams.
    on_held: Callable[[], None] = lambda: None
    places: PlaceRule = FIRST_COME_FIRST_SERVED
    # Returns another instance to pass a request on to, given how to list the holders.
    find_peer: FindPeer = lambda call, list_holders: None
    # Returns the seconds in which an upstream of a service could load a unit, 0 if it holds it.
    load_seconds: LoadSeconds = lambda service, unit, upstream: 0.0

    def choose_holder(self, call: Call, prompt: Prompt) -> Candidate | Peer:
        """Return the best holder, waiting for one; raises `Refusal`, `CallerLeft`.

        Returns another instance if only others reach the holders.

        A request that cannot be served in time is refused at once, with a retry time:
        a longer wait would keep the caller from trying another instance.
        """
        self.order.note_arrival(call, prompt)
        try:
            return self._choose_holder(call, prompt)
        except Refusal as refusal:
            self.note_refusal(call, prompt, refusal)
            raise

    def note_refusal(self, call: Call, prompt: Prompt, refusal: Refusal) -> None:
        """Set the time at which the caller of a refused request should return."""
        self.order.note_refusal(call, prompt, refusal, max_wait_seconds(call))

    def _cheapest(
        self, call: Call, prompt: Prompt, *, compare_all: bool = False
    ) -> Candidate | None:
        """Return the best holder that may serve the request now."""
        attempts = call.attempts
        return self.chooser.choose_holder(
            call.service, prompt, attempts.tried, attempts.binding.allows, compare_all=compare_all
        )

    def _throttled(self, call: Call, prompt: Prompt) -> list[str]:
        attempts = call.attempts
        return self.chooser.throttled_holders(
            call.service, prompt, attempts.tried, attempts.binding.allows
        )

    def _refuse_if_not_served(self, call: Call) -> None:
        """Raise `Refusal` at once if no listed upstream may go on with a begun stream."""
        binding = call.attempts.binding
        if not binding.begun:
            return
        reason = binding.not_served(self.chooser.usable(call.service))
        if reason is not None:
            raise final_refusal(call, reason.code, reason.detail, BEGIN_ANEW_SECONDS)

    def _refuse_if_loaded_too_late(self, call: Call, prompt: Prompt) -> None:
        """Raise `Refusal` if no upstream of a begun stream's version has the unit in time."""
        binding, left = call.attempts.binding, max_wait_seconds(call)
        if binding.awaited is None or self._throttled(call, prompt):
            return
        ready_in = self.residency.ready_in(str(prompt.unit))
        allowed = [*filter(binding.allows, self.chooser.usable(call.service))]
        if not allowed:
            # The list may lag.
            return
        loaded_in = min(
            (
                self.load_seconds(call.service, prompt.unit, one)
                for one in allowed
                if one.id not in call.attempts.tried
            ),
            default=math.inf,
        )
        if min(loaded_in, math.inf if ready_in is None else ready_in) > left:
            detail = f"{binding.awaited} has {prompt.unit} in {loaded_in} s, {left:.3f} s are left"
            raise final_refusal(call, "no_holder", detail, BEGIN_ANEW_SECONDS)

    def _choose_holder(self, call: Call, prompt: Prompt) -> Candidate | Peer:
        self._refuse_if_not_served(call)
        found = self._cheapest(call, prompt)
        if found is not None:
            return self._hold(call, prompt, self._choose_in_time(call, prompt, found))
        if (peer := self._find_peer(call, prompt)) is not None:
            return peer
        throttled = self._throttled(call, prompt)
        if throttled:
            self._check_queue(call, prompt, throttled)
        with self.gate.waiting(throttled):
            software = call.attempts.binding.awaited
            self.demand.begin_wait(call.service, prompt.unit, max_wait_seconds(call), software)
            try:
                return self._wait_for_holder(call, prompt)
            finally:
                self.demand.end_wait(call.service, prompt.unit, software)

    def choose_now(self, call: Call, prompt: Prompt) -> Candidate | Peer | None:
        """Return the best holder, or an instance that reaches one, without waiting for any."""
        self._refuse_if_not_served(call)
        found = self._cheapest(call, prompt)
        return found or self._find_peer(call, prompt)

    def _find_peer(self, call: Call, prompt: Prompt) -> Peer | None:
        # Another instance may reach those that this one has tried in vain.
        excluded = call.attempts.tried - call.attempts.unreached
        return self.find_peer(
            call,
            lambda: self.chooser.resident_ids(
                call.service, prompt, excluded, call.attempts.binding.allows
            ),
        )

    def _hold(self, call: Call, prompt: Prompt, found: Candidate) -> Candidate:
        if found.pauses is None:
            return found
        return hold(
            call,
            found,
            lambda: self._cheapest(call, prompt),
            lambda: self.open_requests.draining,
            self.on_held,
        )

    def _check_queue(self, call: Call, prompt: Prompt, throttled: list[str]) -> None:
        """Raise `Refusal` if neither the throttled holders nor a load can serve it in time."""
        ready_in = self.residency.ready_in(str(prompt.unit))
        if ready_in is not None and ready_in <= max_wait_seconds(call):
            return
        if not self.gate.rate_limited(throttled):
            # The holders only reject requests for now: the leader may load the unit at
            # another upstream.
            return
        try:
            ThrottleWait(self.gate, self.changes).check_queue(
                call, throttled, max_wait_seconds(call)
            )
        except Refusal:
            self.demand.note_overload(call.service, prompt.unit)
            raise

    def _choose_in_time(self, call: Call, prompt: Prompt, found: Candidate) -> Candidate:
        """Return ``found``, or the best of all holders if there is no place at ``found``.

        The chooser compares only a sample of the holders, so a long queue at ``found``
        says nothing about the rest. Raises `Refusal` only if the best one has no place.
        """
        match self.places.take_place(call, prompt, found, self.holders(call, prompt)):
            case Candidate() as chosen:
                return chosen
            case refusal:
                self.demand.note_overload(call.service, prompt.unit)
                raise refusal

    def holders(self, call: Call, prompt: Prompt) -> Holders:
        """Return what the choice of a place needs to know of the request's holders."""
        return Holders(
            lambda: self._cheapest(call, prompt),
            lambda: self._cheapest(call, prompt, compare_all=True),
            lambda: self.chooser.holder_ids(
                call.service, prompt, call.attempts.tried, call.attempts.binding.allows
            ),
            lambda one: self.order.overload_refusal(call, prompt, one, overload_refusal),
            lambda: call.watch.check_caller(),
        )

    def _wait_for_holder(self, call: Call, prompt: Prompt) -> Candidate | Peer:
        started, updates = time.monotonic(), self.residency.updates
        log_event(
            "waits_for_holder",
            request=call.terms.request_id,
            unit=prompt.unit,
            patience=round(max_wait_seconds(call), 3),
            giver_heard=self.residency.fresh,
        )
        while True:
            self._refuse_if_not_served(call)
            seen = self.changes.count
            found = self._cheapest(call, prompt)
            if found is not None:
                return found
            if (peer := self._find_peer(call, prompt)) is not None:
                return peer
            self._refuse_if_loaded_too_late(call, prompt)
            self._refuse_if_not_in_time(call, prompt, _Wait(started, updates))
            self.changes.wait(seen, CALLER_CHECK_SECONDS)
            call.watch.check_caller()

    def _check_retry_times(
        self, call: Call, prompt: Prompt, throttled: list[str], ready_in: float | None
    ) -> None:
        """Raise `Refusal` if all retry times of the holders are later than the wait can last."""
        retry_in = self.gate.retry_seconds(throttled)
        if not throttled or retry_in <= max(0.0, max_wait_seconds(call)):
            return
        self.demand.note_overload(call.service, prompt.unit)
        detail = f"{','.join(throttled)} may be asked again in {retry_in:.2f} s"
        retry_seconds = min(retry_in, ready_in or NO_HOLDER_RETRY_SECONDS)
        raise final_refusal(call, "upstream_rejects", detail, retry_seconds)

    def _is_load_unannounced(self, wait: _Wait) -> bool:
        updates = self.residency.updates - wait.updates
        return wait.seconds > LOAD_ANNOUNCED_SECONDS and updates >= LOAD_ANNOUNCED_UPDATES

    def _refuse_if_not_in_time(self, call: Call, prompt: Prompt, wait: _Wait) -> None:
        if (retry_seconds := self.caller_retry_seconds()) is not None:
            # The leader does not receive this instance's demand: the caller should retry at
            # another instance.
            raise final_refusal(call, "cut_off", f"no news of {prompt.unit}", retry_seconds)
        left = max_wait_seconds(call)
        ready_in = self.order.ready_in(call, prompt, self.residency.ready_in(str(prompt.unit)))
        throttled = self._throttled(call, prompt)
        if self._is_load_unannounced(wait) and (ready_in is None or ready_in > left):
            self._check_retry_times(call, prompt, throttled, ready_in)
        if ready_in is not None and not throttled:
            too_late = ready_in > left
        elif self.residency.fresh:
            too_late = left <= 0 or (
                not throttled and self.order.is_unplanned(call, prompt, wait.seconds, left)
            )
        else:
            too_late = wait.seconds > NO_UPDATES_WAIT_SECONDS
        if not too_late:
            return
        detail = f"{prompt.unit} is ready in {ready_in} s, {left:.3f} s are left"
        raise final_refusal(call, "no_holder", detail, ready_in or NO_HOLDER_RETRY_SECONDS)
