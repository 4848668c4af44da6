"""The attempts to send one request, and whether another one is allowed."""

import time
from collections.abc import Iterable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import FirstUpstreamResumed, ResumedBeforeSending
from redwingscale_daemon._internal.fleet.backpressure_tracker import BackpressureState
from redwingscale_daemon._internal.fleet.chooser import Candidate
from redwingscale_daemon._internal.fleet.load_tracker import Load
from redwingscale_daemon._internal.forwarding.arrivals import Arrivals
from redwingscale_daemon._internal.forwarding.attempt_state import (
    AttemptState,
    FailedResponse,
)
from redwingscale_daemon._internal.forwarding.choice_fields import (
    estimate_fields,
    or_dash,
    pause_fields,
)
from redwingscale_daemon._internal.forwarding.outcome import Lost, NotRun
from redwingscale_daemon._internal.forwarding.repeat_budget import RepeatBudget
from redwingscale_daemon._internal.forwarding.shared_runs import SharedRuns
from redwingscale_daemon._internal.forwarding.stream_binding import StreamBinding
from redwingscale_daemon._internal.routes.route import Route

# An attempt that no upstream has run costs little, but uses up time until the deadline.
MAX_ATTEMPTS = 4
# An instance that declines costs little; one that is lost may have run the request.
MAX_PASSED_ON = 3
# Statuses that promise a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({429, 503})


