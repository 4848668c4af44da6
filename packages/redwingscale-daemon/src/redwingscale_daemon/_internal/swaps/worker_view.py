"""One model worker as the planner sees it."""

from typing import NamedTuple

from redwingscale_daemon._internal.fleet.holdings import Held
from redwingscale_daemon._internal.fleet.upstream import Upstream


class WorkerView(NamedTuple):
    """``free`` workers have no order under way and take new work.

    ``loading`` is the model that it loads now, empty for none; ``settled_at``
    is the monotonic time at which each model came, by model. ``prompt_tokens``
    wait there to be read.
    """

    upstream: Upstream
    held: Held
    free: bool
    loading: str
    settled_at: dict[str, float]
    requests: int
    prompt_tokens: int
