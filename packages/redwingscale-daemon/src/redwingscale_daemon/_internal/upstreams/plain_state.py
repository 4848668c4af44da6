"""Which plain upstreams said that they leave, as their owners heard it."""

import threading
from typing import NamedTuple

import msgspec

from redwingscale_daemon._internal.membership.entry import Entry
from redwingscale_daemon._internal.membership.gossip_state import GossipState
from redwingscale_daemon._internal.membership.members import Members
from redwingscale_daemon._internal.models.member import PlainMember

TOPIC = "plain-state"


class PlainState(NamedTuple):
    """What the upstream at ``url`` said last."""

    upstream: str
    url: str
    leaving: bool


class PlainStates:
    """The newest state of each plain upstream that this instance heard of."""

    def __init__(self, gossip: GossipState, members: Members) -> None:
        self._members = members
        self._lock = threading.Lock()
        self._states_by_id: dict[str, PlainState] = {}
        gossip.subscribe(TOPIC, self._on_entry)

    def leaving(self, service: str) -> list[str]:
        """Return the ids of the upstreams of ``service`` that said that they leave."""
        return [m.id for m in self._members.plain(service) if self._is_leaving(m)]

    def _is_leaving(self, member: PlainMember) -> bool:
        # A state of another address is of a process before this one: its end says
        # nothing about the one that replaced it.
        state = self._states_by_id.get(member.id)
        return state is not None and state.url == member.url and state.leaving

    def _on_entry(self, entry: Entry) -> None:
        state = msgspec.msgpack.decode(entry.payload, type=PlainState)
        with self._lock:
            self._states_by_id[state.upstream] = state
