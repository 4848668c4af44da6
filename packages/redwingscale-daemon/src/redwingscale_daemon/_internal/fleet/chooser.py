"""Chooses the upstream for a request."""

import random
import zlib
from collections.abc import Callable, Collection
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.first_event_estimate import FirstEventEstimate
from redwingscale_daemon._internal.fleet.fleet import Fleet
from redwingscale_daemon._internal.fleet.pause_cost import PauseCost
from redwingscale_daemon._internal.fleet.prompt import Prompt
from redwingscale_daemon._internal.fleet.stream_pauses import StreamPauses
from redwingscale_daemon._internal.fleet.upstream import Upstream

# Prompt tokens that an engine processes in a millisecond, without other work.
PROMPT_TOKENS_PER_MS = 24.0
# Time that each running request adds to the time to a first event.
RUNNING_REQUEST_MS = 6.0
# A request that finds the batch full waits for another one to end.
BATCH_FULL_COST_MS = 200.0
# A round trip to another failure domain takes 3 ms, and its traffic is charged for.
OTHER_DOMAIN_COST_MS = 8.0
# Instances see each other's load a quarter of a second late: without noise all of them
# would send to the same upstream until then.
NOISE_MS = 6.0
# Up to this many instances see most of the load at once, since they send it themselves,
# and each compares all upstreams. With more instances, each compares a smaller random
# sample for each request, of at least two: if all instances chose the same least loaded
# upstream, a queue would build up there at once.
COMPARE_ALL_INSTANCES = 6
MIN_COMPARED = 2
# An upstream that has just failed is chosen only if no other is left.
AVOIDED_COST_MS = 100_000.0
# Cost of a request that its upstream fails: the caller gets a late answer from another
# upstream, or the failure if no retry is left. An upstream that fails half of its requests
# is still chosen before one with a queue of more than a second.
FAILURE_COST_MS = 2000.0
# A request to a plain service takes about 20 ms, and each upstream runs a few at once.
PLAIN_REQUEST_MS = 10.0


class Candidate(NamedTuple):
    """An upstream and the expected cost of a request there.

    ``first_event_ms`` is the expected time to the first event at latency factor 1,
    ``expected_ms`` the same with the upstream's latency factor, and ``queue_ms`` the part
    of it that is spent on other requests. ``cached_tokens`` tokens of the prompt are cached
    at the upstream. ``among`` is the number of candidates that it was chosen from.
    ``pauses`` is the part of the cost for pauses of streams, None where it does not apply.
    ``estimate`` is what the times come from, None if they come from latency factors.
    """

    cost_ms: float
    upstream: Upstream
    first_event_ms: float = 0.0
    expected_ms: float = 0.0
    queue_ms: float = 0.0
    cached_tokens: int = 0
    among: int = 1
    pauses: PauseCost | None = None
    estimate: FirstEventEstimate | None = None


Allows = Callable[[Upstream], bool]


def allow_all(upstream: Upstream) -> bool:
    """Return True: any upstream may serve a request that has not begun."""
    return bool(upstream.id)


