"""How fast one engine stand-in works and how it errs."""

from typing import Any, NamedTuple

import cherrypy


class Profile(NamedTuple):
    """Memory in bytes, times in seconds; ``slots`` bounds what runs in one batch."""

    memory_bytes: int
    slots: int
    token_gap_seconds: float
    batch_slowdown: float
    block_prefill_seconds: float
    cache_blocks: int
    report_lag_seconds: float


class EngineFaults:
    """Switches set over the admin address while the engine runs.

    ``disturbances`` is how many runs the switches for streams still disturb, -1 for all.
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
        """Count the switch ``name`` down; return whether it was due."""
        due = getattr(self, name) > 0
        if due:
            setattr(self, name, getattr(self, name) - 1)
        return bool(due)

    def take_disturbance(self) -> bool:
        """Return whether one more run is to be disturbed, and count it."""
        return self.disturbances < 0 or self.take("disturbances")
