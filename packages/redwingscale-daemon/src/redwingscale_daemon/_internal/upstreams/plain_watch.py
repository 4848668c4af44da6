"""Polls plain upstreams of the own failure domain for whether they are leaving."""

import time
from collections.abc import Callable

import msgspec
import urllib3
from redwingscale_common.network.client import new_pool, timeout
from redwingscale_common.utils.logs import log_event

from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.models.member import PlainMember
from redwingscale_daemon._internal.upstreams.plain_state import TOPIC, PlainState
from redwingscale_daemon._internal.utils.periodic import Periodic

STATE_PATH = "/state"
SERVING = "serving"
OK = 200
READ_SECONDS = 1.0
# An unchanged state is published again this often: a late entry of the instance that
# polled the upstream before may have replaced it.
REPEAT_SECONDS = 10.0


class _StateBody(msgspec.Struct):
    phase: str = SERVING


class PlainWatch:
    """Runs one thread for each plain upstream that this instance polls."""

    def __init__(
        self,
        members: Members,
        gossip: GossipState,
        is_watched_here: Callable[[PlainMember], bool],
        poll_seconds: float,
        connect_seconds: float,
    ) -> None:
        self._members = members
        self._gossip = gossip
        self._is_watched_here = is_watched_here
        self._poll_seconds = poll_seconds
        self._timeout = timeout(connect_seconds, READ_SECONDS)
        self._pool = new_pool(connections=1)
        self._tasks_by_id: dict[str, Periodic] = {}
        self._published_by_id: dict[str, tuple[PlainState, float]] = {}

    def step(self) -> None:
        """Start threads for the upstreams to poll here, and stop those of all others."""
        wanted = {
            m.id
            for m in self._members.by_id.values()
            if isinstance(m, PlainMember) and self._is_watched_here(m)
        }
        for upstream in self._tasks_by_id.keys() - wanted:
            self._tasks_by_id.pop(upstream).stop()
        for upstream in wanted - self._tasks_by_id.keys():
            self._start(upstream)

    def stop(self) -> None:
        """Stop all threads."""
        for task in self._tasks_by_id.values():
            task.stop()
        self._tasks_by_id.clear()

    def _start(self, upstream: str) -> None:
        task = Periodic(f"plain-{upstream}", self._poll_seconds, lambda: self._poll(upstream))
        self._tasks_by_id[upstream] = task
        task.start()

    def _poll(self, upstream: str) -> None:
        member = self._members.by_id.get(upstream)
        if not isinstance(member, PlainMember):
            return
        leaving = self._read_leaving(member)
        if leaving is not None:
            self._publish_if_due(PlainState(member.id, member.url, leaving))

    def _read_leaving(self, member: PlainMember) -> bool | None:
        """Return whether the upstream reports that it is leaving; None without a valid response."""
        try:
            response = self._pool.request(
                "GET", member.url + STATE_PATH, timeout=self._timeout, redirect=False
            )
            if response.status != OK:
                return None
            return msgspec.json.decode(response.data, type=_StateBody).phase != SERVING
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            # Neither a service without this path nor one that does not answer is
            # leaving. A crashed one is detected by refused connections.
            return None

    def _publish_if_due(self, state: PlainState) -> None:
        published, published_at = self._published_by_id.get(state.upstream, (None, 0.0))
        now = time.monotonic()
        if state == published and now - published_at < REPEAT_SECONDS:
            return
        if state.leaving and state != published:
            log_event("upstream_leaving", upstream=state.upstream, sign="state response")
        self._published_by_id[state.upstream] = (state, now)
        self._gossip.publish(TOPIC, state.upstream, state)
