"""Requests reports from the upstreams while neither leader nor list gives their residency."""

import itertools
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple, Protocol

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel, Residency
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# The leader sends updates four times a second: after this time without one, the leader or
# the link to it is silent.
SILENT_SECONDS = 0.8
# A list is fresh enough if it was read within this fraction of the time after which a
# leaving upstream gets no new work; own reads are more frequent.
FRESH_LIST_FRACTION = 0.6
# Callers of an instance that is cut off can retry through another instance at once.
CALLER_RETRY_SECONDS = 0.05
# If a whole failure domain is cut off, callers reach another one only after the balancer
# has found the instances here not ready: it checks once a second and needs two misses.
OUT_OF_ROTATION_SECONDS = 2.2
# With more upstreams than this, each round covers the next ones in turn.
MAX_REQUESTS_PER_ROUND = 12


class Report(Protocol):
    """The part of an upstream's report that is used here."""

    @property
    def resident(self) -> AdaptersByModel:
        """Resident adapters by model."""

    @property
    def started_at_ms(self) -> int | None:
        """When the reporting process started, None if unknown."""


class ListState(Protocol):
    """State of this instance's reads of the list."""

    @property
    def age(self) -> float:
        """Seconds since the last answer."""

    @property
    def lost(self) -> bool:
        """Whether the last read got no answer."""


class _Answer(NamedTuple):
    """An upstream and its report, None if it did not answer."""

    upstream: Upstream
    report: Report | None


class OwnReports:
    """Requests reports in rounds while neither leader nor list gives current residency.

    An instance that is cut off from both can still reach upstreams. Since models are
    swapped meanwhile, it would send requests to upstreams where a model is no longer
    resident, and refuse requests for models that have been loaded. The answers also show
    what is cut off: if only upstreams of its own failure domain answer, the whole domain
    is.
    """

    def __init__(
        self,
        failure_domain: str,
        directory: UpstreamDirectory,
        residency: Residency,
        list_state: ListState,
        runs_models: Callable[[str], bool],
        request_report: Callable[[Upstream], Report | None],
        leave_seconds: float = 2.0,
        may_request: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._residency = residency
        self._list = list_state
        self._runs_models = runs_models
        self._request_report = request_report
        # Whether one more request may be sent to an upstream, by its id.
        self._may_request = may_request
        self._fresh_list_seconds = leave_seconds * FRESH_LIST_FRACTION
        # Exists only while reports are requested: its threads would be idle for hours
        # between two network partitions.
        self._pool: ThreadPoolExecutor | None = None
        self._offset = itertools.count(step=MAX_REQUESTS_PER_ROUND)
        self._domain_cut = False
        self._domain_cut_at = 0.0

    @property
    def caller_retry_seconds(self) -> float | None:
        """Seconds after which callers refused here should retry, None while not cut off.

        A silent leader is replaced within seconds, and its successor learns which requests
        wait. Waiting here is useless only if the list cannot be read either.
        """
        if not self.domain_cut:
            return CALLER_RETRY_SECONDS if self.without_updates and self._list.lost else None
        left = self._domain_cut_at + OUT_OF_ROTATION_SECONDS - time.monotonic()
        return max(CALLER_RETRY_SECONDS, left)

    @property
    def without_updates(self) -> bool:
        """Whether the leader is silent and the list was not read lately either."""
        # With `SILENT_SECONDS` as the only limit, a list that is read less often would have
        # every instance query every upstream whenever the leader pauses. A failed read
        # shows a partition just as early.
        return self.leader_silent and (
            self._list.age > self._fresh_list_seconds
            or (self._list.lost and self._list.age > SILENT_SECONDS)
        )

    @property
    def leader_silent(self) -> bool:
        """Whether no update of the leader was received lately."""
        return self._residency.age > SILENT_SECONDS

    @property
    def domain_cut(self) -> bool:
        """Whether the whole failure domain is cut off from the others."""
        return self._domain_cut and self.without_updates

    def step(self) -> None:
        """Request reports from one round of upstreams if there are no updates."""
        if not self.without_updates:
            self._set_domain_cut(False)
            self._end_pool()
            return
        if self._pool is None:
            self._pool = ThreadPoolExecutor(
                MAX_REQUESTS_PER_ROUND, thread_name_prefix="own-reports"
            )
        queried = [one for one in self._next_round() if self._may_request(one.id)]
        answers = [*map(_Answer, queried, self._pool.map(self._request_report, queried))]
        now = time.monotonic()
        for upstream, report in answers:
            if report is not None and report.started_at_ms == upstream.started_at_ms:
                self._residency.reported(upstream.id, report.resident, now)
        self._set_domain_cut(self._reaches_only_own_domain(answers))

    def _end_pool(self) -> None:
        if self._pool is not None:
            self._pool.shutdown(wait=False)
            self._pool = None

    def _next_round(self) -> list[Upstream]:
        known = [u for u in self._directory.all() if self._runs_models(u.service)]
        if len(known) <= MAX_REQUESTS_PER_ROUND:
            return known
        start = next(self._offset) % len(known)
        return [*known[start:], *known[:start]][:MAX_REQUESTS_PER_ROUND]

    def _reaches_only_own_domain(self, answers: list[_Answer]) -> bool:
        own: list[bool] = []
        others: list[bool] = []
        for upstream, report in answers:
            same = upstream.failure_domain == self._failure_domain
            (own if same else others).append(report is not None)
        return any(own) and bool(others) and not any(others)

    def _set_domain_cut(self, cut: bool) -> None:
        if cut != self._domain_cut:
            self._domain_cut, self._domain_cut_at = cut, time.monotonic()
            log_event("failure_domain_cut" if cut else "failure_domain_joined", level="WARNING")
