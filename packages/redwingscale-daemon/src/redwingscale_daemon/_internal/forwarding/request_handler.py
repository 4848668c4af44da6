"""Handles each request of a caller from arrival to reply."""

import math
import random
import time
from collections.abc import Callable
from functools import partial
from http import HTTPStatus
from typing import Protocol
from weakref import WeakValueDictionary

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import CallerLeft, ProcessEnds, Refusal
from redwingscale_daemon._internal.forwarding.answer_end import AnswerEnds
from redwingscale_daemon._internal.forwarding.attempts import Attempts
from redwingscale_daemon._internal.forwarding.call import Call
from redwingscale_daemon._internal.forwarding.crash_guard import CrashGuard
from redwingscale_daemon._internal.forwarding.detour import is_no_path
from redwingscale_daemon._internal.forwarding.dialect import Dialect
from redwingscale_daemon._internal.forwarding.envelope import DECLINED_HEADER, Envelope
from redwingscale_daemon._internal.forwarding.plain_relay import PlainRelay
from redwingscale_daemon._internal.forwarding.repeat_budget import RepeatBudget
from redwingscale_daemon._internal.forwarding.reply_rest import finish, send_rest
from redwingscale_daemon._internal.forwarding.request_log import RequestLog
from redwingscale_daemon._internal.forwarding.stop_check import StopCheck, end_refusal
from redwingscale_daemon._internal.forwarding.stream_origins import Found
from redwingscale_daemon._internal.forwarding.stream_relay import StreamRelay
from redwingscale_daemon._internal.forwarding.stream_resumption import StreamResumption
from redwingscale_daemon._internal.forwarding.terms import Terms
from redwingscale_daemon._internal.forwarding.watch import Watch
from redwingscale_daemon._internal.ingress.ingress_request import IngressRequest
from redwingscale_daemon._internal.ingress.reply import Reply
from redwingscale_daemon._internal.leases.clock import lease_clock
from redwingscale_daemon._internal.lifecycle.open_requests import OpenRequests
from redwingscale_daemon._internal.lifecycle.run_times import RunTimes
from redwingscale_daemon._internal.lifecycle.stop_rule import STOPPING, StopRule
from redwingscale_daemon._internal.models.run_state import RunState
from redwingscale_daemon._internal.routes.current_routes import CurrentRoutes
from redwingscale_daemon._internal.routes.route import Route
from redwingscale_daemon._internal.routes.route_table import RouteTable, draw_service
from redwingscale_daemon._internal.routes.table_check import TableCheck
from redwingscale_daemon._internal.routes.urgency import Urgency
from redwingscale_daemon._internal.telemetry.ingress_metrics import IngressMetrics
from redwingscale_daemon._internal.workspaces.request_permit import Permit, workspace_of
from redwingscale_daemon._internal.workspaces.use_limiter import UseLimiter
from redwingscale_daemon._internal.workspaces.workspace import Workspace

NO_CONFIGURATION_RETRY_SECONDS = 0.5
# Another instance can serve the request; here a thread becomes free when a stream ends.
NO_THREAD_RETRY_SECONDS = 0.3


class DemandSink(Protocol):
    """Counts the requests of callers as demand."""

    def arrived(self, service: str, terms: Terms, weight: float) -> None:
        """Count a request; ``weight`` depends on its urgency."""