class Attempts:
    """Tracks the upstreams that were tried and how many may have run the request."""

    def __init__(
        self,
        route: Route,
        service: str,
        budget: RepeatBudget,
        binding: StreamBinding | None = None,
    ) -> None:
        self._route = route
        # Which upstreams may go on with a stream that its caller has begun to receive.
        self.binding = binding or StreamBinding()
        self.arrivals = Arrivals(budget, service)
        self.tried: set[str] = set()
        # Of these, the upstreams that were not reached.
        self.unreached: set[str] = set()
        # How often an upstream refused the connection, which takes no time.
        self._refused_connections = 0
        # How often the request was passed on to another instance.
        self.passed_on = 0
        # The instance whose silent stream is kept open while another one is looked for.
        self.silent_peer: str | None = None
        # Whether another instance has passed it on to this one.
        self.taken_over = False
        # The upstreams that it may run at beside those counted here.
        self.shared = SharedRuns()
        self.count = 0
        self.possible_runs = 0
        self.history: list[str] = []
        self.failure: FailedResponse | None = None
        # Monotonic time of the last event written to the caller, None before the first one.
        self.last_event_at: float | None = None
        self.longest_gap_seconds = 0.0
        # Monotonic time of the last byte read from an upstream, None before the first one.
        self.last_read_at: float | None = None
        # The last attempt that was lost.
        self.last_loss: Lost | None = None
        # Identifies the content of the request; computed where it is needed.
        self.fingerprint: str | None = None
        # The attempt that is waited for or whose answer is relayed.
        self.current = AttemptState()
        self.first_event_seconds: float | None = None
        # The software versions of the upstreams whose events the caller was sent, in order.
        self.software: list[str] = []
        # Whether the request was refused before and has returned as announced to its caller.
        self.returning = False

    def begin(
        self, request: str, chosen: Candidate, load: Load, backpressure: BackpressureState
    ) -> None:
        """Count an attempt at ``chosen`` and log what the choice was based on."""
        upstream_id = chosen.upstream.id
        log_event(
            "sent",
            request=request,
            upstream=upstream_id,
            sending=self.count + 1,
            software=chosen.upstream.software,
            among=chosen.among,
            cost_ms=round(chosen.cost_ms),
            open=load.requests,
            unread_tokens=load.prompt_tokens,
            rate=or_dash(backpressure.per_second),
            leaving=or_dash(backpressure.leaving_seconds),
            retry_in=round(backpressure.retry_in, 3),
            **pause_fields(chosen),
            **estimate_fields(chosen.estimate),
        )
        self.count += 1
        self.arrivals.note_attempt()
        self.current = AttemptState()
        self.tried.add(upstream_id)

    def take_retry(self, outcome: NotRun | Lost) -> bool:
        """Record a failed attempt; return whether the request may be sent again.

        A request that may have run is sent again only if the route allows it, and to
        no more upstreams than the route allows.
        """
        self.note_failed(outcome)
        # Before its first event, a caller may have more time for another instance.
        counted = self.count - self._refused_connections
        if (self.count_of_reached if self.answer_begun else counted) >= MAX_ATTEMPTS:
            return False
        match outcome:
            case NotRun(no_repeat=True):
                return False
            case NotRun():
                return self._more_allowed()
            case Lost():
                return self._may_repeat()

    def note_failed(self, outcome: NotRun | Lost) -> None:
        """Record a failed attempt."""
        self.history.append(f"{outcome.upstream.id}:{outcome.reason}")
        if isinstance(outcome, NotRun) and outcome.retry_later:
            # The chooser leaves the upstream out until its retry time has passed.
            self.tried.discard(outcome.upstream.id)
        if isinstance(outcome, NotRun) and not outcome.reached:
            self.unreached.add(outcome.upstream.id)
            self._refused_connections += outcome.refused
        self.possible_runs += isinstance(outcome, Lost)

    def note_superseded(self, name: str, reason: str) -> None:
        """Record an attempt that may have run and was ended since another one went on first."""
        self.history.append(f"{name}:{reason}")
        self.possible_runs += self.shared.take_runs(name)

    def note_first_resumed(self, name: str, error: FirstUpstreamResumed) -> None:
        """Record a second attempt that is ended since the first upstream goes on."""
        if isinstance(error, ResumedBeforeSending):
            self.history.append(f"{name}:{error}")
        else:
            self.note_superseded(name, str(error))

    @property
    def may_ask_second(self) -> bool:
        """Whether the route allows one more upstream while the current one still runs."""
        return self._may_ask(self.running)

    @property
    def may_ask_third(self) -> bool:
        """Whether the route allows one more upstream while two of them still run."""
        return self._may_ask(self.running + 1)

    @property
    def running(self) -> int:
        """How many upstreams may run the request on the connection that is waited for."""
        return self.shared.running_at(self.silent_peer)

    def _may_ask(self, running: int) -> bool:
        return (
            not self.shared.claimed
            and self.count_of_reached < MAX_ATTEMPTS
            and self._route.repeatable
            and self.possible_runs + running < self._route.most_upstreams
        )

    def take_over(
        self, attempts: int, possible_runs: int, tried: Iterable[str], sender: str | None
    ) -> None:
        """Continue the attempts of the instance that has passed the request on.

        ``sender`` is that instance if an upstream may have received the request from it.
        """
        self.taken_over = True
        if sender is not None:
            self.arrivals.note_sender(sender)
        self.count, self.possible_runs = attempts, possible_runs
        self.shared.take_over(possible_runs)
        self.tried.update(tried)

    @property
    def may_pass_on_to_peer(self) -> bool:
        """Whether the request may go to another instance: at most once, and not in a circle."""
        return not self.taken_over and self.passed_on < MAX_PASSED_ON

    @property
    def count_of_reached(self) -> int:
        """The attempts without those whose upstream was not reached, at least 1 after any."""
        return max(min(1, self.count), self.count - len(self.unreached))

    def note_passed_on(self, peer: str) -> None:
        """Count that the request is passed on to the instance ``peer``."""
        self.passed_on += 1
        self.history.append(f"passed on to {peer}")

    def take_retry_after_lost_peer(self, peer: str, reason: str) -> bool:
        """Record a peer that was lost with the request; return whether to try another way."""
        self.history.append(reason)
        self.possible_runs += self.shared.take_runs(peer)
        return self.passed_on < MAX_PASSED_ON and self._may_repeat()

    def take_retry_after_error(self, upstream_id: str, reason: str) -> bool:
        """Record a failed or unsigned response; return whether to try another upstream."""
        self.history.append(f"{upstream_id}:{reason}")
        self.possible_runs += 1
        return self.count < MAX_ATTEMPTS and self._may_repeat()

    def may_pass_on(self, status: int, *, counted: bool) -> bool:
        """Return whether a response with ``status`` is true of all attempts.

        ``counted`` tells whether the attempt that received it counts in `possible_runs`.
        """
        return status not in NOT_RUN_STATUSES or self.possible_runs == int(counted)

    def note_first_event(self, state: AttemptState) -> float:
        """Record the first event of an attempt; return the seconds since it was sent."""
        seconds = state.seconds_since_send()
        if self.first_event_seconds is None:
            self.first_event_seconds = seconds
        return seconds

    def note_delivery(self) -> float:
        """Record an event written to the caller, and the gap since the last one; return the time."""
        now = time.monotonic()
        if self.last_event_at is not None:
            self.longest_gap_seconds = max(self.longest_gap_seconds, now - self.last_event_at)
        self.last_event_at = now
        return now

    def note_software(self, software: str | None) -> None:
        """Note the version of the upstream that wrote an event for the caller."""
        name = software or "-"
        if self.software[-1:] != [name]:
            self.software.append(name)

    @property
    def answer_begun(self) -> bool:
        """Whether the caller was sent an event, by this instance or by the one before."""
        return self.last_event_at is not None

    @property
    def seconds_since_event(self) -> float | None:
        """The seconds since an event was written to the caller, None before the first one."""
        return None if self.last_event_at is None else time.monotonic() - self.last_event_at

    @property
    def certainly_not_run(self) -> bool:
        """Whether no upstream has run the request or will run it."""
        return self.possible_runs == 0

    @property
    def possible_runs_here(self) -> int:
        """How many of the possible runs are not those of the instance that passed it on."""
        return self.shared.runs_since(self.possible_runs)

    @property
    def counts_as_lost(self) -> bool:
        """Whether the instance that passed it on counts right if it takes this one for lost."""
        return self.possible_runs_here == 1

    def _more_allowed(self) -> bool:
        allowed = self.arrivals.more_allowed
        if not allowed:
            self.history.append("no repeat is left")
        return allowed

    def _may_repeat(self) -> bool:
        if self.shared.claimed:
            return False
        return (
            self._route.repeatable
            and self.possible_runs < self._route.most_upstreams
            and self._more_allowed()
        )
