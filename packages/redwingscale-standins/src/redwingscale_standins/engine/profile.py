"""Performance profile and fault switches of one engine stand-in."""

from typing import Any, NamedTuple

import cherrypy


class Profile(NamedTuple):
    """Capacity and speed of an engine; ``slots`` is the maximum number of streams in a batch."""

    memory_bytes: int
    slots: int
    token_gap_seconds: float
    batch_slowdown: float
    block_prefill_seconds: float
    cache_blocks: int
    report_lag_seconds: float


class EngineFaults:
    """Fault switches, set through the admin interface while the engine runs.

    ``disturbances`` is the number of runs that stream faults still apply to, -1 for all.
    """

    def __init__(self) -> None:
        self.refuse = False
        self.slow_factor = 1.0
        self.silent_after_tokens = -1
        self.reset_after_tokens = -1
        self.truncate_after_tokens = -1
        self.wrong_attempt = False
        self.double_token = -1
        self.swap_token = -1
        self.disturbances = -1
        self.lose_orders = 0
        self.late_orders = 0
        self.late_seconds = 0.0
        self.lose_order_replies = 0
        self.nonsense_report = ""
        self.leaving = False
        self.fail_loads = 0

    def update(self, values: dict[str, Any]) -> None:
        """Set the switches named in ``values``; raise 400 for an unknown one."""
        unknown = values.keys() - vars(self).keys()
        if unknown:
            raise cherrypy.HTTPError(400, f"no switch {sorted(unknown)}")
        for name, value in values.items():
            setattr(self, name, value)

    def take(self, name: str) -> bool:
        """Decrement the switch ``name`` if it is positive; return whether it was."""
        due = getattr(self, name) > 0
        if due:
            setattr(self, name, getattr(self, name) - 1)
        return bool(due)

    def take_disturbance(self) -> bool:
        """Return whether stream faults apply to the next run, and count it."""
        return self.disturbances < 0 or self.take("disturbances")