class Chooser:
    """Chooses the cheapest upstream by load, cached prompt, failure domain and failures."""

    def __init__(
        self,
        failure_domain: str,
        fleet: Fleet,
        instances: Callable[[], int] = lambda: COMPARE_ALL_INSTANCES,
        pauses: StreamPauses | None = None,
        estimates_on: Callable[[str], bool] = lambda service: False,
    ) -> None:
        self._pauses = pauses
        self._failure_domain = failure_domain
        self._instances = instances
        self._directory = fleet.directory
        self._load_tracker = fleet.load_tracker
        self._prefixes = fleet.prefixes
        self._health = fleet.health
        self._latency_factors = fleet.latency_factors
        self._first_events = fleet.first_events
        # Whether a service's times come from first event estimates, not latency factors.
        self._estimates_on = estimates_on
        self._gate = fleet.gate
        # Not for secrets, only to spread requests.
        self._random = random.Random()

    def choose_plain(
        self, service: str, tried: Collection[str], allows: Allows = allow_all
    ) -> Candidate | None:
        """Return the cheapest upstream of a plain service that is not in ``tried``.

        Here and below, ``allows`` tells whether an upstream may serve the request.
        """
        upstreams = self._sendable(self._plain_upstreams(service, tried, allows))
        return self._cheapest([Candidate(self._plain_cost(u), u) for u in upstreams])

    def choose_holder(
        self,
        service: str,
        prompt: Prompt,
        tried: Collection[str],
        allows: Allows = allow_all,
        *,
        compare_all: bool = False,
    ) -> Candidate | None:
        """Return the cheapest holder of the prompt's unit that is not in ``tried``.

        With many instances only a sample of the holders is compared, unless
        ``compare_all`` is set.
        """
        holders = self._sendable(self._holders(service, prompt, tried, allows))
        home = _home_id(prompt, holders)
        candidates = [self._prompt_candidate(u, prompt, home) for u in holders]
        if self._pauses is not None and not compare_all:
            # With ``compare_all``, a holder that is in time is needed, whatever else it costs.
            candidates = _with_pauses(candidates, self._pauses, service, prompt)
        return self._cheapest(candidates, compare_all=compare_all)

    def usable(self, service: str) -> list[Upstream]:
        """Return the listed upstreams of a service that take new work."""
        return self._directory.usable(service)

    def plain_ids(
        self, service: str, tried: Collection[str], allows: Allows = allow_all
    ) -> list[str]:
        """Return the ids of the upstreams of a plain service that are not in ``tried``."""
        return [upstream.id for upstream in self._plain_upstreams(service, tried, allows)]

    def resident_ids(
        self, service: str, prompt: Prompt, tried: Collection[str], allows: Allows = allow_all
    ) -> list[str]:
        """Return the holders of the prompt's unit, reached or not, that are not in ``tried``."""
        holders = filter(allows, self._directory.holders(service, prompt.unit))
        return [u.id for u in holders if u.id not in tried and not self._health.is_replaced(u.id)]

    def holder_ids(
        self, service: str, prompt: Prompt, tried: Collection[str], allows: Allows = allow_all
    ) -> list[str]:
        """Return the ids of the holders of the prompt's unit that are not in ``tried``."""
        return [upstream.id for upstream in self._holders(service, prompt, tried, allows)]

    def note_first_event(self, chosen: Candidate, real_ms: float) -> None:
        """Take the time to the first event of a request that was sent to ``chosen``."""
        match chosen.estimate:
            case None:
                self._latency_factors.observe(chosen.upstream.id, chosen.first_event_ms, real_ms)
            case estimate:
                self._first_events.observe(estimate, real_ms)

    def note_lost(self, chosen: Candidate, waited_ms: float) -> None:
        """Take a request to ``chosen`` that was lost after ``waited_ms`` without an event."""
        match chosen.estimate:
            case None:
                self._latency_factors.observe(chosen.upstream.id, chosen.first_event_ms, waited_ms)
            case estimate:
                self._first_events.observe_lost(estimate, waited_ms)

    def throttled_plain(
        self, service: str, tried: Collection[str], allows: Allows = allow_all
    ) -> list[str]:
        """Return the ids that `choose_plain` skips because of rate limits or retry times."""
        if not self._gate.known:
            return []
        return self._throttled(self._plain_upstreams(service, tried, allows))

    def throttled_holders(
        self, service: str, prompt: Prompt, tried: Collection[str], allows: Allows = allow_all
    ) -> list[str]:
        """Return the ids that `choose_holder` skips because of rate limits or retry times."""
        if not self._gate.known:
            return []
        return self._throttled(self._holders(service, prompt, tried, allows))

    def _plain_upstreams(
        self, service: str, tried: Collection[str], allows: Allows
    ) -> list[Upstream]:
        usable = filter(allows, self._directory.usable(service))
        return [u for u in usable if u.id not in tried and not self._health.is_replaced(u.id)]

    def _holders(
        self, service: str, prompt: Prompt, tried: Collection[str], allows: Allows
    ) -> list[Upstream]:
        holders = filter(allows, self._directory.holders(service, prompt.unit))
        return [u for u in holders if u.id not in tried and not self._health.is_unreachable(u.id)]

    def _sendable(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams whose rate limits and retry times allow a request now."""
        if not self._gate.known:
            return upstreams
        return [u for u in upstreams if self._gate.may_send(u.id)]

    def _throttled(self, upstreams: list[Upstream]) -> list[str]:
        return [u.id for u in upstreams if not self._gate.may_send(u.id)]

    def _plain_cost(self, upstream: Upstream) -> float:
        requests = self._load_tracker.total(upstream.id).requests
        beyond = max(0, requests + 1 - upstream.slots)
        return requests * PLAIN_REQUEST_MS / upstream.slots + beyond * PLAIN_REQUEST_MS

    def _prompt_candidate(self, upstream: Upstream, prompt: Prompt, home: str) -> Candidate:
        cached = self._prefixes.cached_tokens(upstream.id, prompt)
        if not cached and upstream.id == home:
            cached = _shared_tokens(prompt) // 2
        unread = max(0, prompt.tokens_in - cached)
        if self._estimates_on(upstream.service):
            return self._estimated(upstream, prompt, unread, cached)
        load = self._load_tracker.total(upstream.id)
        own = unread / PROMPT_TOKENS_PER_MS
        others = load.prompt_tokens / PROMPT_TOKENS_PER_MS + load.requests * RUNNING_REQUEST_MS
        beyond = max(0, load.requests + 1 - upstream.slots) * BATCH_FULL_COST_MS
        factor = self._latency_factors.factor(upstream.id)
        queue = others * factor + beyond
        expected = queue + own * factor
        return Candidate(expected, upstream, own + others, expected, queue, cached)

    def _estimated(self, upstream: Upstream, prompt: Prompt, unread: int, cached: int) -> Candidate:
        estimate = self._first_events.estimate(upstream, prompt, unread)
        return Candidate(
            estimate.cost_ms,
            upstream,
            estimate.base_ms,
            estimate.expected_ms,
            estimate.queue_ms,
            cached,
            estimate=estimate,
        )

    def _cheapest(
        self, candidates: list[Candidate], *, compare_all: bool = False
    ) -> Candidate | None:
        priced = [
            candidate._replace(cost_ms=candidate.cost_ms + self._extra_ms(candidate.upstream))
            for candidate in (candidates if compare_all else self._compared(candidates))
        ]
        best = min(priced, key=lambda candidate: candidate.cost_ms, default=None)
        return best._replace(among=len(candidates)) if best else None

    def _compared(self, candidates: list[Candidate]) -> list[Candidate]:
        """Return the candidates to compare: a random sample if there are many instances.

        The candidate with most of the prompt cached is always included. Candidates that
        have just failed are included only if no other is left.
        """
        healthy = [one for one in candidates if not self._health.is_avoided(one.upstream.id)]
        among = healthy or candidates
        count = max(MIN_COMPARED, round(len(among) * COMPARE_ALL_INSTANCES / self._instances()))
        if count >= len(among):
            return among
        sample = self._random.sample(among, count)
        if among[0].pauses is not None:
            # Instances that compare different holders would not separate their streams.
            sample.append(min(among, key=_place_ms))
        most_cached = max(among, key=lambda one: one.cached_tokens)
        return [*sample, most_cached] if most_cached.cached_tokens else sample

    def _extra_ms(self, upstream: Upstream) -> float:
        extra = self._random.random() * NOISE_MS
        if upstream.failure_domain != self._failure_domain:
            extra += OTHER_DOMAIN_COST_MS
        extra += self._health.failure_ratio(upstream.id) * FAILURE_COST_MS
        if self._health.is_avoided(upstream.id):
            extra += AVOIDED_COST_MS
        return extra


def _with_pauses(
    candidates: list[Candidate], pauses: StreamPauses, service: str, prompt: Prompt
) -> list[Candidate]:
    cached_by_id = {one.upstream.id: one.cached_tokens for one in candidates}
    costs = pauses.costs(service, prompt, cached_by_id)
    if not costs:
        return candidates
    return [
        one._replace(
            cost_ms=one.cost_ms + costs[one.upstream.id].cost_ms, pauses=costs[one.upstream.id]
        )
        for one in candidates
    ]


def _place_ms(candidate: Candidate) -> float:
    return candidate.pauses.place_ms if candidate.pauses else 0.0


def _shared_tokens(prompt: Prompt) -> int:
    # The last part belongs to this request alone.
    return sum(part.tokens for part in prompt.parts[:-1])


def _home_id(prompt: Prompt, holders: list[Upstream]) -> str:
    """Return the id of the holder that all instances prefer for this chain of shared parts.

    Each instance knows only which prompts it sent itself. Since all instances compute the
    same hash, requests of one chain reach one upstream without any message between them.
    """
    shared = "/".join(part.id for part in prompt.parts[:-1])
    if not shared or not holders:
        return ""
    return max(
        (u.id for u in holders),
        key=lambda key: zlib.crc32(f"{prompt.unit}/{shared}/{key}".encode()),
    )
