"""Fault switches of the platform stand-in, set through its admin interface."""

import threading
import time

import cherrypy

from redwingscale_standins.hang import drop_connection


class PlatformFaults:
    """Fault switches.

    ``down`` answers 503, ``slow_seconds`` delays each call, ``lose_replies`` is the number
    of writes whose reply is dropped, ``list_lag_seconds`` is the age of the member list, and
    calls from ``cut_instances`` are dropped.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.down = False
        self.slow_seconds = 0.0
        self.lose_replies = 0
        self.list_lag_seconds = 0.0
        self.cut_instances: set[str] = set()

    def update(self, values: dict[str, object]) -> None:
        """Set the switches named in ``values``; raise 400 for an unknown one."""
        unknown = values.keys() - vars(self).keys()
        if unknown:
            raise cherrypy.HTTPError(400, f"no switch {sorted(unknown)}")
        for name, value in values.items():
            setattr(self, name, set(value) if isinstance(value, list) else value)

    def before(self, sender: str) -> None:
        """Apply delay, cut and outage at the start of a call by ``sender``."""
        if self.slow_seconds:
            time.sleep(self.slow_seconds)
        if sender in self.cut_instances:
            drop_connection()
        if self.down:
            raise cherrypy.HTTPError(503, "the store is down")

    def after_write(self) -> None:
        """Drop the reply of a committed write, if ``lose_replies`` is positive."""
        with self._lock:
            lost = self.lose_replies > 0
            self.lose_replies -= int(lost)
        if lost:
            drop_connection()
