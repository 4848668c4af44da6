"""What the load that others had at an upstream some time ago says about now."""

import math
from collections import defaultdict
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.load_tracker import NO_LOAD, Load

# Weight of the newest announcement in the means: two seconds of them.
NEWEST_FRACTION = 0.12
# Tokens of a usual prompt, weighted by tokens: the variance of what arrives in a given time.
PROMPT_TOKENS = 2500.0
# Instances report four times a second and the leader announces four times a second, so an
# announced load is this old on arrival in the mean.
REPORT_AGE_MS = 150.0
# After this, the spread of what has arrived since is that of any moment.
MAX_SPREAD_AGE_MS = 1000.0
# Half-life of the means without announcements.
FORGET_MS = 10_000.0


class Unread(NamedTuple):
    """Expected unread prompt tokens and their standard deviation."""

    tokens: float = 0.0
    spread: float = 0.0


class _Usual(NamedTuple):
    """Means over the announcements: unread tokens, and the fraction with any."""

    tokens: float = 0.0
    busy: float = 0.0


class OthersLoad:
    """The usual load of other instances, by upstream id.

    Answers a load that is announced 0.25 to 0.75 s late, while a worker reads some 5,000
    tokens in 0.25 s: a long queue has mostly been read since, and an empty one has not
    stayed empty. A queue moves to its mean at the rate at which the upstream reads, less
    the rate at which others add to it.
    """

    def __init__(self) -> None:
        self._usual: dict[str, _Usual] = defaultdict(_Usual)

    def receive(self, loads: dict[str, Load]) -> None:
        """Take an announcement of the others' load by upstream id."""
        for key in loads.keys() | self._usual.keys():
            tokens = loads.get(key, NO_LOAD).prompt_tokens
            usual = self._usual[key]
            self._usual[key] = _Usual(
                usual.tokens + (tokens - usual.tokens) * NEWEST_FRACTION,
                usual.busy + ((1.0 if tokens else 0.0) - usual.busy) * NEWEST_FRACTION,
            )

    def now(self, upstream_id: str, announced: Load, age_ms: float, tokens_per_ms: float) -> Unread:
        """Return the others' unread tokens now; ``age_ms`` is the time since the announcement."""
        usual = self._usual.get(upstream_id, _Usual())
        age = min(age_ms + REPORT_AGE_MS, FORGET_MS)
        reported = float(announced.prompt_tokens)
        arriving = usual.busy * tokens_per_ms
        mean = usual.tokens * 0.5 ** (age_ms / FORGET_MS)
        if reported > mean:
            tokens = max(mean, reported - (tokens_per_ms - arriving) * age)
        else:
            tokens = min(mean, reported + arriving * age)
        added = arriving * min(age, MAX_SPREAD_AGE_MS) * PROMPT_TOKENS
        return Unread(tokens, math.sqrt(added))

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        for key in upstream_ids:
            self._usual.pop(key, None)
