"""What the load that others had at an upstream some time ago says about now."""

import math
from collections import defaultdict
from typing import NamedTuple

from redwingscale_daemon._internal.fleet.load_tracker import NO_LOAD, Load

# Weight of the newest announcement in the means: two seconds of them.
NEWEST_FRACTION = 0.12
# Instances report four times a second and the leader announces four times a second, so an
# announced load is this old on arrival in the mean.
REPORT_AGE_MS = 180.0
# Least standard deviation of the unread tokens: one usual prompt.
LEAST_SPREAD_TOKENS = 1800.0
# Half-life of the means without announcements.
FORGET_MS = 10_000.0
# Time in which half of what deviates from the usual queue has been read, at slowness 1: a
# worker reads some 5,000 tokens in 0.25 s while as many arrive.
HALF_LIFE_MS = 800.0


class Unread(NamedTuple):
    """Expected unread prompt tokens and their standard deviation."""

    tokens: float = 0.0
    spread: float = 0.0


class _Usual(NamedTuple):
    """Means over the announcements of the unread tokens and of their square."""

    tokens: float = 0.0
    square: float = 0.0


class OthersLoad:
    """The usual load of other instances, by upstream id.

    Designed for a load that is announced 0.25 to 0.75 s late, while a worker reads some 5,000
    tokens in 0.25 s: a long queue has mostly been read since, and an empty one has not
    stayed empty. With its age, an announced queue moves to the usual one, and its spread
    to that of the usual one.
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
                usual.square + (tokens * tokens - usual.square) * NEWEST_FRACTION,
            )
            if self._usual[key].tokens < 1.0:
                del self._usual[key]

    def now(self, upstream_id: str, announced: Load, age_ms: float, speed: float) -> Unread:
        """Return the others' unread tokens now; ``age_ms`` is the time since the announcement.

        ``speed`` is the inverse of the upstream's slowness.
        """
        usual = self._usual.get(upstream_id, _Usual())
        mean = usual.tokens * 0.5 ** (age_ms / FORGET_MS)
        kept = 0.5 ** ((age_ms + REPORT_AGE_MS) * speed / HALF_LIFE_MS)
        variance = max(0.0, usual.square - usual.tokens**2) * (1.0 - kept * kept)
        return Unread(
            mean + (announced.prompt_tokens - mean) * kept,
            math.hypot(math.sqrt(variance), LEAST_SPREAD_TOKENS),
        )

    def forget(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are gone."""
        for key in upstream_ids:
            self._usual.pop(key, None)
