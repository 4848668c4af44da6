"""Polls cache events of the engines that this instance owns."""

import time
from collections.abc import Callable

from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.exceptions import ReportInvalid, UpstreamError
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.models.member import EngineMember
from redwingscale_daemon._internal.routing.cache_feed import CacheFeed
from redwingscale_daemon._internal.upstreams.engine_control import EngineControl


class CachePoller:
    """Polls each owned engine once per step.

    Only owners poll, so the number of polls grows with the engines, not the instances.
    """

    def __init__(
        self,
        members: Members,
        is_owned: Callable[[str], bool],
        control: EngineControl,
        feed: CacheFeed,
    ) -> None:
        self._members = members
        self._is_owned = is_owned
        self._control = control
        self._feed = feed

    def step(self) -> None:
        """Poll once; an engine that does not answer is polled again in the next step."""
        for engine in self._members.engines():
            if self._is_owned(engine.id) and not engine.leaving:
                self._poll(engine)

    def _poll(self, engine: EngineMember) -> None:
        try:
            events = self._control.cache_events(engine, self._feed.since(engine.id))
        except (UpstreamError, ReportInvalid) as error:
            log_event("cache_poll_failed", level="WARNING", upstream=engine.id, error=error)
            return
        self._feed.take(engine.id, events, time.monotonic())