class RequestHandler:
    """Routes, relays or refuses requests; each one gets exactly one final reply."""

    def __init__(
        self,
        routes: CurrentRoutes,
        dialect: Dialect,
        plain: PlainRelay,
        streams: StreamRelay,
        demand: DemandSink,
        budget: RepeatBudget,
        open_requests: OpenRequests,
        metrics: IngressMetrics,
        limiter: UseLimiter,
        guard: CrashGuard,
        leaves_rotation: Callable[[], bool] = lambda: False,
        crowded: Callable[[], bool] = lambda: False,
        ends: AnswerEnds | None = None,
        resumption: StreamResumption | None = None,
        table_check: TableCheck | None = None,
    ) -> None:
        self._table_check = table_check or TableCheck(routes, math.inf)
        # Whether callers should use another instance from now on.
        self._leaves_rotation = leaves_rotation
        # Whether all threads that may serve requests are in use.
        self._crowded = crowded
        self._routes = routes
        self._dialect = dialect
        self._plain = plain
        self._streams = streams
        self._demand = demand
        self._budget = budget
        self._open_requests = open_requests
        self._log = RequestLog(open_requests, metrics)
        self._limiter = limiter
        self._guard = guard
        self._resumption = resumption
        self._ends = ends or AnswerEnds(open_requests)
        self._run_times = RunTimes()
        self._stop = StopCheck(StopRule(open_requests, self._run_times))
        # The open requests that other instances have passed on, by the id of their passing.
        self._taken_over: WeakValueDictionary[str, Attempts] = WeakValueDictionary()
        # Not for secrets: it only draws a service by weight.
        self._random = random.Random()

    def handle(
        self, request: IngressRequest, reply: Reply, passed_on: Envelope | None = None
    ) -> None:
        """Serve ``request``; raises `CallerLeft` if the caller has disconnected.

        ``passed_on`` is set if another instance has passed the request on to this one.
        """
        with self._open_requests.track():
            reply.closes = self._closes_connections
            self._handle(request, reply, passed_on)

    def _closes_connections(self) -> bool:
        # A persistent connection could carry the next request just as the port closes.
        return self._open_requests.draining or self._leaves_rotation()

    def claim(self, passing: str) -> int:
        """Return how many upstreams may run a passed-on request, and let no further one run it.

        Returns 0 if the request is not open. The instance that has passed it on decides from
        now on whether another upstream is asked.
        """
        attempts = self._taken_over.get(passing)
        return 0 if attempts is None else attempts.shared.claim(attempts.possible_runs)

    def screen(self, head: IngressRequest, reply: Reply) -> bool:
        """Refuse a request before its body is read: without a known key, or too late in a stop.

        Returns whether it was refused.
        """
        table = self._routes.get()
        if table is None or (table.keys is None and not self._open_requests.draining):
            return False
        route = table.find(head.host, head.path)
        terms = self._dialect.read_terms(head)
        if route is None or isinstance(terms, str):
            return False
        try:
            self._stop.check_head(route, _deadline(head, terms, route) - lease_clock())
            workspace_of(table, route, terms.key_digest)
        except Refusal as refusal:
            if self._table_check.is_doubtful(refusal):
                # It is judged again before it is routed, which may wait for a newer table.
                return False
            refusal = self._table_check.final_refusal(terms.request_id, refusal)
            self._log.received(head, terms)
            self._log.ended(head, terms, None, refusal)
            reply.closes = self._closes_connections
            reply.leave_body_unread()
            self._refuse(refusal, reply)
            return True
        return False

    def refuse_unread(self, head: IngressRequest, reply: Reply, refusal: Refusal) -> None:
        """Refuse a request whose body was not read whole; raises `CallerLeft`."""
        terms = self._dialect.read_terms(head)
        if not isinstance(terms, str):
            self._log.received(head, terms)
            self._log.ended(head, terms, None, refusal)
        self._refuse(refusal, reply)

    def _handle(self, request: IngressRequest, reply: Reply, passed_on: Envelope | None) -> None:
        terms = self._dialect.read_terms(request)
        if isinstance(terms, str):
            log_event("request_malformed", level="WARNING", place="headers", detail=terms)
            self._refuse(Refusal(400, "malformed", terms), reply)
            return
        reply.label(terms.request_id)
        self._log.received(request, terms)
        call: Call | None = None
        try:
            call = self._route(request, terms, reply, passed_on)
            self._relay(call)
            finish(call)
        except Refusal as refusal:
            if call is None:
                refusal = self._table_check.final_refusal(terms.request_id, refusal)
            self._end_refused(request, terms, call, reply, refusal, passed_on)
        except ProcessEnds as error:
            if call is None:
                raise
            ending = end_refusal(call, error)
            if passed_on is not None and call.attempts.counts_as_lost and not reply.started:
                self._log.ended(request, terms, call, ending)
                raise
            self._end_refused(request, terms, call, reply, ending, passed_on)
        except CallerLeft as error:
            self._note_cut(call, reply, error)
            if call is not None and not call.attempts.arrivals.possible:
                call.permit.refund()
            self._log.left(request, terms, call, error)
            raise
        else:
            if reply.status < HTTPStatus.BAD_REQUEST:
                # A failure may come quickly, and tells nothing of how long others run.
                self._run_times.note(call.route.name, time.monotonic() - request.arrived_at)
            self._log.ended(request, terms, call, None, reply.status)

    def _end_refused(
        self,
        request: IngressRequest,
        terms: Terms,
        call: Call | None,
        reply: Reply,
        refusal: Refusal,
        passed_on: Envelope | None,
    ) -> None:
        if call is not None and refusal.run is RunState.NOT_RUN:
            call.permit.refund()
        self._note_cut(call, reply, refusal)
        self._log.ended(request, terms, call, refusal)
        declined = passed_on is not None and _may_go_elsewhere(refusal, call)
        self._refuse(refusal, reply, declined=declined)
        if call is not None:
            send_rest(call)

    def _note_cut(self, call: Call | None, reply: Reply, error: Refusal | CallerLeft) -> None:
        if call is not None and reply.started:
            self._ends.note_cut(call, error)

    def _route(
        self,
        request: IngressRequest,
        terms: Terms,
        reply: Reply,
        passed_on: Envelope | None,
    ) -> Call:
        table = self._routes.get()
        if table is None:
            raise Refusal(
                503,
                "no_configuration",
                "no configuration is known yet",
                retry_after_seconds=NO_CONFIGURATION_RETRY_SECONDS,
            )
        self._table_check.wait_until_current(terms.request_id)
        table = self._routes.get() or table
        route = table.find(request.host, request.path)
        if route is None:
            place = f"{request.host}{request.path} in version {table.version}"
            raise Refusal(404, "route_unknown", place)
        permit = Permit(self._routes, table, route, terms.key_digest, self._limiter)
        workspace = permit.workspace
        if passed_on is None and self._crowded():
            # Left unread until a thread is free, the request would time out at the caller,
            # which could not tell whether it had run.
            raise Refusal(
                503,
                "no_thread",
                "as many requests are open as this instance may serve at once",
                retry_after_seconds=NO_THREAD_RETRY_SECONDS,
            )
        attempts, service = self._begin(route, terms, permit, passed_on)
        name = workspace.name if workspace else ""
        watch = Watch(request.socket, _deadline(request, terms, route), reply, request.connection)
        reply.set_delivery_limit(watch.remaining())
        self._log.routed(
            terms, route, workspace, service, table.version, passed_on, watch.remaining()
        )
        return Call(
            request=request,
            terms=terms,
            route=route,
            service=service,
            headers=self._dialect.forwarded_headers(
                request,
                workspace.name if workspace else None,
                hide_key=table.keys is not None,
            ),
            watch=watch,
            reply=reply,
            attempts=attempts,
            permit=permit,
            urgency=_urgency(table, route, workspace),
            on_begun=partial(self._note_begun, terms, name, service),
        )

    def _note_begun(
        self, terms: Terms, workspace: str, service: str, software: str, tell: bool
    ) -> None:
        if self._resumption is None:
            return
        log_event(
            "stream_bound", request=terms.request_id, service=service, software=software, told=tell
        )
        self._resumption.note_begun(terms.request_id, workspace, service, software, tell=tell)

    def _begin(
        self, route: Route, terms: Terms, permit: Permit, passed_on: Envelope | None
    ) -> tuple[Attempts, str]:
        """Return the attempts and the service; the first instance draws from the limit."""
        if passed_on is None:
            found = self._find_origin(route, terms, permit)
            permit.draw(terms.request_id, terms.tokens)
            service = found.service if found else draw_service(route, self._random)
            self._budget.note_request(service)
            attempts = self._new_attempts(route, service)
            if found is not None:
                attempts.binding.bind(found.software)
            return attempts, service
        names = {one.service for one in route.services}
        service = passed_on.service
        if service not in names:
            service = draw_service(route, self._random)
        attempts = self._new_attempts(route, service)
        if passed_on.begun:
            attempts.binding.bind(passed_on.software)
        elif (found := self._find_origin(route, terms, permit)) is not None:
            # From an instance of the release before, which knows no versions.
            attempts.binding.bind(found.software)
        sender = passed_on.instance if passed_on.may_have_arrived else None
        attempts.take_over(passed_on.attempts, passed_on.possible_runs, passed_on.tried, sender)
        if passed_on.since_event is not None:
            # A stream that is old is not late: its caller waits for the next event.
            attempts.last_event_at = time.monotonic() - passed_on.since_event
        self._taken_over[passed_on.passing] = attempts
        return attempts, service

    def _find_origin(self, route: Route, terms: Terms, permit: Permit) -> Found | None:
        if self._resumption is None:
            return None
        workspace = permit.workspace.name if permit.workspace else ""
        return self._resumption.find(route, terms, workspace)

    def _new_attempts(self, route: Route, service: str) -> Attempts:
        binding = self._resumption.binding(service) if self._resumption else None
        return Attempts(route, service, self._budget, binding)

    def _relay(self, call: Call) -> None:
        call.watch.check_stop = partial(self._stop.check, call)
        call.watch.before_sending = partial(self._guard.check, call)
        self._stop.check(call)
        self._guard.note_arrival(call)
        self._guard.check(call)
        if not call.attempts.taken_over:
            self._demand.arrived(call.service, call.terms, call.urgency.weight)
        if call.terms.prompt is None:
            self._plain.run(call)
        else:
            self._streams.run(call, call.terms.prompt)

    def _refuse(self, refusal: Refusal, reply: Reply, *, declined: bool = False) -> None:
        if reply.started:
            reply.abort()
            if refusal.code == "time_limit":
                reply.drop_unwritten()
            return
        headers = [("Content-Type", "application/problem+json")]
        if refusal.retry_after_seconds is not None:
            headers.append(("Retry-After", f"{refusal.retry_after_seconds:.2f}"))
        if declined:
            headers.append((DECLINED_HEADER, "1"))
        if refusal.status == HTTPStatus.UNAUTHORIZED:
            headers.append(("WWW-Authenticate", "Bearer"))
        reply.send(refusal.status, headers, refusal.document())


def _urgency(table: RouteTable, route: Route, workspace: Workspace | None) -> Urgency:
    if table.keys is None or workspace is None:
        return Urgency(route.priority)
    return Urgency(route.priority, table.keys.rank(workspace), table.keys.ranks)


def _deadline(request: IngressRequest, terms: Terms, route: Route) -> float:
    """Return the deadline on `lease_clock`."""
    limit = route.time_limit_seconds
    if terms.deadline_seconds is not None:
        limit = min(limit, terms.deadline_seconds)
    return request.arrived_on_lease_clock + limit


def _may_go_elsewhere(refusal: Refusal, call: Call | None) -> bool:
    """Return whether the instance that passed the request on may try another one.

    Upstreams that it has asked itself may have run the request.
    """
    not_run_here = call is not None and not call.attempts.possible_runs_here
    return (refusal.code == STOPPING and not_run_here) or is_no_path(refusal)
