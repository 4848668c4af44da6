"""What upstreams hold, asked from themselves while nobody else tells."""

import itertools
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple, Protocol

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.fleet.residency import AdaptersByModel, Residency
from redwingscale_daemon._internal.fleet.upstream import Upstream
from redwingscale_daemon._internal.fleet.upstream_directory import UpstreamDirectory

# The order giver tells four times a second: after this it has fallen silent, or the
# link to it has.
SILENT_SECONDS = 0.8
# A list that was read within this part of the time in which an upstream that leaves must
# get no more work says enough; own reads come more often.
FRESH_LIST_FRACTION = 0.6
# Callers of an instance that is cut off come back through another one at once.
CALLER_RETRY_SECONDS = 0.05
# Those of a whole failure domain reach another one only when the balancer has found
# this one's instances not ready: it asks once a second, and counts two misses.
OUT_OF_ROTATION_SECONDS = 2.2
# Among many upstreams a round asks some, the next round the next ones.
MAX_REQUESTS_PER_ROUND = 12


class Report(Protocol):
    """What is used of an upstream's report."""

    @property
    def resident(self) -> AdaptersByModel:
        """Adapters by model."""

    @property
    def started_at_ms(self) -> int | None:
        """Which start of the process says it."""


class ListState(Protocol):
    """How the reads of the list go."""

    @property
    def age(self) -> float:
        """Seconds since the last answer."""

    @property
    def lost(self) -> bool:
        """Whether the last read got no answer."""


class _Answer(NamedTuple):
    """What an upstream says of itself, None without an answer."""

    upstream: Upstream
    report: Report | None


class OwnReports:
    """Asks the upstreams in rounds while neither the order giver nor the list tells.

    An instance that is cut off from both still reaches upstreams, for as long as the cut
    lasts. Models move meanwhile: it sent requests to upstreams that no longer held them,
    and refused those for models that had come. Who answers also tells what is cut: an
    instance that reaches upstreams of its own failure domain only shares the domain's
    fate.
    """

    def __init__(
        self,
        failure_domain: str,
        directory: UpstreamDirectory,
        residency: Residency,
        list_state: ListState,
        runs_models: Callable[[str], bool],
        ask: Callable[[Upstream], Report | None],
        leave_seconds: float = 2.0,
        may_ask: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self._failure_domain = failure_domain
        self._directory = directory
        self._residency = residency
        self._list = list_state
        self._runs_models = runs_models
        self._ask = ask
        # Whether an upstream, by its id, takes one more call.
        self._may_ask = may_ask
        self._list_seconds = leave_seconds * FRESH_LIST_FRACTION
        # Only while it asks: its threads would rest for hours between two cuts.
        self._pool: ThreadPoolExecutor | None = None
        self._offset = itertools.count(step=MAX_REQUESTS_PER_ROUND)
        self._domain_cut = False
        self._domain_cut_at = 0.0

    @property
    def caller_retry_seconds(self) -> float | None:
        """When callers refused here had better come back, None while not cut off.

        A giver that has fallen silent is replaced within seconds, and hears of what waits
        then: only where the list can't be read either is waiting here in vain.
        """
        if not self.domain_cut:
            return CALLER_RETRY_SECONDS if self.without_updates and self._list.lost else None
        left = self._domain_cut_at + OUT_OF_ROTATION_SECONDS - time.monotonic()
        return max(CALLER_RETRY_SECONDS, left)

    @property
    def without_updates(self) -> bool:
        """Whether neither the order giver nor the list has told anything lately."""
        # Where the list is read less often its age alone would have every instance ask
        # every upstream in each pause of the giver; a failed read tells as soon.
        return self.leader_silent and (
            self._list.age > self._list_seconds
            or (self._list.lost and self._list.age > SILENT_SECONDS)
        )

    @property
    def leader_silent(self) -> bool:
        """Whether the order giver has told nothing lately."""
        return self._residency.age > SILENT_SECONDS

    @property
    def domain_cut(self) -> bool:
        """Whether the whole failure domain is cut off from the others."""
        return self._domain_cut and self.without_updates

    def step(self) -> None:
        """Ask a round of upstreams, unless somebody tells what they hold."""
        if not self.without_updates:
            self._see_domain_cut(False)
            self._end_pool()
            return
        if self._pool is None:
            self._pool = ThreadPoolExecutor(MAX_REQUESTS_PER_ROUND, thread_name_prefix="own-reports")
        asked = [one for one in self._round() if self._may_ask(one.id)]
        answers = [*map(_Answer, asked, self._pool.map(self._ask, asked))]
        now = time.monotonic()
        for upstream, report in answers:
            if report is not None and report.started_at_ms == upstream.started_at_ms:
                self._residency.reported(upstream.id, report.resident, now)
        self._see_domain_cut(self._only_own_domain(answers))

    def _end_pool(self) -> None:
        if self._pool is not None:
            self._pool.shutdown(wait=False)
            self._pool = None

    def _round(self) -> list[Upstream]:
        known = [u for u in self._directory.all() if self._runs_models(u.service)]
        if len(known) <= MAX_REQUESTS_PER_ROUND:
            return known
        start = next(self._offset) % len(known)
        return [*known[start:], *known[:start]][:MAX_REQUESTS_PER_ROUND]

    def _only_own_domain(self, answers: list[_Answer]) -> bool:
        own: list[bool] = []
        others: list[bool] = []
        for upstream, report in answers:
            same = upstream.failure_domain == self._failure_domain
            (own if same else others).append(report is not None)
        return any(own) and bool(others) and not any(others)

    def _see_domain_cut(self, cut: bool) -> None:
        if cut != self._domain_cut:
            self._domain_cut, self._domain_cut_at = cut, time.monotonic()
            log_event("failure_domain_cut" if cut else "failure_domain_joined", level="WARNING")
